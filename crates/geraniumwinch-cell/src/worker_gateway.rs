//! The interfaces to the workers, the permission service and the worker directory.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_fleet::RunStart;
use geraniumwinch_fleet::RunStop;
use geraniumwinch_fleet::WorkerList;
use geraniumwinch_fleet::WorkerReport;

use crate::CallError;
use crate::Result;

/// The recipient of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerTarget {
    /// The worker's identifier.
    pub id: Name,
    /// The worker's address.
    pub address: Name,
    /// The fencing token of commands; workers refuse tokens below the highest that their incarnation
    /// has seen.
    pub token: u64,
}

/// A command to start a task.
#[derive(Debug, Clone, PartialEq)]
pub struct StartCommand {
    /// The task and its run.
    pub start: RunStart,
    /// The end of the worker's lease in milliseconds on the worker's clock.
    pub lease_end_ms: u64,
}

/// A long poll that extends a worker's lease and returns its report.
#[derive(Debug, Clone, PartialEq)]
pub struct PollCommand {
    /// The new end of the lease in milliseconds on the worker's clock; `None` leaves it unchanged.
    pub lease_end_ms: Option<u64>,
    /// The sequence number up to which ended runs are acknowledged.
    pub acknowledged: u64,
    /// How long the worker may wait for a run to end before it responds.
    pub wait: Duration,
}

/// Why a command was not executed, as far as is known.
#[derive(Debug, Clone)]
pub enum CommandError {
    /// The worker's incarnation has seen a higher fencing token.
    Fenced,
    /// The run number is not above that of an earlier run.
    StaleRun,
    /// The lease had expired when the command arrived.
    LeaseExpired,
    /// The worker has too little free capacity.
    NoCapacity,
    /// The permission ticket is no longer valid.
    NotPermitted,
    /// Another incarnation of the worker has responded.
    OtherIncarnation,
    /// The worker is unhealthy and has not executed the command.
    Unhealthy,
    /// The command was not sent, since its worker's failure domain is evacuated or may be.
    Withheld,
    /// The command was not sent, since its run was stopped, reported or released before.
    Unwanted,
    /// The command was not sent, since its worker takes no more tasks.
    WorkerClosed,
    /// The command was not sent, since the ownership has ended or may have.
    NotOwner,
    /// The command was not sent, since its worker has not reported again in time.
    Unconfirmed,
    /// The call returned no usable response.
    Call(CallError),
}

impl CommandError {
    /// Returns whether the owner has decided not to send the command, so that it has no effect.
    pub fn was_withheld(&self) -> bool {
        matches!(
            self,
            CommandError::Withheld
                | CommandError::Unwanted
                | CommandError::WorkerClosed
                | CommandError::NotOwner
                | CommandError::Unconfirmed
        )
    }

    /// Returns the outcome label for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            CommandError::Fenced => "fenced",
            CommandError::StaleRun => "outnumbered",
            CommandError::LeaseExpired => "late",
            CommandError::NoCapacity => "no-room",
            CommandError::NotPermitted => "not-permitted",
            CommandError::OtherIncarnation => "other-lifetime",
            CommandError::Unhealthy => "unhealthy",
            CommandError::Withheld => "withheld",
            CommandError::Unwanted => "unwanted",
            CommandError::WorkerClosed => "worker-closed",
            CommandError::NotOwner => "not-owner",
            CommandError::Unconfirmed => "unconfirmed",
            CommandError::Call(error) if error.had_no_effect() => "not-sent",
            CommandError::Call(_) => "no-answer",
        }
    }
}

/// The result of a command.
pub type CommandResult<T> = std::result::Result<T, CommandError>;

/// A client for sending commands to workers.
pub trait WorkerGateway {
    /// Starts a task. Starting the same run again has no effect.
    fn start(
        &self,
        target: WorkerTarget,
        command: StartCommand,
    ) -> LocalBoxFuture<'static, CommandResult<()>>;

    /// Stops a run and prevents a delayed start of it.
    fn stop(
        &self,
        target: WorkerTarget,
        stop: RunStop,
    ) -> LocalBoxFuture<'static, CommandResult<()>>;

    /// Extends the lease and returns the running and ended runs.
    fn poll(
        &self,
        target: WorkerTarget,
        command: PollCommand,
    ) -> LocalBoxFuture<'static, CommandResult<WorkerReport>>;
}

/// A client of the permission service, which decides which workers may run a step.
pub trait PermissionService {
    /// Requests permission for workers and returns the permitted ones with their tickets.
    fn request(
        &self,
        request: PermissionRequest,
    ) -> LocalBoxFuture<'static, Result<Vec<(Name, Name)>>>;
}

/// A directory of the workers.
pub trait WorkerDirectory {
    /// Reads the directory. Invalid entries are skipped.
    fn list(&self) -> LocalBoxFuture<'static, Result<WorkerList>>;
}
