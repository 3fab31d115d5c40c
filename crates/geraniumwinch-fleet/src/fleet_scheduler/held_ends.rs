//! Ends of runs that are acknowledged late.
//!
//! A run that is done is done for good: its task is finished and stored at once. Yet while another
//! incarnation of the worker may execute a copy of the run's start command, the worker is not told that
//! its end was noted, so that a second execution does not follow an acknowledged end.

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::EndedRun;
use crate::RunOutcome;
use crate::TaskName;

use super::FleetScheduler;
use super::WorkerKey;
use super::start_copies::StartCopies;
use super::task_ref::TaskRef;

/// The start command of a run that is done, of which a copy may be executed by the next incarnation of
/// its worker.
#[derive(Debug, Clone)]
pub(super) struct OpenStart {
    task: TaskName,
    run: u64,
    copies: StartCopies,
}

impl FleetScheduler {
    /// Returns the start command of a run that is done, unless all of its copies, and those of earlier
    /// runs of the task, are known to be excluded in the next incarnation of the worker as well.
    ///
    /// A ticket keeps other incarnations from executing the start.
    pub(super) fn open_start(
        &self,
        worker: WorkerKey,
        task: TaskRef,
        ended: &EndedRun,
        now: BootTime,
    ) -> Option<OpenStart> {
        let placed = self
            .placement_of(task)
            .filter(|placement| placement.worker == worker && placement.run == ended.run);
        let lasting = self.jobs[task.job].plan(task.unit).long_running;
        let is_late = self.late_starts.contains_task(task);
        let may_start = placed.is_some_and(|placement| {
            !placement.copies.has_ticket() && self.may_start_later(placement, now)
        });
        let open =
            ended.outcome == RunOutcome::Done && !lasting && (is_late || may_start);
        let copies = placed.map(|placement| placement.copies).unwrap_or_default();
        open.then(|| OpenStart { task: ended.task.clone(), run: ended.run, copies })
    }

    /// Returns the start command of a run that is done and whose job had ended when this owner took over, if
    /// a former owner's copies of the task's starts may be executed later.
    pub(super) fn open_start_of_ended(
        &mut self,
        ended: &EndedRun,
        now: BootTime,
    ) -> Option<OpenStart> {
        let copies = self.late_starts.copies_of_ended(&ended.task, now)?;
        let open = ended.outcome == RunOutcome::Done;
        open.then(|| OpenStart { task: ended.task.clone(), run: ended.run, copies })
    }

    /// Returns the copies of the start command of a run whose end a worker's owner acknowledges late.
    pub(super) fn held_copies(
        &self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
    ) -> Option<StartCopies> {
        let ends = &self.workers[worker].unstored_ends;
        let mut open = ends.iter().filter_map(|end| end.open_start.as_ref());
        let open = open.find(|open| open.run == run && open.task == *name);
        open.map(|open| open.copies)
    }

    /// Returns the copies of the start command of a run that is placed on a worker, or whose end there
    /// is acknowledged late.
    pub(super) fn copies_mut(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
    ) -> Option<&mut StartCopies> {
        if let Some(task) = self.find_run(worker, name, run) {
            return self.placement_of_mut(task).map(|placement| &mut placement.copies);
        }
        let task = self.find_task(name);
        let state = self.workers.get_mut(worker)?;
        let id = state.info.id.clone();
        if let Some(task) = task.filter(|task| self.late_starts.contains(*task, &id, run))
        {
            return self.late_starts.copies_mut(task, &id, run);
        }
        let ends = &mut state.unstored_ends;
        let mut open = ends.iter_mut().filter_map(|end| end.open_start.as_mut());
        let open = open.find(|open| open.run == run && open.task == *name);
        open.map(|open| &mut open.copies)
    }

    /// Allows the ends of a worker's runs to be acknowledged whose start commands are no longer open.
    pub(super) fn release_held_ends(&mut self, worker: WorkerKey, now: BootTime) {
        let replaced = self.workers[worker].replaced;
        let is_over = |open: &OpenStart| {
            let task = self.find_task(&open.task);
            let is_late = task.is_some_and(|task| self.late_starts.contains_task(task));
            replaced || !(is_late || open.copies.may_execute(now))
        };
        let ends = &self.workers[worker].unstored_ends;
        let open =
            ends.iter().filter_map(|end| Some((end.number, end.open_start.as_ref()?)));
        let over: Vec<u64> =
            open.filter(|(_, open)| is_over(open)).map(|(number, _)| number).collect();
        let ends = &mut self.workers[worker].unstored_ends;
        for end in ends.iter_mut().filter(|end| over.contains(&end.number)) {
            end.open_start = None;
        }
        self.advance_ends(worker);
    }

    /// Returns the resources that a worker's next incarnation may use for copies of the start commands
    /// of runs that were done in the present one.
    pub(super) fn open_start_usage(&self, worker: WorkerKey) -> ResourceVector {
        let ends = &self.workers[worker].unstored_ends;
        let open = ends.iter().filter_map(|end| end.open_start.as_ref());
        let tasks = open.filter_map(|open| self.find_task(&open.task));
        let mut usage = ResourceVector::default();
        tasks.for_each(|task| usage.add(&self.jobs[task.job].plan(task.unit).reserved()));
        usage
    }
}
