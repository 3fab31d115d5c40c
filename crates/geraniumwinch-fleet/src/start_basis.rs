//! What an owner knows of a worker when it sends a start.

use std::time::Duration;

/// What an owner knows of a worker when it sends a start, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StartBasis {
    /// The incarnation of the last report; 0 before the first one.
    pub incarnation: u64,
    /// The fencing token above the epoch.
    pub fence: u64,
    /// The time since the last report.
    pub report_age: Duration,
}
