//! The ends of task attempts, and what becomes of their tasks.
//!
//! A success ends a task for good, but that of a service is restarted: only a cancellation ends it.

use std::time::Duration;
use std::time::Instant;

use crate::JobKind;
use crate::TaskId;
use crate::TeamLedger;
use crate::WorkerKey;

use super::JobScheduler;
use super::ReportedState;
use super::TaskOutcome;
use super::TaskReport;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;
use super::job_state::TaskState;
use super::quarantine;

/// The number of different workers on which tasks of a job must fail for the failure to be blamed on
/// the job.
const MAX_FAILED_WORKERS: usize = 3;
/// The delay before a failed task is retried, or a task of a service that has ended by itself is
/// restarted.
const RESTART_BACKOFF: Duration = Duration::from_millis(500);

impl JobScheduler {
    /// Handles the end of an attempt of a task that is not placed.
    ///
    /// A success ends the task, unless it is a service's. After any other end, an unlocated task still waits for its leases, since
    /// the former owner may have started a later attempt on a worker that has not reported yet.
    pub(super) fn finish_unplaced(
        &mut self,
        worker: WorkerKey,
        report: &TaskReport,
        now: Instant,
    ) {
        let Some((task, state)) = self.find_unplaced(&report.task) else { return };
        let unlocated = matches!(state, TaskState::Unlocated { .. });
        match report.state {
            ReportedState::Succeeded if self.is_service(task) => {
                quarantine::observe_start(&mut self.workers, worker, false, now);
            }
            ReportedState::Succeeded => {
                self.discard_wait(task, state);
                quarantine::observe_start(&mut self.workers, worker, false, now);
                self.end_task(task, TaskOutcome::Succeeded);
            }
            ReportedState::Failed if unlocated => {
                self.record_failure(task, worker, true, now);
            }
            _ => {}
        }
    }

    /// Returns a task that is neither placed nor ended, with its state.
    fn find_unplaced(&self, id: &TaskId) -> Option<(TaskRef, TaskState)> {
        let &key = self.by_id.get(&id.job)?;
        let state = *self.jobs[key].tasks.get(id.index as usize)?;
        match state {
            TaskState::Placed(_) | TaskState::Ended(_) => None,
            _ => Some(((key, id.index), state)),
        }
    }

    /// Removes a task that is not placed from what waits.
    pub(super) fn discard_wait(&mut self, task: TaskRef, state: TaskState) {
        match state {
            TaskState::Unlocated { until } => {
                self.unlocated.remove(&(until, task));
            }
            TaskState::Delayed { until } => {
                self.delayed.remove(&(until, task));
            }
            TaskState::Pending => {
                self.jobs[task.0].pending.retain(|index| *index != task.1);
            }
            TaskState::Placed(_) | TaskState::Ended(_) => {}
        }
    }

    /// Ends an attempt, and then either ends its task or queues the task again.
    pub(super) fn finish_attempt(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        state: ReportedState,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let placement = self.unplace(task, ledger);
        match state {
            ReportedState::Succeeded if self.is_service(task) => {
                quarantine::observe_start(&mut self.workers, worker, false, now);
                self.delay(task, now);
            }
            ReportedState::Succeeded => {
                quarantine::observe_start(&mut self.workers, worker, false, now);
                self.end_task(task, TaskOutcome::Succeeded);
            }
            ReportedState::Failed => self.retry_failed(task, worker, placement, now),
            ReportedState::Stopped | ReportedState::Running => self.requeue(task),
        }
        self.start_reserved(worker, now);
    }

    /// Ends an attempt that its worker has certainly not begun, and retries its task after a backoff.
    pub(super) fn refuse_attempt(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let placement = self.unplace(task, ledger);
        let early = is_early(placement, now);
        let job = &mut self.jobs[task.0];
        let first_here =
            job.refused_by.insert(worker) && !job.failed_on.contains(&worker);
        if early && first_here {
            quarantine::observe_start(&mut self.workers, worker, true, now);
        }
        self.delay(task, now);
        self.start_reserved(worker, now);
    }

    /// Retries a failed task after a backoff, or ends the task if its job has failed on too many workers.
    fn retry_failed(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        placement: Option<TaskPlacement>,
        now: Instant,
    ) {
        let (key, _) = task;
        self.record_failure(task, worker, is_early(placement, now), now);
        let job_blamed = self.jobs[key].failed_on.len() >= MAX_FAILED_WORKERS;
        if job_blamed {
            self.end_task(task, TaskOutcome::Failed);
            return;
        }
        self.delay(task, now);
    }

    /// Has a task that is no longer placed wait for [`RESTART_BACKOFF`] until it is queued again.
    fn delay(&mut self, task: TaskRef, now: Instant) {
        let (key, index) = task;
        let until = now + RESTART_BACKOFF;
        self.jobs[key].tasks[index as usize] = TaskState::Delayed { until };
        self.delayed.insert((until, task));
    }

    /// Returns whether a task belongs to a service, which only a cancellation ends.
    fn is_service(&self, (key, _): TaskRef) -> bool {
        self.jobs[key].spec.kind == JobKind::Service
    }

    /// Records that a task failed on a worker; an early failure counts against the worker, once a job.
    fn record_failure(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        early: bool,
        now: Instant,
    ) {
        let job = &mut self.jobs[task.0];
        let first_here =
            job.failed_on.insert(worker) && !job.refused_by.contains(&worker);
        if early && first_here {
            quarantine::observe_start(&mut self.workers, worker, true, now);
        }
    }
}

/// Returns whether an attempt that ends now has ended early; one whose placement is unknown counts as such.
fn is_early(placement: Option<TaskPlacement>, now: Instant) -> bool {
    let since = placement.map(|placement| placement.since);
    since.is_none_or(|since| now - since < quarantine::EARLY_FAILURE)
}
