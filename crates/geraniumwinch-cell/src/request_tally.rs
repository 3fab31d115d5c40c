//! Counts of the requests that the owner serves.

use std::time::Duration;

/// The requests that the owner has served since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTally {
    /// Jobs that were handed in, with repeated attempts.
    pub submissions: u64,
    /// Those of them that were refused before the store was asked.
    pub refused: u64,
    /// Those of them that were stored.
    pub stored: u64,
    /// The sum of the times from the arrival of the stored ones until they were stored.
    pub storing: Duration,
    /// Queries, cancellations and counts of waiting jobs.
    pub lookups: u64,
    /// Heartbeats of processes.
    pub heartbeats: u64,
}

impl RequestTally {
    /// Returns the average time from the arrival of a job until it was stored.
    pub fn average_storing(&self) -> Duration {
        self.storing / u32::try_from(self.stored.max(1)).unwrap_or(u32::MAX)
    }
}
