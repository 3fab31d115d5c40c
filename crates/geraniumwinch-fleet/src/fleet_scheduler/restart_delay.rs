//! Delays between the runs of a long-running task that keep ending soon after their start.
//!
//! Such a task is restarted however its runs end. Without a delay, one that ends at once would take
//! up the owner and the workers with starts.

use std::time::Duration;

use crate::BootTime;

/// The duration from which on a run shows that its task works.
const LONG_RUN: Duration = Duration::from_secs(5);
/// The delay after the second short run in a row; it doubles with each further one.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// The maximum delay. A long-running task should be at work again 6 s after its last run.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// When a long-running task may start again.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RestartDelay {
    /// The number of short runs in a row.
    short_runs: u32,
    /// Until when the task does not start.
    until: BootTime,
}

impl RestartDelay {
    /// Records the end of a run that has lasted for some time.
    pub(super) fn record_end(&mut self, time: Duration, now: BootTime) {
        if time >= LONG_RUN {
            *self = RestartDelay::default();
            return;
        }
        let doublings = self.short_runs.checked_sub(1);
        let delay = doublings.map_or(Duration::ZERO, |doublings| {
            let factor = 1u32.checked_shl(doublings).unwrap_or(u32::MAX);
            MIN_DELAY.saturating_mul(factor).min(MAX_DELAY)
        });
        self.until = now + delay;
        self.short_runs = self.short_runs.saturating_add(1);
    }

    /// Returns whether the task must not start yet.
    pub(super) fn holds(&self, now: BootTime) -> bool {
        now < self.until
    }
}
