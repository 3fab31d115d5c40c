//! Crashes of workers, and tasks that cause them.
//!
//! A task that crashes each worker that starts it would be started for ever, and each crash also ends
//! the runs beside it. Whoever started last on a worker that crashed is suspected. A suspected task
//! starts again where other jobs would lose the least work, and for a moment none of them starts
//! anything beside it. If that worker crashes as well, the job of the task has failed. The bounds are
//! those of [`CrashHistory`](geraniumwinch_core::CrashHistory).

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::RunCrash;

use crate::BootTime;
use crate::JobPhase;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::worker_offers::WorkerOffer;
use super::worker_state::WorkerTrial;

/// How long a task waits at most for the record of a crash before it starts again.
const MAX_RECORD_WAIT: Duration = Duration::from_secs(10);
/// How long a suspected task waits at most for runs to end whose jobs another crash would fail.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);
/// The age up to which a run is likely to be suspected if its worker crashes.
const YOUNG_AGE: Duration = Duration::from_millis(250);

/// A run that was lost with its worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun {
    pub(super) task: TaskRef,
    pub(super) crash: RunCrash,
}

impl FleetScheduler {
    /// Returns the runs that are lost if a worker has crashed: those that are placed there and those
    /// that were abandoned since it became silent. A worker that was leaving has not crashed.
    pub(super) fn take_lost_runs(
        &mut self,
        worker: WorkerKey,
        now: BootTime,
    ) -> Vec<LostRun> {
        let id = self.workers[worker].info.id.clone();
        let noted = self.take_lost_contacts(&id, now);
        let state = &mut self.workers[worker];
        let mut lost = std::mem::take(&mut state.expired_runs);
        if state.leaving {
            return Vec::new();
        }
        let tasks: Vec<TaskRef> = state.tasks.iter().copied().collect();
        let placed = tasks.into_iter().filter_map(|task| self.lost_run(task, now));
        lost.extend(placed);
        lost.extend(noted.into_iter().map(|noted| noted.run));
        lost
    }

    /// Returns the run of a placed task as lost; `None` if it had ended before, or has certainly not begun.
    pub(super) fn lost_run(&self, task: TaskRef, now: BootTime) -> Option<LostRun> {
        if self.is_end_unread(task) {
            return None;
        }
        let placement = self.placement_of(task)?;
        if !placement.may_have_begun() {
            return None;
        }
        let silent_since = self.workers[placement.worker].silent_since;
        let age = silent_since.unwrap_or(now).saturating_sub(placement.started_at);
        let (run, confirmed) = (placement.run, placement.confirmed);
        let crash = RunCrash::new(run, age, confirmed);
        Some(LostRun { task, crash })
    }

    /// Records the crash of a worker under its lost runs, and gives up the jobs of tasks that have
    /// caused it as far as can be told.
    ///
    /// The crash is counted for all other runs as well: one that is blamed need not be the cause.
    pub(super) fn record_crash(
        &mut self,
        worker: &Name,
        mut lost: Vec<LostRun>,
        now: BootTime,
    ) {
        lost.retain(|run| self.is_unfinished(run.task));
        let Some(youngest) = lost.iter().map(|run| run.crash.age).min() else { return };
        let beside = lost.len() - 1;
        for LostRun { task, crash } in &mut lost {
            crash.compare_age(youngest);
            self.events.push(SchedulerEvent::Crashed {
                task: self.jobs[task.job].task_name(*task),
                run: crash.run,
                worker: worker.clone(),
                age: crash.age,
                beside,
                suspected: crash.suspected,
            });
        }
        let culprits: BTreeSet<JobKey> = lost
            .iter()
            .filter(|run| self.task_state(run.task).crashes.is_repeated_by(&run.crash))
            .map(|run| run.task.job)
            .collect();
        if culprits.len() == 1 {
            culprits.into_iter().for_each(|job| self.give_up(job, now));
        }
        for run in lost {
            self.count_crash(run, now);
        }
    }

    /// Returns whether a task of a known job still has to be done.
    pub(super) fn is_unfinished(&self, task: TaskRef) -> bool {
        let live = self.jobs.get(task.job).is_some_and(|job| job.live());
        live && !self.task_state(task).done
    }

    /// Counts a crash under a task, and gives up its job after too many.
    fn count_crash(&mut self, run: LostRun, now: BootTime) {
        let LostRun { task, crash } = run;
        if !self.is_unfinished(task) || !self.task_state_mut(task).crashes.add(crash) {
            return;
        }
        self.mark_dirty(task.job, now);
        let repeated = self.task_state(task).crashes.iter().count() > 1;
        if crash.is_evidence() || repeated {
            let job = &mut self.jobs[task.job];
            job.crash_write = (job.version, now + MAX_RECORD_WAIT);
        }
        if self.task_state(task).crashes.is_exhausted() {
            self.give_up(task.job, now);
        }
    }

