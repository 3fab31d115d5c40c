//! Runs whose worker has become silent.

use geraniumwinch_core::Name;
use geraniumwinch_core::RunCrash;
use serde::Deserialize;
use serde::Serialize;

/// A run that may have crashed its worker, which has become silent.
///
/// It is kept in the record of its job, so that a later owner counts the crash once it learns that the
/// worker is gone, although it has never seen the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostContact {
    /// The unit of the task.
    pub unit: u32,
    /// The position of the task in its step.
    pub index: u32,
    /// The worker.
    pub worker: Name,
    /// The incarnation of the worker; `None` if it had not reported to the owner.
    pub incarnation: Option<u64>,
    /// The crash of the worker under the run, if it has crashed.
    pub crash: RunCrash,
}
