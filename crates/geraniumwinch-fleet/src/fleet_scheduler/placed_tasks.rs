//! How many tasks may be placed at a time, whatever their size: a task may request nothing.

use super::FleetScheduler;
use super::WorkerKey;
use super::job_state::URGENT_PRIORITY;

/// The memory that a placed task takes in the owner, with its start command, in bytes.
const PLACED_TASK_BYTES: u64 = 2_560;
/// The maximum number of tasks on a worker, whose reports list all of them.
const MAX_WORKER_TASKS: usize = 1_024;
/// The part of all placed tasks that is kept for urgent jobs.
const URGENT_SHARE: usize = 10;

/// The number of tasks that are placed and that may be.
#[derive(Debug)]
pub(super) struct PlacedTasks {
    placed: usize,
    max: usize,
}

impl Default for PlacedTasks {
    fn default() -> Self {
        PlacedTasks { placed: 0, max: usize::MAX }
    }
}

impl PlacedTasks {
    /// Counts a task that is placed.
    pub(super) fn add(&mut self) {
        self.placed += 1;
    }

    /// Counts a task that is no longer placed.
    pub(super) fn remove(&mut self) {
        self.placed = self.placed.saturating_sub(1);
    }

    /// Returns how many more tasks of a priority may be placed.
    fn room(&self, priority: u32) -> usize {
        let kept = if priority == URGENT_PRIORITY { 0 } else { self.max / URGENT_SHARE };
        (self.max - kept).saturating_sub(self.placed)
    }
}

impl FleetScheduler {
    /// Sets the memory for placed tasks in bytes.
    pub fn set_placed_memory(&mut self, bytes: u64) {
        let max = usize::try_from(bytes / PLACED_TASK_BYTES);
        self.placed_tasks.max = max.unwrap_or(usize::MAX);
    }

    /// Returns how many more tasks of a priority may be placed on all workers.
    pub(super) fn placeable_tasks(&self, priority: u32) -> usize {
        self.placed_tasks.room(priority)
    }

    /// Returns how many more tasks may be placed on a worker.
    pub(super) fn placeable_on(&self, worker: WorkerKey) -> u32 {
        let placed = self.workers[worker].tasks.len();
        MAX_WORKER_TASKS.saturating_sub(placed) as u32
    }
}
