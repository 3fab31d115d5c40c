//! Room for overdue jobs.
//!
//! A burst that could not be served in time leaves jobs whose results are of little use by now. They
//! are still done, but only in capacity that the jobs after them do not need: if they took all that
//! is free, each later job would have to wait for them and be late as well. The same holds for the
//! owner's time: while other steps wait, a pass starts only a few of their tasks.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::StepPlan;

use super::FleetScheduler;
use super::job_lateness::JobLateness;
use super::placement::PlacementRound;
use super::task_ref::JobKey;

/// The share of the usable workers' processors beyond which no overdue job is placed.
const MAX_USED_SHARE: f64 = 0.75;

/// The number of tasks of overdue jobs that a pass may start in which other steps wait. Each start takes
/// some of the owner's time, which an owner that falls behind needs for the others.
const MAX_TASKS_BESIDE_OTHERS: usize = 4;

/// What overdue jobs may take in a placement pass.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverdueRoom {
    /// The processors that they may take at most, on idle workers, in thousandths of a core.
    limit: u64,
    /// What is left of them.
    left: u64,
    /// The number of tasks that may still start.
    tasks: usize,
}

impl OverdueRoom {
    /// Returns how many of `wanted` tasks of a size may start. A task or gang that exceeds the limit
    /// by itself may take any capacity, since it could never start otherwise.
    fn copies(&self, size: &ResourceVector, wanted: usize, gang: bool) -> usize {
        if self.tasks == 0 {
            return 0;
        }
        let wanted = if gang { wanted } else { wanted.min(self.tasks) };
        let together = if gang { wanted as u64 } else { 1 };
        if size.cpu_millis == 0 || size.cpu_millis.saturating_mul(together) > self.limit {
            return wanted;
        }
        wanted.min((self.left / size.cpu_millis) as usize)
    }

    /// Returns whether nothing may start any more.
    pub(super) fn is_used_up(&self) -> bool {
        self.tasks == 0
    }

    /// Counts a task that starts.
    pub(super) fn take(&mut self, size: &ResourceVector) {
        self.left = self.left.saturating_sub(size.cpu_millis);
        self.tasks = self.tasks.saturating_sub(1);
    }
}

impl FleetScheduler {
    /// Returns whether a job waits behind all others since its result is of little use by now.
    pub(super) fn is_overdue(&self, key: JobKey, unix_time: Duration) -> bool {
        self.jobs[key].lateness(unix_time) == JobLateness::Overdue
    }

    /// Returns how many of `wanted` tasks of a step an overdue job may start in this pass.
    pub(super) fn overdue_copies(
        &self,
        plan: &StepPlan,
        wanted: usize,
        now: BootTime,
        round: &mut PlacementRound,
    ) -> usize {
        let room = round.overdue_room.get_or_insert_with(|| self.overdue_room(now));
        room.copies(&plan.reserved(), wanted, plan.gang)
    }

    /// Returns the processors that overdue jobs may take now.
    fn overdue_room(&self, now: BootTime) -> OverdueRoom {
        let usable = || self.workers.values().filter(|state| state.usable(now));
        let total: ResourceVector = usable().map(|state| &state.info.capacity).sum();
        let used: ResourceVector = usable().map(|state| &state.used).sum();
        let limit = (total.cpu_millis as f64 * MAX_USED_SHARE) as u64;
        // Overdue jobs come last, so all other steps of the pass are counted.
        let tasks = if self.backoff.has_waiting_units() {
            MAX_TASKS_BESIDE_OTHERS
        } else {
            usize::MAX
        };
        OverdueRoom { limit, left: limit.saturating_sub(used.cpu_millis), tasks }
    }
}
