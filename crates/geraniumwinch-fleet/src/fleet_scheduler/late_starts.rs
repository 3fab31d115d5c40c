//! Starts of runs that are over, of which the next incarnation of their worker may still execute a copy.
//!
//! An answered stop, a listed end or a report without the run excludes a delayed copy only in the
//! incarnation that they come from. If the task started elsewhere, a restart of the worker could run it
//! in two places. So until no copy can be executed any more, the task starts on the same worker only: its
//! run ends when the worker restarts. After a restart it waits until the new incarnation has responded to
//! a call that excludes older commands. A ticket, which is valid in one incarnation, does the same.

use std::collections::BTreeMap;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::StepPlan;

use super::FleetScheduler;
use super::PlacementRound;
use super::WorkerKey;
use super::permissions::PermissionState;
use super::start_copies::StartCopies;
use super::task_placement::TaskPlacement;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::worker_offers::WorkerOffer;

/// A start whose run is over.
#[derive(Debug, Clone)]
struct LateStart {
    worker: Name,
    run: u64,
    copies: StartCopies,
    /// The incarnation of the worker in which no copy is executed any more.
    excluded_in: Option<u64>,
}

/// The late starts of all tasks.
#[derive(Debug, Default)]
pub(super) struct LateStarts {
    by_task: BTreeMap<TaskRef, Vec<LateStart>>,
}

impl LateStarts {
    /// Returns the copies of a late start.
    pub(super) fn copies_mut(
        &mut self,
        task: TaskRef,
        worker: &Name,
        run: u64,
    ) -> Option<&mut StartCopies> {
        let mut starts = self.by_task.get_mut(&task)?.iter_mut();
        let found = starts.find(|start| start.run == run && start.worker == *worker);
        found.map(|start| &mut start.copies)
    }

    /// Returns whether a run belongs to a late start.
    pub(super) fn contains(&self, task: TaskRef, worker: &Name, run: u64) -> bool {
        let starts = self.by_task.get(&task).into_iter().flatten();
        starts.into_iter().any(|start| start.run == run && start.worker == *worker)
    }

    /// Returns whether a task has late starts.
    pub(super) fn contains_task(&self, task: TaskRef) -> bool {
        self.by_task.contains_key(&task)
    }

    /// Records that no copies for a worker are executed in its present incarnation any more.
    fn exclude(&mut self, worker: &Name, incarnation: Option<u64>) {
        let starts = self.by_task.values_mut().flatten();
        for start in starts.filter(|start| start.worker == *worker) {
            start.excluded_in = incarnation;
        }
    }

    /// Forgets the late starts for a worker that has no other incarnation.
    pub(super) fn forget_worker(&mut self, worker: &Name) {
        self.retain(|start| start.worker != *worker);
    }

    /// Forgets the late starts of a job.
    pub(super) fn forget_job(&mut self, key: JobKey) {
        self.by_task.retain(|task, _| task.job != key);
    }

    /// Forgets the late starts of which no copy can be executed any more.
    pub(super) fn expire(&mut self, now: BootTime) {
        self.retain(|start| start.copies.may_execute(now));
    }

    fn retain(&mut self, mut keep: impl FnMut(&LateStart) -> bool) {
        self.by_task.retain(|_, starts| {
            starts.retain(&mut keep);
            !starts.is_empty()
        });
    }
}

/// Where a waiting task with late starts or orphaned runs may start.
#[derive(Debug, Clone, Copy)]
pub(super) struct PinnedTask {
    pub(super) index: u32,
    /// The only worker; `None` while it may start nowhere.
    worker: Option<WorkerKey>,
}

impl FleetScheduler {
    /// Keeps the start command of a run that is over and no longer placed, unless no other incarnation
    /// of its worker may execute a copy.
    pub(super) fn keep_late_start(
        &mut self,
        task: TaskRef,
        placement: &TaskPlacement,
        now: BootTime,
    ) {
        let needed = self.jobs[task.job].live() && !self.task_state(task).done;
        let Some(state) = self.workers.get(placement.worker) else { return };
        let open = !placement.copies.has_ticket() && self.may_start_later(placement, now);
        if needed && open {
            let start = LateStart {
                worker: state.info.id.clone(),
                run: placement.run,
                copies: placement.copies,
                excluded_in: state.incarnation,
            };
            self.late_starts.by_task.entry(task).or_default().push(start);
        }
    }

