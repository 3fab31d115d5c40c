//! The use of the VMs by calls to the permission service.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_fleet::BootTime;

/// The time constant of the averages.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// The share of the VMs that a priority gets from less urgent ones at least.
const CLAIMABLE_SHARE: f64 = 0.34;

/// The average number of VMs that make calls of each priority.
///
/// Admission counts what is left of them: a priority gets what it has used lately and what was idle,
/// since more urgent calls go first and open calls of less urgent jobs are not aborted.
#[derive(Debug, Default)]
pub struct CallUsage {
    averages: BTreeMap<u32, f64>,
    updated: BootTime,
}

impl CallUsage {
    /// Counts a call that begins.
    pub fn record(&mut self, priority: u32, call_time: Duration, now: BootTime) {
        let kept = self.kept_share(now);
        self.averages.values_mut().for_each(|average| *average *= kept);
        self.updated = now;
        let added = call_time.as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        *self.averages.entry(priority).or_default() += added;
    }

    /// Returns how many of the given number of VMs can make calls of a priority.
    pub fn available(&self, priority: u32, vms: usize, now: BootTime) -> f64 {
        let vms = vms as f64;
        let all: f64 = self.averages.values().sum::<f64>() * self.kept_share(now);
        // Calls of VMs that were lost since count until they are forgotten.
        let scale = self.kept_share(now) * if all > vms { vms / all } else { 1.0 };
        let urgent: f64 = self.averages.range(..priority).map(|(_, used)| used).sum();
        let own = self.averages.get(&priority).copied().unwrap_or_default();
        let unused = vms - all.min(vms);
        let claimable = (vms - urgent * scale) * CLAIMABLE_SHARE;
        (unused + own * scale).max(claimable)
    }

    /// Returns the share of the averages that is left since they were updated.
    fn kept_share(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.updated);
        (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
