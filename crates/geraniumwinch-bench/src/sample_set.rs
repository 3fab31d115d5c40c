//! Duration samples with their mean and quantiles.

use std::time::Duration;

/// A set of duration samples.
#[derive(Debug, Default)]
pub struct SampleSet {
    samples: Vec<Duration>,
}

impl SampleSet {
    pub fn add(&mut self, sample: Duration) {
        self.samples.push(sample);
    }

    /// Returns the sample below which a fraction of all samples lies, or zero without samples.
    pub fn quantile(&mut self, fraction: f64) -> Duration {
        self.samples.sort_unstable();
        let last = self.samples.len().saturating_sub(1);
        let index = (last as f64 * fraction).round() as usize;
        self.samples.get(index).copied().unwrap_or_default()
    }

    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns the mean, or zero without samples.
    pub fn mean(&self) -> Duration {
        let total: Duration = self.samples.iter().sum();
        total / self.samples.len().max(1) as u32
    }
}
