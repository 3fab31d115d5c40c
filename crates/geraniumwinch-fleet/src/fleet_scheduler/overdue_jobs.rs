//! Room for overdue jobs.
//!
//! A burst that could not be served in time leaves jobs whose results are of little use by now. They
//! are still done, but only in capacity that the jobs after them do not need: if they took all that
//! is free, each later job would have to wait for them and be late as well.

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

/// The processors that overdue jobs may take in a placement pass, in thousandths of a core.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverdueRoom {
    /// What they may take at most, on idle workers.
    limit: u64,
    /// What is left of it.
    left: u64,
}

impl OverdueRoom {
    /// Returns how many of `wanted` tasks of a size may start. A task or gang that exceeds the limit
    /// by itself may take any capacity, since it could never start otherwise.
    fn copies(&self, size: &ResourceVector, wanted: usize, gang: bool) -> usize {
        let together = if gang { wanted as u64 } else { 1 };
        if size.cpu_millis == 0 || size.cpu_millis.saturating_mul(together) > self.limit {
            return wanted;
        }
        wanted.min((self.left / size.cpu_millis) as usize)
    }

    /// Counts a task that starts.
    pub(super) fn take(&mut self, size: &ResourceVector) {
        self.left = self.left.saturating_sub(size.cpu_millis);
    }
}

impl FleetScheduler {
    /// Returns whether a job waits behind all others since its result is of little use by now. Jobs
    /// with long-running tasks never do: their tasks are of use whenever they run.
    pub(super) fn is_overdue(&self, key: JobKey, unix_time: Duration) -> bool {
        let job = &self.jobs[key];
        let lasting = job.record.request.steps.iter().any(|plan| plan.long_running);
        !lasting && job.lateness(unix_time) == JobLateness::Overdue
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
        OverdueRoom { limit, left: limit.saturating_sub(used.cpu_millis) }
    }
}
