//! The learned speed of a worker.

use std::time::Duration;

use crate::decay::decay_factor;

/// The number of ends from which on a speed counts as known.
const MIN_ENDS: f64 = 4.0;
/// The number of ends that the prior counts for. Speeds thereby stay around that of an ordinary
/// worker.
const PRIOR_ENDS: f64 = 2.0;
/// The number of ends that a speed remembers at most, so that a worker that turns slow is noticed.
const MAX_ENDS: f64 = 24.0;
/// The time after which an end counts half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// How far, as a logarithm, a single end may lie from the speed; what is beyond counts as this far.
/// So one long task moves a speed no more than a somewhat slow run does.
const MAX_DEVIATION: f64 = 0.7;
/// The largest logarithm of a speed.
const MAX_LOGARITHM: f64 = 1.6;

/// Estimates the speed of a worker from the ends of its runs.
#[derive(Debug, Clone)]
pub struct WorkerSpeed {
    /// What is assumed until enough ends are known, as a logarithm.
    prior: f64,
    /// The logarithm of the estimate.
    estimate: f64,
    /// The decayed number of ends.
    weight: f64,
    updated: Duration,
}

impl WorkerSpeed {
    /// Creates the speed of a worker whose kind has a known speed, given as a logarithm.
    pub fn new(prior: f64) -> Self {
        WorkerSpeed { prior, estimate: prior, weight: 0.0, updated: Duration::ZERO }
    }

    /// Adds the end of a run that was done. `expected` is how long it takes on an ordinary worker.
    pub fn observe(&mut self, expected: Duration, observed: Duration, now: Duration) {
        if expected.is_zero() || observed.is_zero() {
            return;
        }
        let by_time = decay_factor(now.saturating_sub(self.updated), HALF_LIFE);
        self.weight = (self.weight * by_time).min(MAX_ENDS - 1.0) + 1.0;
        self.updated = now;
        let value = (expected.as_secs_f64() / observed.as_secs_f64()).ln();
        let step = (value - self.estimate).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let moved = self.estimate + step / (self.weight + PRIOR_ENDS);
        self.estimate = moved.clamp(-MAX_LOGARITHM, MAX_LOGARITHM);
    }

    /// Returns the logarithm of the speed, which is the prior until enough ends are known.
    pub fn logarithm(&self) -> f64 {
        if self.is_known() { self.estimate } else { self.prior }
    }

    /// Returns whether enough ends are known.
    pub fn is_known(&self) -> bool {
        self.weight >= MIN_ENDS
    }

    /// Returns when the last end was added.
    pub fn updated(&self) -> Duration {
        self.updated
    }
}
