//! The interfaces to workers, to the permission service and to the list of workers.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunStop;
use geraniumwinch_fleet::WorkerInfo;
use geraniumwinch_fleet::WorkerReport;

use crate::CallError;
use crate::Result;

/// Whom an order is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The worker's identifier.
    pub id: Name,
    /// Its address.
    pub address: Name,
    /// The epoch of the owner that gives the order; workers ignore lower ones.
    pub epoch: u64,
}

/// An order to start a task.
#[derive(Debug, Clone, PartialEq)]
pub struct StartCommand {
    /// The task and its run.
    pub start: RunStart,
    /// The end of the worker's lease on the worker's own clock, in milliseconds.
    pub lease_end_ms: u64,
}

/// A call that extends a worker's lease and brings its report.
#[derive(Debug, Clone, PartialEq)]
pub struct PollCommand {
    /// The end of the lease on the worker's own clock, in milliseconds; none leaves it.
    pub lease_end_ms: Option<u64>,
    /// The number up to which ends are acknowledged.
    pub acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// Why an order was not carried out, as far as is known.
#[derive(Debug, Clone)]
pub enum CommandError {
    /// The worker has seen a higher epoch.
    Fenced,
    /// The run's number is not above an earlier one.
    StaleRun,
    /// The lease had ended when the order came.
    LeaseExpired,
    /// There was no room.
    NoCapacity,
    /// The proof of permission no longer holds.
    NotPermitted,
    /// Another lifetime of the worker has answered.
    OtherIncarnation,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The call brought no answer.
    Call(CallError),
}

impl CommandError {
    /// Returns the word for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            CommandError::Fenced => "fenced",
            CommandError::StaleRun => "outnumbered",
            CommandError::LeaseExpired => "late",
            CommandError::NoCapacity => "no-room",
            CommandError::NotPermitted => "not-permitted",
            CommandError::OtherIncarnation => "other-lifetime",
            CommandError::Unhealthy => "unhealthy",
            CommandError::Call(error) if error.had_no_effect() => "not-sent",
            CommandError::Call(_) => "no-answer",
        }
    }
}

/// The result of an order.
pub type CommandResult<T> = std::result::Result<T, CommandError>;

/// Sends orders to workers.
pub trait WorkerGateway {
    /// Starts a task; starting the same run again changes nothing.
    fn start(
        &self,
        target: WorkerTarget,
        order: StartCommand,
    ) -> LocalBoxFuture<'static, CommandResult<()>>;

    /// Stops a run and shuts out its late start.
    fn stop(
        &self,
        target: WorkerTarget,
        stop: RunStop,
    ) -> LocalBoxFuture<'static, CommandResult<()>>;

    /// Extends the lease and reads what runs and what has ended.
    fn poll(
        &self,
        target: WorkerTarget,
        order: PollCommand,
    ) -> LocalBoxFuture<'static, CommandResult<WorkerReport>>;
}

/// Says which workers may run a step.
pub trait PermissionService {
    /// Asks about workers and returns the allowed ones with their proofs.
    fn request(
        &self,
        request: PermissionRequest,
    ) -> LocalBoxFuture<'static, Result<Vec<(Name, Name)>>>;
}

/// Lists the workers.
pub trait WorkerDirectory {
    /// Reads the list; entries that can't be read name no worker.
    fn list(&self) -> LocalBoxFuture<'static, Result<Vec<WorkerInfo>>>;
}
