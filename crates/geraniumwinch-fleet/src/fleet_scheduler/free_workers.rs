//! The workers with free processors.
//!
//! On a full cell, few workers have room for a waiting step, but each step is allowed on many. A pass
//! looks at the fewer of the two.

use crate::BootTime;
use crate::WorkerKey;

use super::FleetScheduler;

/// The usable workers in a pass by their free processors, those with the most first.
#[derive(Debug, Default)]
pub(super) struct FreeWorkers {
    by_room: Vec<(u64, WorkerKey)>,
}

impl FreeWorkers {
    /// Returns the workers with at least the given free processors, in thousandths of a core.
    pub(super) fn with_room(
        &self,
        cpu_millis: u64,
    ) -> impl ExactSizeIterator<Item = WorkerKey> {
        let end = self.by_room.partition_point(|&(free, _)| free >= cpu_millis);
        self.by_room[..end].iter().map(|&(_, worker)| worker)
    }
}

impl FromIterator<(u64, WorkerKey)> for FreeWorkers {
    /// Collects workers with their free processors in thousandths of a core.
    fn from_iter<I: IntoIterator<Item = (u64, WorkerKey)>>(workers: I) -> Self {
        let mut by_room: Vec<(u64, WorkerKey)> = workers.into_iter().collect();
        by_room.sort_unstable_by(|a, b| b.cmp(a));
        FreeWorkers { by_room }
    }
}

impl FleetScheduler {
    /// Returns the usable workers by their free processors.
    pub(super) fn free_workers(&self, now: BootTime) -> FreeWorkers {
        let usable = self.workers.iter().filter(|(_, state)| state.usable(now));
        usable.map(|(worker, state)| (state.free().cpu_millis, worker)).collect()
    }
}
