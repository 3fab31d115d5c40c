//! The calls to the permission service that the VMs of a cell can make now.

use std::time::Duration;

use crate::run_command::is_long_call;

/// The capacity for calls to the permission service that a placement pass may use.
///
/// Long and short calls are counted separately, so that neither kind takes the VMs of the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallBudget {
    /// The number of long calls that can be made at once.
    pub long_calls: usize,
    /// The time that the VMs can spend on short calls soon.
    pub short_time: Duration,
    /// Whether calls should only be made for capacity that is free now, since most VMs are busy.
    pub scarce: bool,
}

impl CallBudget {
    /// Takes a call from the budget, and returns whether it was there. The last short call may
    /// exceed it.
    pub(crate) fn take(&mut self, call_time: Duration) -> bool {
        if self.is_used_up(call_time) {
            return false;
        }
        if is_long_call(call_time) {
            self.long_calls -= 1;
        } else {
            self.short_time = self.short_time.saturating_sub(call_time);
        }
        true
    }

    /// Returns whether the budget has no room for a call.
    pub(crate) fn is_used_up(&self, call_time: Duration) -> bool {
        if is_long_call(call_time) {
            self.long_calls == 0
        } else {
            self.short_time.is_zero()
        }
    }

    /// Returns the time that the VMs can spend on calls like the given one.
    pub(crate) fn free_time(&self, call_time: Duration) -> Duration {
        if is_long_call(call_time) {
            call_time.saturating_mul(u32::try_from(self.long_calls).unwrap_or(u32::MAX))
        } else {
            self.short_time
        }
    }
}

/// Creates a budget that limits long calls only.
impl From<usize> for CallBudget {
    fn from(long_calls: usize) -> Self {
        CallBudget { long_calls, short_time: Duration::MAX, scarce: false }
    }
}
