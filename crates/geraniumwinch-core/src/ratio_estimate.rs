//! The learned ratio of observed to estimated durations.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::decay::decay_factor;

/// The number of ends from which on a ratio counts as known.
const MIN_ENDS: f64 = 20.0;
/// The number of ends that a ratio remembers at most, so that a busy queue follows a change of load.
const MAX_ENDS: f64 = 200.0;
/// The time after which an end counts half.
const HALF_LIFE: Duration = Duration::from_secs(120);
/// How far an end may lie from the mean, in standard deviations; what is beyond counts as this far.
const MAX_DEVIATIONS: f64 = 2.5;
/// The standard deviation of logarithms that is assumed at least, and before ends are known.
const MIN_DEVIATION: f64 = 0.4;
/// How many times its estimate a run's start must be ago before its end counts. Of runs that started
/// together the short ones end first, and would make all of them seem short.
const HOLD_FACTOR: u32 = 2;
/// The number of ends that are held back at most.
const MAX_HELD: usize = 512;
/// The largest factor between an observed and an estimated duration.
const MAX_FACTOR: f64 = 20.0;
/// The change of a logarithm from which on forecasts are made anew.
const PUBLISH_STEP: f64 = 0.05;
/// The factor from which on a change of the ratio is worth a report to operators.
const REPORT_FACTOR: f64 = 1.25;

/// By which factors the durations of tasks differ from their estimates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DurationRatio {
    /// The factor of a typical task, which half of the tasks exceed.
    pub typical: f64,
    /// The factor of a task that takes one standard deviation less than a typical one.
    pub favorable: f64,
    /// The factor of the sum of many tasks, long ones included.
    pub total: f64,
}

impl Default for DurationRatio {
    fn default() -> Self {
        DurationRatio { typical: 1.0, favorable: 1.0, total: 1.0 }
    }
}

impl DurationRatio {
    /// Returns the factor by which to judge whether a task can be done in time: no task counts as
    /// late that has a fair chance to be in time.
    pub fn for_lateness(&self) -> f64 {
        self.favorable.max(self.typical.min(1.0))
    }

    /// Returns the largest change from another ratio, as the difference of logarithms.
    pub fn distance(&self, other: &DurationRatio) -> f64 {
        let typical = (self.typical / other.typical).ln().abs();
        typical.max((self.total / other.total).ln().abs())
    }
}

/// A change of the ratio that forecasts use; `None` stands for the estimates of clients.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RatioChange {
    /// The ratio at the last reported change.
    pub former: Option<DurationRatio>,
    /// The ratio from now on.
    pub current: Option<DurationRatio>,
}

/// An end that does not count yet; ordered by the time from which on it does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct HeldEnd {
    due: Duration,
    estimate: Duration,
    observed: Duration,
}

/// Estimates the ratio of observed to estimated durations of one kind of task from the ends of runs.
#[derive(Debug, Clone, Default)]
pub(crate) struct RatioEstimate {
    /// The decayed number of ends.
    weight: f64,
    /// The decayed mean and variance of the logarithms of ratios.
    mean: f64,
    variance: f64,
    /// The decayed sums of estimated and observed durations, in seconds.
    estimated: f64,
    observed: f64,
    /// The number of all ends.
    ends: u64,
    updated: Duration,
    held: BinaryHeap<Reverse<HeldEnd>>,
    /// The ratio that forecasts use; `None` until enough ends are known.
    published: Option<DurationRatio>,
    /// The ratio at the last reported change.
    reported: Option<DurationRatio>,
}

impl RatioEstimate {
    /// Adds an end, and returns whether the ratio that forecasts use has changed.
    pub(crate) fn observe(
        &mut self,
        estimate: Duration,
        observed: Duration,
        now: Duration,
    ) -> bool {
        let hold = estimate.saturating_mul(HOLD_FACTOR).saturating_sub(observed);
        self.held.push(Reverse(HeldEnd {
            due: now.saturating_add(hold),
            estimate,
            observed,
        }));
        self.ends += 1;
        while let Some(Reverse(end)) = self.held.peek()
            && (end.due <= now || self.held.len() > MAX_HELD)
        {
            if let Some(Reverse(end)) = self.held.pop() {
                self.count(&end, now);
            }
        }
        self.decay(now);
        self.publish()
    }

    /// Counts an end.
    fn count(&mut self, end: &HeldEnd, now: Duration) {
        self.decay(end.due.min(now));
        self.shrink((MAX_ENDS / (self.weight + 1.0)).min(1.0));
        let estimate = end.estimate.as_secs_f64();
        let ratio = end.observed.as_secs_f64() / estimate;
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        self.add_logarithm(ratio.ln());
        self.estimated += estimate;
        self.observed += estimate * ratio;
    }

    /// Returns the ratio that forecasts use.
    pub(crate) fn published(&self) -> Option<DurationRatio> {
        self.published
    }

    /// Returns the change of the ratio since the last reported one, if it is worth a report.
    pub(crate) fn take_change(&mut self) -> Option<RatioChange> {
        let (former, current) = (self.reported, self.published);
        let large = match (&former, &current) {
            (Some(former), Some(current)) => {
                former.distance(current) >= REPORT_FACTOR.ln()
            }
            _ => former.is_some() != current.is_some(),
        };
        self.reported = if large { current } else { former };
        large.then_some(RatioChange { former, current })
    }

    /// Returns the number of all ends.
    pub(crate) fn ends(&self) -> u64 {
        self.ends
    }

    /// Returns when the last end was added.
    pub(crate) fn updated(&self) -> Duration {
        self.updated
    }

    /// Lets the known ends count less by their age.
    fn decay(&mut self, now: Duration) {
        self.shrink(decay_factor(now.saturating_sub(self.updated), HALF_LIFE));
        self.updated = self.updated.max(now);
    }

    /// Multiplies the weight of the known ends.
    fn shrink(&mut self, factor: f64) {
        self.weight *= factor;
        self.estimated *= factor;
        self.observed *= factor;
    }

    /// Adds the logarithm of a ratio to the mean and the variance.
    fn add_logarithm(&mut self, value: f64) {
        let deviation = self.variance.sqrt().max(MIN_DEVIATION);
        let limit = deviation * MAX_DEVIATIONS;
        let is_known = self.published.is_some();
        let difference = value - self.mean;
        let step = if is_known { difference.clamp(-limit, limit) } else { difference };
        self.weight += 1.0;
        let gain = 1.0 / self.weight;
        self.mean += step * gain;
        self.variance = (1.0 - gain) * (self.variance + gain * step * step);
    }

    /// Updates the ratio that forecasts use if it is no longer right, and returns whether it did.
    fn publish(&mut self) -> bool {
        let known = self.weight >= MIN_ENDS;
        let current = known.then(|| DurationRatio {
            typical: self.mean.exp(),
            favorable: (self.mean - self.variance.sqrt()).exp(),
            total: self.observed / self.estimated,
        });
        let changed = match (&self.published, &current) {
            (Some(published), Some(current)) => {
                published.distance(current) > PUBLISH_STEP
            }
            (published, current) => published.is_some() != current.is_some(),
        };
        if changed {
            self.published = current;
        }
        changed
    }
}
