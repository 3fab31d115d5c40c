//! Start commands without a response that another incarnation of their worker may execute.
//!
//! Within an incarnation, a stop, a report or the end of the lease excludes such a command. The next
//! incarnation knows of none of these, and its clock starts anew. Only a ticket, which is valid in
//! one incarnation, keeps it from executing the command.

use std::time::Duration;

use crate::BootTime;
use crate::RunStop;
use crate::TaskName;

use super::FleetScheduler;
use super::WorkerKey;
use super::job_state::RunPhase;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;

/// The maximum time after which a worker still executes a command that got no response.
const MAX_COMMAND_DELAY: Duration = Duration::from_secs(13);

/// A start command of a released run.
#[derive(Debug)]
pub(super) struct DelayedStart {
    task: TaskName,
    run: u64,
    /// When it can no longer be executed.
    until: BootTime,
}

impl FleetScheduler {
    /// Returns until when another incarnation of the worker may execute a placement's start command;
    /// `None` if it never does.
    pub(super) fn delayed_until(
        &self,
        task: TaskRef,
        placement: &TaskPlacement,
    ) -> Option<BootTime> {
        let ticketed = self.is_ticketed(task);
        let unanswered_at = placement.unanswered_at.filter(|_| !ticketed)?;
        Some(unanswered_at + MAX_COMMAND_DELAY)
    }

    /// Returns whether another incarnation of the worker may still execute a placement's start
    /// command, or may be running the task because it has.
    pub(super) fn may_run_after_expiry(
        &self,
        task: TaskRef,
        placement: &TaskPlacement,
        now: BootTime,
    ) -> bool {
        let Some(until) = self.delayed_until(task, placement) else { return false };
        // A worker that is not listed has not been restarted.
        let listed = self.workers[placement.worker].listed;
        now < if listed { until + self.lease } else { until }
    }

    /// Remembers the start command of a released run while another incarnation of its worker may
    /// execute it.
    pub(super) fn remember_delayed_start(
        &mut self,
        task: TaskRef,
        placement: &TaskPlacement,
    ) {
        let Some(until) = self.delayed_until(task, placement) else { return };
        let name = self.jobs[task.job].task_name(task);
        if let Some(worker) = self.workers.get_mut(placement.worker) {
            let start = DelayedStart { task: name, run: placement.run, until };
            worker.delayed_starts.push(start);
        }
    }

    /// Excludes a start command without a response whose run was released before the response was
    /// due: another incarnation of the worker may execute it, and may already be there.
    pub(super) fn exclude_released_start(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        now: BootTime,
    ) {
        let ticketed = self.find_task(name).is_some_and(|task| self.is_ticketed(task));
        let Some(state) = self.workers.get_mut(worker).filter(|_| !ticketed) else {
            return;
        };
        let (task, until) = (name.clone(), now + MAX_COMMAND_DELAY);
        state.delayed_starts.push(DelayedStart { task: task.clone(), run, until });
        self.stops.push(RunStop { worker, task, run });
    }

    /// Returns whether the start commands of a task carry a ticket.
    fn is_ticketed(&self, task: TaskRef) -> bool {
        self.jobs[task.job].record.rules.permission.is_some()
    }

    /// Forgets the start commands that can no longer be executed.
    pub(super) fn forget_delayed_starts(&mut self, worker: WorkerKey, now: BootTime) {
        self.workers[worker].delayed_starts.retain(|start| now < start.until);
    }

    /// Sends the stops again that exclude start commands in a worker's new incarnation.
    pub(super) fn exclude_delayed_starts(&mut self, worker: WorkerKey, now: BootTime) {
        self.forget_delayed_starts(worker, now);
        let state = &self.workers[worker];
        let released = state.delayed_starts.iter();
        let stops = released.map(|start| RunStop {
            worker,
            task: start.task.clone(),
            run: start.run,
        });
        self.stops.extend(stops);
        let tasks: Vec<TaskRef> = state.tasks.iter().copied().collect();
        for task in tasks {
            let Some(&placement) = self.placement_of(task) else { continue };
            let confirmed = matches!(placement.phase, RunPhase::Stopping(Some(_)));
            let delayed = self.delayed_until(task, &placement);
            if confirmed && delayed.is_some_and(|until| now < until) {
                self.restart_stop(task, now);
            }
        }
    }
}
