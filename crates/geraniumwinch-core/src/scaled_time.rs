//! Multiples of times that may be of any length.

use std::time::Duration;

/// Returns a time multiplied by a factor, at most [`Duration::MAX`]. A factor that is negative or no
/// number gives zero.
pub fn scaled_time(time: Duration, factor: f64) -> Duration {
    let seconds = time.as_secs_f64() * factor.max(0.0);
    if seconds >= Duration::MAX.as_secs_f64() {
        return Duration::MAX;
    }
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
