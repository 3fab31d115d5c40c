//! What the store keeps of the workers where tasks may run.

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use serde::Deserialize;
use serde::Serialize;

use crate::WorkerInfo;

/// Whose tasks may run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PossibleRuns {
    /// Those of any job.
    Any,
    /// Those of these jobs only: the worker is leaving, or leaves calls without an answer, and gets no
    /// new tasks.
    Only {
        /// The jobs.
        jobs: Vec<Name>,
        /// What the tasks take at most, by client account, also those of jobs that have ended.
        used: Vec<(Name, ResourceVector)>,
    },
}

/// A worker where tasks may run, for the next owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// What the worker says of itself.
    pub info: WorkerInfo,
    /// Whose tasks may run there.
    pub possible_runs: PossibleRuns,
}

impl WorkerRecord {
    /// Creates the record of a worker where tasks of any job may run.
    pub fn unrestricted(info: WorkerInfo) -> Self {
        WorkerRecord { info, possible_runs: PossibleRuns::Any }
    }
}
