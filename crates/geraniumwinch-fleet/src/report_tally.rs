//! Counts of what workers report.

/// What the reports of workers held since the counts were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportTally {
    /// Reports that were processed.
    pub reports: u64,
    /// Running runs that they listed.
    pub running: u64,
    /// Ended runs that they listed for the first time.
    pub ends: u64,
    /// Ended runs that they listed although these were processed before.
    pub known_ends: u64,
}
