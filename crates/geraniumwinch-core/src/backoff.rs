//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::Rng;

/// Computes the delay before a retry.
#[derive(Debug, Clone, Copy)]
pub struct RetryBackoff {
    base: Duration,
    max: Duration,
}

impl RetryBackoff {
    /// Creates a backoff whose first delay is at most `base` and whose later delays never exceed `max`.
    pub fn new(base: Duration, max: Duration) -> Self {
        RetryBackoff { base, max }
    }

    /// Returns a random delay before the given retry, counted from 0.
    pub fn delay(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let ceiling = self.base.saturating_mul(1 << attempt.min(16)).min(self.max);
        ceiling.mul_f64(rng.random::<f64>())
    }
}
