//! What the tasks of a job waited for.

use std::time::Duration;

use crate::BootTime;

/// What keeps a task of a job from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// Its client account's limit.
    AccountLimit,
    /// Permissions for workers, or the renewal of those that have expired.
    Permission,
    /// Free capacity on permitted workers.
    Capacity,
}

/// How long a job has waited, by cause.
///
/// Times count from the first attempt to start a task until nothing of the job waits. While several
/// steps wait, the one that was tried last counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitTally {
    /// How long an account's limit kept tasks from starting.
    pub account_limit: Duration,
    /// How long tasks waited for permissions.
    pub permission: Duration,
    /// How long tasks waited for capacity.
    pub capacity: Duration,
    current: Option<(WaitCause, BootTime)>,
}

impl WaitTally {
    /// Sets what the job waits for from now on; `None` if nothing of it waits.
    pub(crate) fn set(&mut self, cause: Option<WaitCause>, now: BootTime) {
        if let Some((former, since)) = self.current {
            let waited = now.saturating_sub(since);
            match former {
                WaitCause::AccountLimit => self.account_limit += waited,
                WaitCause::Permission => self.permission += waited,
                WaitCause::Capacity => self.capacity += waited,
            }
        }
        self.current = cause.map(|cause| (cause, now));
    }
}
