//! Exponential decay.

use std::time::Duration;

/// Returns what is left of a weight after a time.
pub(crate) fn decay_factor(time: Duration, half_life: Duration) -> f64 {
    (-time.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
