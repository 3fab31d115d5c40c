//! A summary of the scheduler's state.

use geraniumwinch_core::ResourceVector;

use crate::BootTime;

use super::FleetScheduler;

/// A summary of the scheduler's state for logs and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCounts {
    /// The number of jobs that have not ended.
    pub live_jobs: usize,
    /// The number of tasks that are placed on a worker.
    pub placed: usize,
    /// The number of workers that accept tasks now.
    pub usable_workers: usize,
    /// The number of known workers.
    pub workers: usize,
    /// The fraction of the usable workers' processor capacity that is reserved.
    pub used: f64,
    /// The fraction of the usable workers' processor capacity that tasks have.
    pub running: f64,
}

impl FleetScheduler {
    /// Returns a summary of the scheduler's state.
    pub fn counts(&self, now: BootTime) -> FleetCounts {
        let usable = || self.workers.values().filter(|state| state.usable(now));
        let used: ResourceVector = usable().map(|state| &state.used).sum();
        let total: ResourceVector = usable().map(|state| &state.info.capacity).sum();
        let total = total.cpu_millis.max(1) as f64;
        FleetCounts {
            live_jobs: self.open_jobs.len(),
            placed: self.workers.values().map(|state| state.tasks.len()).sum(),
            usable_workers: usable().count(),
            workers: self.workers.len(),
            used: used.cpu_millis as f64 / total,
            running: self.placed_cpu_millis() as f64 / total,
        }
    }
}
