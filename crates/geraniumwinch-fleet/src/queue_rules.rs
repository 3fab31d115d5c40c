//! The rules of a queue that its jobs keep from their acceptance on.

use std::time::Duration;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

/// What asking for permission to place a step costs, and how long an answer holds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermissionCost {
    /// The time of a call without its workers.
    pub base: Duration,
    /// The time for each worker that a call names.
    pub per_worker: Duration,
    /// The time for which a permission holds.
    pub validity: Duration,
}

impl PermissionCost {
    /// Returns the time of a call that names a number of workers.
    pub fn call_time(&self, workers: usize) -> Duration {
        self.base + self.per_worker * workers as u32
    }
}

/// How the jobs of a queue are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueRules {
    /// The queue.
    pub queue: Name,
    /// The service whose workers run the tasks.
    pub service: Name,
    /// The urgency; 0 goes first.
    pub priority: u32,
    /// The failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The factor of the longest chain of work in the job's latency objective.
    pub stretch: f64,
    /// The constant part of the job's latency objective.
    pub objective: Duration,
    /// The cost of permissions, if the queue needs them.
    pub permission: Option<PermissionCost>,
}
