//! Counts of how accepted jobs started.

use std::time::Duration;

/// How late the jobs were that were started for the first time since the counts were last taken. Each of
/// them was accepted because it was expected to be in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FirstStartTally {
    /// Jobs that could still meet their objective.
    pub in_time: u64,
    /// Jobs that were late, but whose results were of some use.
    pub late: u64,
    /// Jobs whose results were of little use.
    pub overdue: u64,
    /// The sum of the times from acceptance to the first start.
    pub waits: Duration,
}

impl FirstStartTally {
    /// Returns the average time from acceptance to the first start.
    pub fn average_wait(&self) -> Duration {
        let jobs = self.in_time + self.late + self.overdue;
        self.waits / u32::try_from(jobs.max(1)).unwrap_or(u32::MAX)
    }
}