    /// Fails a job with a task that crashes its workers.
    fn give_up(&mut self, key: JobKey, now: BootTime) {
        if self.jobs[key].live() {
            let job = self.jobs[key].id.clone();
            self.events.push(SchedulerEvent::GivenUp { job });
            self.end_job(key, JobPhase::Failed, now);
        }
    }

    /// Clears a task of crashes if its run, which was just reported, has lasted much longer than the
    /// runs that were lost.
    pub(super) fn clear_survivor(&mut self, task: TaskRef, now: BootTime) {
        let Some(&placement) = self.placement_of(task) else { return };
        let age = now.saturating_sub(placement.started_at);
        self.task_state_mut(task).crashes.clear_if_survived(age);
    }

    /// Keeps other jobs from starting tasks on the worker of a suspected task while it is young.
    pub(super) fn begin_trial(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        now: BootTime,
    ) {
        if let Some(time) = self.task_state(task).crashes.trial_time() {
            self.jobs[task.job].units[task.unit as usize].avoids_runs_until = None;
            let until = now + time;
            self.workers[worker].trial = Some(WorkerTrial { job: task.job, until });
        }
    }

    /// Returns whether a unit with crashes under waiting tasks waits until the store holds them. The next
    /// owner has to know them if this one is lost.
    pub(super) fn awaits_crash_record(
        &self,
        key: JobKey,
        unit: u32,
        now: BootTime,
    ) -> bool {
        let job = &self.jobs[key];
        let (version, until) = job.crash_write;
        let unstored = job.stored_version < version && now < until;
        let mut tasks = job.units[unit as usize].tasks.touched();
        unstored && tasks.any(|(_, task)| task.is_waiting() && !task.crashes.is_empty())
    }

    /// Returns whether a task of another job has just started on a worker. If the worker crashed, it
    /// would not be known which of them has caused it.
    pub(super) fn has_young_run(
        &self,
        key: JobKey,
        worker: WorkerKey,
        now: BootTime,
    ) -> bool {
        let tasks = self.workers[worker].tasks.iter();
        let mut others = tasks.filter(|task| task.job != key);
        others.any(|task| {
            let placement = self.placement_of(*task);
            placement.is_some_and(|p| now < p.started_at + YOUNG_AGE)
        })
    }

    /// Returns the work, in thousandths of a core times milliseconds, that other jobs would lose if a
    /// worker crashed now. A gang loses the work of all its members.
    pub(super) fn work_at_risk(
        &self,
        key: JobKey,
        worker: WorkerKey,
        now: BootTime,
    ) -> u64 {
        let tasks = self.workers[worker].tasks.iter();
        let others = tasks.filter(|task| task.job != key);
        let work = |task: &TaskRef| {
            let plan = self.jobs[task.job].plan(task.unit);
            let members = if plan.gang { u64::from(plan.tasks) } else { 1 };
            let placement = self.placement_of(*task);
            let age =
                placement.map_or(Duration::ZERO, |p| now.saturating_sub(p.started_at));
            let cpu_millis = plan.reserved().cpu_millis.saturating_mul(members);
            cpu_millis.saturating_mul(age.as_millis() as u64)
        };
        others.map(work).fold(0, u64::saturating_add)
    }

    /// Removes the workers from the offers for a suspected task on which a run of another job would be
    /// given up after one more crash. Such a run need not have caused any of them.
    ///
    /// After [`MAX_AVOIDANCE`], the task starts beside such a run as well.
    pub(super) fn avoid_endangered_runs(
        &mut self,
        key: JobKey,
        unit: u32,
        offers: &mut Vec<WorkerOffer>,
        now: BootTime,
    ) {
        if !self.has_suspects(key, unit) {
            return;
        }
        let state = &mut self.jobs[key].units[unit as usize];
        let until = *state.avoids_runs_until.get_or_insert(now + MAX_AVOIDANCE);
        if now < until {
            offers.retain(|offer| !self.has_endangered_run(key, offer.worker));
        }
    }

    /// Returns whether a task of another job runs on a worker that would be given up after one more
    /// crash.
    fn has_endangered_run(&self, key: JobKey, worker: WorkerKey) -> bool {
        let mut others = self.workers[worker].tasks.iter().filter(|task| task.job != key);
        others.any(|task| self.task_state(*task).crashes.is_nearly_exhausted())
    }

    /// Returns whether a unit has waiting tasks that are suspected of crashing their workers.
    pub(super) fn has_suspects(&self, key: JobKey, unit: u32) -> bool {
        let tasks = &self.jobs[key].units[unit as usize].tasks;
        tasks.touched().any(|(_, task)| task.is_suspected() && task.is_waiting())
    }
}
