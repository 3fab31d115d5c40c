//! The times of the owner's scheduling passes, and of the worker reports between them.
//!
//! It addresses a backlog that makes passes long: whatever they take, worker reports and client requests
//! must get most of the processor, since the owner would otherwise fall behind for good. What a worker
//! reports is used by the next pass, so a worker reports less often while passes are rare.

use std::time::Duration;

/// The minimum time between two passes.
const MIN_GAP: Duration = Duration::from_millis(4);
/// The ratio of the time between two passes to the duration of the last one.
const GAP_FACTOR: u32 = 2;
/// The maximum time between two passes.
const MAX_GAP: Duration = Duration::from_secs(1);
/// The minimum time between two reports of a worker.
const MIN_REPORT_GAP: Duration = Duration::from_millis(15);
/// The maximum time between two reports of a worker, by which the end of a job may be delayed.
const MAX_REPORT_GAP: Duration = Duration::from_millis(100);

/// Paces the owner's scheduling passes and sums up their durations.
#[derive(Debug, Default)]
pub struct PassPacing {
    passes: u32,
    busy: Duration,
    /// The duration of the last pass.
    last: Duration,
}

impl PassPacing {
    /// Records the duration of a pass and returns the time to wait before the next one.
    pub fn record(&mut self, took: Duration) -> Duration {
        self.passes += 1;
        self.busy += took;
        self.last = took;
        gap_after(took)
    }

    /// Returns the expected time from the beginning of a pass to the end of the next one, if that
    /// begins as soon as it may and both take as long as the last pass.
    pub fn period(&self) -> Duration {
        self.last * 2 + gap_after(self.last)
    }

    /// Returns the time to wait before a worker that has reported is asked again: about that until the
    /// next pass.
    pub fn report_gap(&self) -> Duration {
        gap_after(self.last).clamp(MIN_REPORT_GAP, MAX_REPORT_GAP)
    }

    /// Returns and clears the number of passes and their total duration.
    pub fn take(&mut self) -> (u32, Duration) {
        let totals = (self.passes, self.busy);
        (self.passes, self.busy) = Default::default();
        totals
    }
}

/// Returns the time to wait after a pass of the given duration.
fn gap_after(took: Duration) -> Duration {
    (took * GAP_FACTOR).clamp(MIN_GAP, MAX_GAP)
}
