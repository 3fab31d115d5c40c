//! Crashes of workers under runs of tasks.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A crash of the worker that ran a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCrash {
    /// The run.
    pub run: u64,
    /// How long the run had lasted when the worker became silent.
    pub age: Duration,
    /// Whether the worker had confirmed the run; otherwise it may not have executed the start.
    pub confirmed: bool,
    /// Whether the run may have caused the crash: it had started last there, or almost.
    pub suspected: bool,
}

impl RunCrash {
    /// Returns whether the crash is evidence against the task.
    pub(crate) fn is_evidence(&self) -> bool {
        self.confirmed && self.suspected
    }
}
