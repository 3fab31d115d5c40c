//! How long the responses to calls of one kind take.

use std::time::Duration;

use geraniumwinch_core::scaled_time;

/// The weights of a new response time in the moving averages of the times and of their deviations.
const TIME_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// How many mean deviations later than the average a response is before it counts as late.
const MAX_DEVIATIONS: f64 = 4.0;

/// The moving averages of response times and of their deviations.
#[derive(Debug, Clone, Default)]
pub struct ResponseTimes {
    /// The averages in seconds; `None` before the first response.
    averages: Option<(f64, f64)>,
}

impl ResponseTimes {
    /// Records how long a response took.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let (mean, deviation) = self.averages.unwrap_or((took, took / 2.0));
        let difference = took - mean;
        let deviation = deviation + (difference.abs() - deviation) * DEVIATION_GAIN;
        self.averages = Some((mean + difference * TIME_GAIN, deviation));
    }

    /// Returns the time after which a response is late, within `min` and `max`; `max` before the first
    /// response.
    pub fn late_after(&self, min: Duration, max: Duration) -> Duration {
        let Some((mean, deviation)) = self.averages else { return max };
        let late = scaled_time(Duration::from_secs(1), mean + deviation * MAX_DEVIATIONS);
        late.clamp(min, max)
    }
}
