//! Worker records as kept in the store.

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use serde::Deserialize;
use serde::Serialize;

use crate::WorkerInfo;

/// The jobs whose tasks may be running on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PossibleRuns {
    /// Tasks of any job.
    Any,
    /// Tasks of these jobs only: the worker is leaving or does not respond to calls, and gets no
    /// new tasks.
    Only {
        /// The jobs.
        jobs: Vec<Name>,
        /// The maximum resources that the tasks use, by client account; this includes tasks of
        /// jobs that have ended.
        used: Vec<(Name, ResourceVector)>,
    },
}

/// A worker where tasks may be running. The next owner of the cell polls it for its runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The worker's entry in the platform's list.
    pub info: WorkerInfo,
    /// The jobs whose tasks may be running there.
    pub possible_runs: PossibleRuns,
}

impl WorkerRecord {
    /// Creates the record of a worker where tasks of any job may be running.
    pub fn unrestricted(info: WorkerInfo) -> Self {
        WorkerRecord { info, possible_runs: PossibleRuns::Any }
    }
}
