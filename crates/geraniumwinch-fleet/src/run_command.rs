//! Commands to workers and requests to the permission service.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::StepName;
use crate::TaskName;
use crate::WorkerKey;

/// Calls to the permission service that take longer than this count as long.
const LONG_CALL: Duration = Duration::from_millis(150);

/// A command to start a task.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStart {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u64,
    /// The job's specification.
    pub spec: Name,
    /// The checkpoint to resume from, if there is one.
    pub checkpoint: Option<Name>,
    /// The proof of the permission, if the queue requires one.
    pub ticket: Option<StartTicket>,
}

/// The proof that a step may run on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartTicket {
    /// What the worker is shown.
    pub text: Name,
    /// When the ticket was received.
    pub received: BootTime,
    /// When the ticket expires.
    pub until: BootTime,
}

impl RunStart {
    /// Returns whether the permission of the start has expired.
    pub fn is_expired(&self, now: BootTime) -> bool {
        self.ticket.as_ref().is_some_and(|ticket| ticket.until <= now)
    }
}

/// A command to stop a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStop {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskName,
    /// The run number.
    pub run: u64,
}

/// What a copy of a command to start a task has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartEffect {
    /// Nothing, for certain: no connection was opened, or the worker has refused the command.
    None,
    /// The worker has executed the command.
    Executed,
    /// The worker has received the command, or may have, and its response is lost.
    Unknown,
}

/// The outcome of a command to start a task: the response to its last copy. Copies without a
/// response are recorded with [`FleetScheduler::start_unanswered`].
///
/// [`FleetScheduler::start_unanswered`]: crate::FleetScheduler::start_unanswered
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs the task.
    Started,
    /// The worker refused the command.
    Refused,
    /// The worker refused the command because the run number is not higher than an earlier one.
    StaleRun,
    /// The worker refused the command because the permission is no longer valid.
    NotPermitted,
    /// The worker is unhealthy and did not execute this copy.
    Unhealthy,
    /// No response arrived. The command may have been executed, or may still be.
    Unknown,
}

/// A request to the permission service to allow a step on some workers.
#[derive(Debug, Clone, PartialEq)]
pub struct PermissionRequest {
    /// The step.
    pub step: StepName,
    /// The client account of the job.
    pub account: Name,
    /// The position in the order in which requests are sent.
    pub order: CallOrder,
    /// The expected duration of the call.
    pub call_time: Duration,
    /// The time after which the request is not sent any more.
    pub send_by: BootTime,
    /// The candidate workers.
    pub workers: Vec<Name>,
}

/// The order in which permission requests are sent: that in which their jobs start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallOrder {
    /// Whether the job's result is of little use by now.
    pub overdue: bool,
    /// The priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Whether the job can no longer meet its objective.
    pub late: bool,
    /// The position of the job in the order of acceptance.
    pub serial: u64,
}

/// What the response to a permission request that was not sent yet would be good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestValue {
    /// The step can start with it.
    Useful,
    /// Other requests should go first: the job is overdue, or has no free capacity now.
    Deferrable,
    /// The step has no task left that may start.
    Useless,
}

impl PermissionRequest {
    /// Creates a request that another process has decided to send.
    pub fn relayed(step: StepName, workers: Vec<Name>, call_time: Duration) -> Self {
        PermissionRequest {
            step,
            account: "".into(),
            order: CallOrder::default(),
            call_time,
            send_by: BootTime::MAX,
            workers,
        }
    }

    /// Returns whether the call takes so long that short ones should not queue behind it.
    pub fn is_long(&self) -> bool {
        is_long_call(self.call_time)
    }
}

/// Returns whether a call of the given duration counts as long.
pub(crate) fn is_long_call(call_time: Duration) -> bool {
    call_time > LONG_CALL
}

/// The permission to place a step on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct PermissionGrant {
    /// The worker.
    pub worker: Name,
    /// The ticket that proves the permission; it is sent with each start.
    pub ticket: Name,
    /// When the ticket expires.
    pub until: BootTime,
}
