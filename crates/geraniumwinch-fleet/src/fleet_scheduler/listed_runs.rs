//! Runs that a worker lists as running.

use std::collections::BTreeSet;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::LossCause;
use crate::RunStop;
use crate::RunningRun;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::WorkerKey;
use super::closed_run::ClosedRun;
use super::run_phase::RunPhase;
use super::run_work::RunWork;
use super::start_copies::StartCopies;
use super::task_placement::TaskPlacement;
use super::task_ref::TaskRef;

/// The result of matching a run in a report.
pub(super) enum RunMatch {
    /// The run is that of the task's placement.
    Placed(TaskRef),
    /// The run has ended: a report with its end has overtaken this one.
    Closed,
    /// The run is an orphan, which no task should have; its task, if it is known.
    Orphan(Option<TaskRef>),
}

/// The orphaned runs in a report.
#[derive(Debug, Default)]
pub(super) struct OrphanedRuns {
    /// The resources used by those of known tasks.
    pub(super) usage: ResourceVector,
    /// These tasks.
    pub(super) tasks: BTreeSet<TaskRef>,
    /// Whether there are others.
    pub(super) size_unknown: bool,
}

impl FleetScheduler {
    /// Matches a run in a worker's report with the task's placement. A run that the task should not
    /// have is stopped.
    pub(super) fn match_run(
        &mut self,
        worker: WorkerKey,
        running: &RunningRun,
        now: BootTime,
    ) -> RunMatch {
        let Some(task) = self.find_task(&running.task) else {
            self.stop_orphan(worker, running);
            return RunMatch::Orphan(None);
        };
        let listed = self.closed_run(worker, running.run);
        let closed = self.task_state(task).closed_run;
        if closed.is_some_and(|closed| closed.covers(&listed)) {
            return RunMatch::Closed;
        }
        match self.placement_of_mut(task) {
            Some(placement)
                if placement.worker == worker && placement.run == running.run =>
            {
                confirm_run(placement, running, now);
            }
            _ => {
                self.withdraw_unsent_start(task, now);
                if !self.adopt_run(worker, task, running, now) {
                    self.stop_orphan(worker, running);
                    return RunMatch::Orphan(Some(task));
                }
            }
        }
        self.mark_started(task, now);
        self.clear_survivor(task, now);
        if running.checkpoint.is_some() {
            // The checkpoint was saved at some time since then.
            let reported_at = self.workers[worker].reported_at;
            let unit = &mut self.jobs[task.job].units[task.unit as usize];
            let state = &mut unit.tasks[task.index as usize];
            if state.checkpoint != running.checkpoint {
                state.checkpoint.clone_from(&running.checkpoint);
                if let Some(placement) = &mut state.placement {
                    placement.work.saved_at = Some(reported_at);
                }
            }
        }
        RunMatch::Placed(task)
    }

    /// Returns a run in the present incarnation of a worker as one that has ended.
    pub(super) fn closed_run(&self, worker: WorkerKey, run: u64) -> ClosedRun {
        let incarnation = self.workers[worker].incarnation;
        ClosedRun { worker, incarnation, run }
    }

    /// Withdraws the start of a task that has certainly not been sent yet, so that the task can adopt a run
    /// that a worker lists, or is done by one that has ended. The other members of its gang are stopped.
    pub(super) fn withdraw_unsent_start(&mut self, task: TaskRef, now: BootTime) {
        let Some(placement) = self.placement_of(task) else { return };
        let unsent = placement.phase == RunPhase::Starting && !placement.may_have_begun();
        if unsent {
            self.abandon_run(task, LossCause::StartFailed, now);
        }
    }

    /// Adopts a run that this owner has not placed, if its task still needs it, and returns whether it did.
    /// Whatever is known of the run's number, the task must not start beside it.
    fn adopt_run(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        running: &RunningRun,
        now: BootTime,
    ) -> bool {
        let live = self.jobs[task.job].live();
        let waiting = self.task_state(task).is_waiting();
        if !live || !waiting || self.is_beside_other_run(task, running.run) {
            return false;
        }
        let placement = TaskPlacement {
            worker,
            run: running.run,
            phase: RunPhase::Running,
            started_at: now,
            since: now,
            percent: running.percent,
            progressed: now,
            confirmed: true,
            copies: StartCopies::default(),
            whole: false,
            expected: self.expected_run(task, worker),
            work: RunWork::default(),
        };
        self.assign(task, placement);
        true
    }

    /// Returns whether a task is a member of a gang of which others are placed in another run.
    fn is_beside_other_run(&self, task: TaskRef, run: u64) -> bool {
        let job = &self.jobs[task.job];
        if !job.plan(task.unit).gang {
            return false;
        }
        let mut members = job.units[task.unit as usize].tasks.touched();
        members.any(|(_, member)| member.placement.is_some_and(|p| p.run != run))
    }

    /// Collects the tasks whose orphaned runs may go on. Those on a silent worker end with its lease.
    pub(super) fn collect_orphaned_tasks(&mut self, now: BootTime) {
        let states = self.workers.values().filter(|state| !state.has_no_lease(now));
        let tasks = states.flat_map(|state| &state.orphaned_tasks);
        self.orphaned_tasks = tasks.copied().collect();
    }

    /// Adds an orphaned run of a task to those of its worker; the task may be unknown.
    pub(super) fn add_orphan(&self, orphans: &mut OrphanedRuns, task: Option<TaskRef>) {
        match task {
            Some(task) => {
                orphans.tasks.insert(task);
                orphans.usage.add(&self.jobs[task.job].plan(task.unit).reserved());
            }
            None => orphans.size_unknown = true,
        }
    }

    /// Queues the command to stop an orphaned run.
    fn stop_orphan(&mut self, worker: WorkerKey, running: &RunningRun) {
        let task = running.task.clone();
        let placement = self.find_task(&task).and_then(|task| self.placement_of(task));
        self.events.push(SchedulerEvent::Orphaned {
            task: task.clone(),
            run: running.run,
            worker: self.workers[worker].info.id.clone(),
            incarnation: self.workers[worker].incarnation.unwrap_or_default(),
            placed_run: placement.map(|placement| placement.run),
        });
        self.stops.push(RunStop { worker, task, run: running.run });
    }
}

/// Updates the placement of a task whose run is in a worker's report.
fn confirm_run(placement: &mut TaskPlacement, running: &RunningRun, now: BootTime) {
    if matches!(placement.phase, RunPhase::Starting | RunPhase::Unknown) {
        placement.phase = RunPhase::Running;
        placement.since = now;
    }
    placement.confirmed = true;
    if placement.percent != running.percent {
        placement.percent = running.percent;
        placement.progressed = now;
    }
}
