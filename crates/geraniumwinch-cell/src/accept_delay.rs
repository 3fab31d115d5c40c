//! How long the owner takes to accept a job.
//!
//! An owner that falls behind its work takes long to store a job, and long to start it. Jobs that
//! can't be in time any more when they are stored are refused at once, before the owner spends a write
//! on them.

use std::time::Duration;

use geraniumwinch_fleet::BootTime;

/// The weight of a new delay in the moving average.
const DELAY_GAIN: f64 = 0.1;
/// The time in which the average decays while no job is accepted, so that some are tried again.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// The average time between the arrival of a job at the owner and its acceptance.
#[derive(Debug, Default)]
pub struct AcceptDelay {
    average: Duration,
    updated: BootTime,
}

impl AcceptDelay {
    /// Records how long the acceptance of a job has taken.
    pub fn record(&mut self, took: Duration, now: BootTime) {
        let known = self.expected(now);
        self.average = known.mul_f64(1.0 - DELAY_GAIN) + took.mul_f64(DELAY_GAIN);
        self.updated = now;
    }

    /// Returns how long the acceptance of a job is expected to take.
    pub fn expected(&self, now: BootTime) -> Duration {
        let age = now.saturating_sub(self.updated);
        let kept = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.average.mul_f64(kept)
    }
}
