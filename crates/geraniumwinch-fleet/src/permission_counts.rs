//! Counts of what is requested from the permission service and what becomes of it.

/// The totals of permission requests since the scheduler was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PermissionCounts {
    /// Workers for which permission was requested in calls that succeeded.
    pub asked: u64,
    /// Permissions granted.
    pub granted: u64,
    /// Permissions that at least one start carried.
    pub used: u64,
    /// Permissions that expired or were replaced before a start carried them.
    pub lapsed: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Requests that were dropped before they were sent.
    pub dropped: u64,
}

impl PermissionCounts {
    /// Returns what was counted since `earlier`.
    pub fn since(&self, earlier: &PermissionCounts) -> PermissionCounts {
        PermissionCounts {
            asked: self.asked - earlier.asked,
            granted: self.granted - earlier.granted,
            used: self.used - earlier.used,
            lapsed: self.lapsed - earlier.lapsed,
            failed: self.failed - earlier.failed,
            dropped: self.dropped - earlier.dropped,
        }
    }
}
