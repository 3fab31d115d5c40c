//! Ends of runs, units and jobs.

use crate::BootTime;
use crate::JobPhase;
use crate::RunEnd;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::job_slot::JobKey;
use super::job_slot::PlacePhase;
use super::job_slot::TaskRef;

impl FleetScheduler {
    /// Applies the end of the run that a task had.
    pub(super) fn apply_end(
        &mut self,
        task: TaskRef,
        run: u64,
        end: RunEnd,
        now: BootTime,
    ) {
        let gang = self.jobs[task.job].plan(task.unit).gang;
        match end {
            RunEnd::Done if gang => self.finish_gang(task, now),
            RunEnd::Done => self.finish_task(task, now),
            RunEnd::Failed => self.count_failure(task, run, now),
            _ => {}
        }
        if gang && end != RunEnd::Done {
            self.break_gang(task, now);
        }
    }

    /// Records that the work of a task is done.
    pub(super) fn finish_task(&mut self, task: TaskRef, now: BootTime) {
        let unit = &mut self.jobs[task.job].units[task.unit as usize];
        let slot = &mut unit.tasks[task.index as usize];
        if slot.done {
            return;
        }
        if slot.waits() {
            unit.waiting -= 1;
        }
        slot.done = true;
        unit.remaining -= 1;
        self.touch(task.job, now);
        self.complete_if_done(task.job, now);
    }

    /// Records that the work of a whole gang is done.
    pub(super) fn finish_gang(&mut self, task: TaskRef, now: BootTime) {
        self.release_claim(task.job, task.unit);
        let members = self.jobs[task.job].units[task.unit as usize].tasks.len() as u32;
        for index in 0..members {
            self.finish_task(TaskRef { index, ..task }, now);
        }
    }

    /// Counts a failed run and ends the job when there were too many.
    pub(super) fn count_failure(&mut self, task: TaskRef, run: u64, now: BootTime) {
        let job = &mut self.jobs[task.job];
        let plan = &job.record.request.steps[job.units[task.unit as usize].step as usize];
        let gang = plan.gang;
        if plan.long_running {
            return;
        }
        let unit = &mut job.units[task.unit as usize];
        let index = if gang { 0 } else { task.index as usize };
        let slot = &mut unit.tasks[index];
        if slot.failed_runs.contains(&run) {
            return;
        }
        slot.failed_runs.push(run);
        let failures = slot.failed_runs.len();
        let exhausted = failures >= job.record.rules.max_attempts.max(1) as usize;
        let live = job.live();
        self.touch(task.job, now);
        if exhausted && live {
            self.end_job(task.job, JobPhase::Failed, now);
        }
    }

    /// Stops the other members of a gang of which one has ended.
    pub(super) fn break_gang(&mut self, task: TaskRef, now: BootTime) {
        let members = self.jobs[task.job].units[task.unit as usize].tasks.len() as u32;
        for index in 0..members {
            self.stop(TaskRef { index, ..task }, now);
        }
    }

    /// Ends a job when all its tasks are done.
    fn complete_if_done(&mut self, key: JobKey, now: BootTime) {
        let job = &self.jobs[key];
        if job.live() && job.units.iter().all(|unit| unit.remaining == 0) {
            self.end_job(key, JobPhase::Completed, now);
        }
    }

    /// Ends a job; what still runs is stopped, but for members of gangs that are done.
    pub(super) fn end_job(&mut self, key: JobKey, phase: JobPhase, now: BootTime) {
        let job = &mut self.jobs[key];
        job.record.phase = phase;
        self.open.remove(&(job.record.rules.priority, job.serial, key));
        let id = job.id.clone();
        for unit in 0..job.units.len() as u32 {
            self.release_claim(key, unit);
        }
        self.touch(key, now);
        for task in self.placed_tasks(key) {
            let slot =
                &self.jobs[key].units[task.unit as usize].tasks[task.index as usize];
            let started =
                slot.place.is_some_and(|place| place.phase == PlacePhase::Running);
            if !slot.done || !started {
                self.stop(task, now);
            }
        }
        self.events.push(SchedulerEvent::JobEnded { job: id, phase: phase.as_str() });
    }
}
