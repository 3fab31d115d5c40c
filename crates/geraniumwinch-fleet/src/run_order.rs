//! What the dispatcher tells workers to do and asks the permission service.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::StepName;
use crate::TaskName;
use crate::WorkerKey;

/// The calls of the permission service that take longer than this are long ones.
const LONG_CALL: Duration = Duration::from_millis(150);

/// An order to start a task.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStart {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
    /// The text of the job.
    pub spec: Name,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Name>,
    /// The proof of permission, where the queue needs one.
    pub ticket: Option<Name>,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStop {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
}

/// What became of an order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs it.
    Started,
    /// The worker has refused and runs nothing of it.
    Refused,
    /// The worker refused because the run's number is not above an earlier one.
    StaleRun,
    /// The worker refused because the permission no longer holds.
    NotPermitted,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// No answer came; the order may have been carried out or may be later.
    Unknown,
}

/// A question to the permission service.
#[derive(Debug, Clone, PartialEq)]
pub struct PermissionRequest {
    /// The step.
    pub step: StepName,
    /// The urgency of the queue; 0 goes first.
    pub priority: u32,
    /// The time that the call will take.
    pub call_time: Duration,
    /// The workers that are asked about.
    pub workers: Vec<Name>,
}

impl PermissionRequest {
    /// Returns whether the call takes so long that short ones should not stand behind it.
    pub fn is_long(&self) -> bool {
        is_long_call(self.call_time)
    }
}

/// Returns whether a call of this time is a long one.
pub(crate) fn is_long_call(call_time: Duration) -> bool {
    call_time > LONG_CALL
}

/// The permission to place a step on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct PermissionGrant {
    /// The worker.
    pub worker: Name,
    /// The proof that goes with each start.
    pub ticket: Name,
    /// When the proof ceases to hold.
    pub until: BootTime,
}
