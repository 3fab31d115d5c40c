//! Runs of tasks on a worker.

use std::time::Instant;

/// A run of a task.
#[derive(Debug, Clone)]
pub(super) struct JobRun {
    pub(super) task: String,
    pub(super) run: u64,
    /// The number of restarts before the worker's incarnation that ran it.
    pub(super) incarnation: u64,
    /// When the start command arrived.
    pub(super) received_ms: u64,
    pub(super) started_ms: u64,
    /// The time at which the run ends unless it is stopped.
    pub(super) ends_at: Instant,
    /// The outcome unless the run is stopped.
    pub(super) outcome: &'static str,
    /// The outcome and the Unix time in milliseconds, once the run has ended.
    pub(super) ended: Option<(&'static str, u64)>,
    /// Whether the worker restarted before the end of the run was acknowledged.
    pub(super) end_lost: bool,
}