    /// Records that a worker has responded to a call that was sent at `sent`. A call with the present
    /// fencing token excludes all earlier commands.
    pub(super) fn update_late_starts(&mut self, worker: WorkerKey, sent: BootTime) {
        let state = &self.workers[worker];
        if sent >= state.fenced_since {
            self.late_starts.exclude(&state.info.id, state.incarnation);
        }
    }

    /// Returns the waiting tasks of a unit with late starts or orphaned runs. While a worker lists an orphaned
    /// run, its task may start nowhere.
    pub(super) fn pinned_tasks(&self, key: JobKey, unit: u32) -> Vec<PinnedTask> {
        let first = TaskRef { job: key, unit, index: 0 };
        let last = TaskRef { index: u32::MAX, ..first };
        let is_waiting = |task: &TaskRef| self.task_state(*task).is_waiting();
        let late = self.late_starts.by_task.range(first..=last);
        let mut pins: BTreeMap<u32, Option<WorkerKey>> = late
            .filter(|(task, _)| is_waiting(task))
            .map(|(task, starts)| (task.index, self.common_worker(starts)))
            .collect();
        let orphaned = self.orphaned_tasks.range(first..=last);
        pins.extend(orphaned.filter(|task| is_waiting(task)).map(|t| (t.index, None)));
        pins.into_iter().map(|(index, worker)| PinnedTask { index, worker }).collect()
    }

    /// Returns the worker on which a task with late starts may start: that of all of them.
    fn common_worker(&self, starts: &[LateStart]) -> Option<WorkerKey> {
        let mut workers = starts.iter().map(|start| self.pinning_worker(start));
        let first = workers.next().flatten();
        first.filter(|_| workers.all(|worker| worker == first))
    }

    /// Returns the worker of a late start, if its present incarnation executes no copy.
    fn pinning_worker(&self, start: &LateStart) -> Option<WorkerKey> {
        let &worker = self.worker_ids.get(&start.worker)?;
        let incarnation = self.workers[worker].incarnation;
        (incarnation.is_some() && incarnation == start.excluded_in).then_some(worker)
    }

    /// Returns the offer of the only worker on which a task may start.
    fn pinned_offer(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        pinned: &PinnedTask,
        now: BootTime,
    ) -> Option<WorkerOffer> {
        let valid = PermissionState::Valid;
        let worker = pinned.worker?;
        // The queue may have come to require permission.
        if self.permission(key, unit, worker, now) != valid {
            return None;
        }
        self.offer(key, unit, plan, worker, valid, now)
    }

    /// Starts up to `needed` pinned tasks where they may, and returns how many other tasks may start.
    pub(super) fn start_pinned(
        &mut self,
        key: JobKey,
        unit: u32,
        pinned: &[PinnedTask],
        needed: usize,
        now: BootTime,
        round: &mut PlacementRound,
    ) -> usize {
        let plan = self.jobs[key].plan(unit).clone();
        let mut left = needed;
        for task in pinned {
            let state = &self.jobs[key].units[unit as usize].tasks[task.index as usize];
            if left == 0 || !state.is_startable(now) {
                continue;
            }
            if let Some(offer) = self.pinned_offer(key, unit, &plan, task, now) {
                self.start_on(key, unit, &[(task.index, offer.worker)], now, round);
                left -= 1;
            }
        }
        let tasks = &self.jobs[key].units[unit as usize].tasks;
        let waits = |task: &&PinnedTask| tasks[task.index as usize].is_startable(now);
        let waiting = pinned.iter().filter(waits).count();
        left.min(self.startable_tasks(key, unit, now) - waiting)
    }

    /// Starts a gang of which some members may start on one worker only.
    pub(super) fn start_pinned_gang(
        &mut self,
        key: JobKey,
        unit: u32,
        pinned: &[PinnedTask],
        mut offers: Vec<WorkerOffer>,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let tasks = self.jobs[key].units[unit as usize].tasks.len() as u32;
        let mut chosen = Vec::with_capacity(tasks as usize);
        let pins: BTreeMap<u32, Option<WorkerKey>> =
            pinned.iter().map(|task| (task.index, task.worker)).collect();
        let free = (0..tasks).filter(|index| !pins.contains_key(index));
        let order = pins.keys().copied().chain(free);
        for index in order {
            let pin = pins.get(&index).copied();
            let fits = |offer: &&mut WorkerOffer| {
                offer.fits > 0 && pin.is_none_or(|worker| worker == Some(offer.worker))
            };
            let Some(offer) = offers.iter_mut().find(fits) else { return };
            offer.fits -= 1;
            chosen.push((index, offer.worker));
        }
        self.start_on(key, unit, &chosen, now, round);
    }
}
