//! Ends of runs, units and jobs.

use crate::BootTime;
use crate::JobPhase;
use crate::RunOutcome;
use crate::SchedulerEvent;
use crate::UnitProgress;

use super::FleetScheduler;
use super::run_phase::RunPhase;
use super::task_placement::TaskPlacement;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;

impl FleetScheduler {
    /// Applies the outcome of a run to its task, unit and job.
    pub(super) fn apply_outcome(
        &mut self,
        task: TaskRef,
        run: u64,
        outcome: RunOutcome,
        now: BootTime,
    ) {
        let plan = self.jobs[task.job].plan(task.unit);
        let (gang, lasting) = (plan.gang, plan.long_running);
        match outcome {
            // Only a cancellation ends a long-running task.
            RunOutcome::Done if lasting => {}
            RunOutcome::Done if gang => self.finish_gang(task, now),
            RunOutcome::Done => self.finish_task(task, now),
            RunOutcome::Failed => self.count_failure(task, run, now),
            _ if self.is_exhausted(task) => self.end_job(task.job, JobPhase::Failed, now),
            _ => {}
        }
        if gang && (lasting || outcome != RunOutcome::Done) {
            self.break_gang(task, run, now);
        }
    }

    /// Marks a task as done.
    pub(super) fn finish_task(&mut self, task: TaskRef, now: BootTime) {
        if self.task_state(task).done {
            return;
        }
        let unit = &mut self.jobs[task.job].units[task.unit as usize];
        let state = &mut unit.tasks[task.index as usize];
        if state.is_waiting() {
            unit.waiting -= 1;
        }
        state.done = true;
        unit.remaining -= 1;
        self.settle_task(task);
        self.mark_dirty(task.job, now);
        self.complete_if_done(task.job, now);
    }

    /// Forgets what is known of a task that is done, and of its unit if it was the last one, as far as it no
    /// longer matters.
    pub(super) fn settle_task(&mut self, task: TaskRef) {
        let job = &mut self.jobs[task.job];
        job.units[task.unit as usize].tasks.settle(task.index);
        let tasks = job.plan(task.unit).tasks;
        if job.units.settle(task.unit as usize) {
            let progress =
                UnitProgress { done: (0..tasks).collect(), failed: Vec::new() };
            job.record.progress.insert(task.unit, progress);
            self.call_claims.release(task.job, task.unit);
        }
    }

    /// Marks all tasks of a gang as done.
    pub(super) fn finish_gang(&mut self, task: TaskRef, now: BootTime) {
        self.release_reservation(task.job, task.unit);
        let members = self.jobs[task.job].units[task.unit as usize].tasks.len() as u32;
        for index in 0..members {
            self.finish_task(TaskRef { index, ..task }, now);
        }
    }

    /// Counts a failed run, and fails the job if the task or gang has used up its attempts.
    ///
    /// Each run number counts once, and failures of long-running tasks are not counted.
    pub(super) fn count_failure(&mut self, task: TaskRef, run: u64, now: BootTime) {
        let job = &mut self.jobs[task.job];
        let plan = job.plan(task.unit);
        let gang = plan.gang;
        if plan.long_running {
            return;
        }
        let unit = &mut job.units[task.unit as usize];
        let index = if gang { 0 } else { task.index as usize };
        let state = &mut unit.tasks[index];
        if state.failed_runs.contains(&run) {
            return;
        }
        state.failed_runs.push(run);
        self.mark_dirty(task.job, now);
        if self.is_exhausted(task) {
            self.end_job(task.job, JobPhase::Failed, now);
        }
    }

    /// Returns whether a task of a live job, or its gang, has failed as often as its queue allows.
    fn is_exhausted(&self, task: TaskRef) -> bool {
        let job = &self.jobs[task.job];
        let index = if job.plan(task.unit).gang { 0 } else { task.index };
        let state = self.task_state(TaskRef { index, ..task });
        let attempts = job.record.rules.attempts();
        job.live() && !state.done && state.failed_runs.len() >= attempts
    }

    /// Stops all members of a gang that are placed in the run in which one of them has ended, or an
    /// earlier one.
    fn break_gang(&mut self, task: TaskRef, run: u64, now: BootTime) {
        let loss = self.gang_loss(task);
        let members = self.jobs[task.job].units[task.unit as usize].tasks.len() as u32;
        for index in 0..members {
            let member = TaskRef { index, ..task };
            if self.placement_of(member).is_some_and(|placement| placement.run <= run) {
                self.stop(member, loss, now);
            }
        }
    }

    /// Delays the next run of a long-running task whose runs keep ending soon by themselves.
    pub(super) fn delay_restart(
        &mut self,
        task: TaskRef,
        placement: &TaskPlacement,
        outcome: RunOutcome,
        now: BootTime,
    ) {
        let lasting = self.jobs[task.job].plan(task.unit).long_running;
        if lasting && matches!(outcome, RunOutcome::Done | RunOutcome::Failed) {
            let time = now.saturating_sub(placement.started_at);
            self.task_state_mut(task).restart_delay.record_end(time, now);
        }
    }

    /// Completes a job if all of its tasks are done.
    fn complete_if_done(&mut self, key: JobKey, now: BootTime) {
        let job = &self.jobs[key];
        if job.live() && job.units.iter().all(|unit| unit.remaining == 0) {
            self.end_job(key, JobPhase::Completed, now);
        }
    }

    /// Ends a job in the given phase. Its runs are stopped, except for running members of gangs
    /// that are done, which end by themselves.
    pub(super) fn end_job(&mut self, key: JobKey, phase: JobPhase, now: BootTime) {
        let job = &mut self.jobs[key];
        job.record.phase = phase;
        self.memory_use.end_job(&job.record.account, job.memory_bytes);
        self.open_jobs.remove(&(job.record.rules.priority, job.serial, key));
        let id = job.id.clone();
        for unit in job.units.touched_numbers() {
            self.release_reservation(key, unit);
            self.call_claims.release(key, unit);
            self.reset_gang_end(TaskRef { job: key, unit, index: 0 });
        }
        self.permission_ledger.end_job(key);
        self.mark_dirty(key, now);
        for task in self.placed_tasks(key) {
            let state =
                &self.jobs[key].units[task.unit as usize].tasks[task.index as usize];
            let started = state
                .placement
                .is_some_and(|placement| placement.phase == RunPhase::Running);
            if !state.done || !started {
                self.stop(task, FleetScheduler::job_loss(phase), now);
            }
        }
        let job = &mut self.jobs[key];
        job.waits.set(None, now);
        self.events.push(SchedulerEvent::JobEnded {
            job: id,
            queue: job.record.rules.queue.clone(),
            phase: phase.as_str(),
            took: job.accepted_at.map(|accepted| now.saturating_sub(accepted)),
            allowed: job.objective.saturating_sub(job.record.accepted),
            waits: job.waits,
        });
    }
}
