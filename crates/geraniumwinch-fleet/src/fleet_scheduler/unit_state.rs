//! The scheduler's state of a unit: one step of one occurrence of a job.

use crate::BootTime;
use crate::StepPlan;
use crate::TaskCrash;
use crate::UnitProgress;

use super::gang_end::GangEnd;
use super::gang_reservation::GangReservation;
use super::permission_table::PermissionTable;
use super::task_table::TaskTable;

/// The state of a unit.
#[derive(Debug, Clone)]
pub(super) struct UnitState {
    pub(super) tasks: TaskTable,
    /// The number of tasks that are not done.
    pub(super) remaining: u32,
    /// The number of tasks that are neither done nor placed.
    pub(super) waiting: u32,
    /// The decisions of the permission service.
    pub(super) permissions: PermissionTable,
    /// The number of open requests to the permission service.
    pub(super) open_requests: usize,
    /// The earliest time of the next permission request after a failed one.
    pub(super) retry_after: BootTime,
    /// The capacity reserved for a gang.
    pub(super) reservation: Option<GangReservation>,
    /// The earliest time of the next search for workers for a gang that does not fit.
    pub(super) next_search: BootTime,
    /// The earliest time of the next choice of workers to request permission for.
    pub(super) next_request: BootTime,
    /// The number of workers that had been listed when permissions had been requested for all of
    /// them; 0 before.
    pub(super) requested_all: u64,
    /// The earliest time of the next search for tasks to preempt.
    pub(super) next_preemption: BootTime,
    /// The earliest time of the next attempt to place tasks.
    pub(super) next_attempt: BootTime,
    /// Until when suspected tasks avoid runs that another crash would end for good; `None` if they do
    /// not wait.
    pub(super) avoids_runs_until: Option<BootTime>,
    /// Whether no listed worker could run the waiting tasks when this was last checked.
    pub(super) is_stranded: bool,
    /// Why the last run of a gang ended.
    pub(super) gang_end: GangEnd,
}

impl UnitState {
    /// Returns whether the unit may send permission requests: none is open, and none has failed too
    /// recently.
    pub(super) fn may_request(&self, now: BootTime) -> bool {
        self.open_requests == 0 && now >= self.retry_after
    }

    /// Has the unit look for workers at once, whatever earlier searches have found.
    pub(super) fn restart_search(&mut self) {
        self.requested_all = 0;
        self.next_search = BootTime::ZERO;
        self.next_request = BootTime::ZERO;
        self.next_preemption = BootTime::ZERO;
        self.next_attempt = BootTime::ZERO;
    }

    /// Creates a unit of a step to which nothing has happened.
    pub(super) fn new(plan: &StepPlan) -> Self {
        UnitState {
            tasks: TaskTable::new(plan.tasks),
            remaining: plan.tasks,
            waiting: plan.tasks,
            permissions: PermissionTable::default(),
            open_requests: 0,
            retry_after: BootTime::ZERO,
            reservation: None,
            next_search: BootTime::ZERO,
            next_request: BootTime::ZERO,
            requested_all: 0,
            next_preemption: BootTime::ZERO,
            next_attempt: BootTime::ZERO,
            avoids_runs_until: None,
            is_stranded: false,
            gang_end: GangEnd::default(),
        }
    }

    /// Returns this unit, to which nothing has happened, with all of its tasks done.
    pub(super) fn finished(&self) -> Self {
        let tasks = self.tasks.finished();
        UnitState { tasks, remaining: 0, waiting: 0, ..self.clone() }
    }

    /// Returns whether all tasks are done and nothing else has to be known of the unit.
    pub(super) fn is_settled(&self) -> bool {
        let idle = self.open_requests == 0 && self.reservation.is_none();
        self.remaining == 0 && idle && self.tasks.touched().next().is_none()
    }

    /// Applies the progress from the job's record.
    pub(super) fn apply_progress(&mut self, plan: &StepPlan, progress: &UnitProgress) {
        // Records of earlier versions may have long-running tasks that count as done.
        let done = progress.done.iter().filter(|_| !plan.long_running);
        for &index in done {
            if let Some(task) = self.tasks.get_mut(index)
                && !task.done
            {
                task.done = true;
                self.remaining -= 1;
                self.waiting -= 1;
            }
            self.tasks.settle(index);
        }
        for &(index, run) in &progress.failed {
            if let Some(task) = self.tasks.get_mut(index) {
                task.failed_runs.push(run);
                task.last_run = task.last_run.max(run);
            }
        }
    }

    /// Applies a crash of a worker under a task from the job's record.
    pub(super) fn apply_crash(&mut self, recorded: &TaskCrash) {
        if let Some(task) = self.tasks.get_mut(recorded.index) {
            task.crashes.add(recorded.crash);
            task.last_run = task.last_run.max(recorded.crash.run);
        }
    }
}
