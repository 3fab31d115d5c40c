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
pub struct StartOrder {
    /// The task and its run.
    pub start: RunStart,
    /// The end of the worker's lease on the worker's own clock, in milliseconds.
    pub lease_end_ms: u64,
}

/// A call that extends a worker's lease and brings its report.
#[derive(Debug, Clone, PartialEq)]
pub struct HoldOrder {
    /// The end of the lease on the worker's own clock, in milliseconds; none leaves it.
    pub lease_end_ms: Option<u64>,
    /// The number up to which ends are acknowledged.
    pub acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// Why an order was not carried out, as far as is known.
#[derive(Debug, Clone)]
pub enum OrderError {
    /// The worker has seen a higher epoch.
    Fenced,
    /// The run's number is not above an earlier one.
    Outnumbered,
    /// The lease had ended when the order came.
    Late,
    /// There was no room.
    NoRoom,
    /// The proof of permission no longer holds.
    NotPermitted,
    /// Another lifetime of the worker has answered.
    OtherLifetime,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The call brought no answer.
    Call(CallError),
}

impl OrderError {
    /// Returns the word for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            OrderError::Fenced => "fenced",
            OrderError::Outnumbered => "outnumbered",
            OrderError::Late => "late",
            OrderError::NoRoom => "no-room",
            OrderError::NotPermitted => "not-permitted",
            OrderError::OtherLifetime => "other-lifetime",
            OrderError::Unhealthy => "unhealthy",
            OrderError::Call(error) if error.without_effect() => "not-sent",
            OrderError::Call(_) => "no-answer",
        }
    }
}

/// The result of an order.
pub type OrderResult<T> = std::result::Result<T, OrderError>;

/// Sends orders to workers.
pub trait WorkerGateway {
    /// Starts a task; starting the same run again changes nothing.
    fn start(
        &self,
        target: WorkerTarget,
        order: StartOrder,
    ) -> LocalBoxFuture<'static, OrderResult<()>>;

    /// Stops a run and shuts out its late start.
    fn stop(
        &self,
        target: WorkerTarget,
        stop: RunStop,
    ) -> LocalBoxFuture<'static, OrderResult<()>>;

    /// Extends the lease and reads what runs and what has ended.
    fn hold(
        &self,
        target: WorkerTarget,
        order: HoldOrder,
    ) -> LocalBoxFuture<'static, OrderResult<WorkerReport>>;
}

/// Says which workers may run a step.
pub trait PermissionService {
    /// Asks about workers and returns the allowed ones with their proofs.
    fn ask(
        &self,
        request: PermissionRequest,
    ) -> LocalBoxFuture<'static, Result<Vec<(Name, Name)>>>;
}

/// Lists the workers.
pub trait WorkerDirectory {
    /// Reads the list; entries that can't be read name no worker.
    fn list(&self) -> LocalBoxFuture<'static, Result<Vec<WorkerInfo>>>;
}
