//! Shares of client accounts in the calls to the permission service.
//!
//! While calls are scarce, an account that floods a priority with jobs gets no more of the VMs than
//! the other accounts that wait there. What they leave unused is lent to it.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::CallBudget;
use crate::run_command::is_long_call;

use super::task_ref::JobKey;

/// How long shares are enforced after an account within its share was turned away.
const SCARCITY_TIME: Duration = Duration::from_millis(500);
/// How long an account counts as waiting for calls after it last asked for one.
const ASK_WINDOW: Duration = Duration::from_millis(300);

/// The calls of one priority that are all long or all short.
#[derive(Debug, Default)]
struct CallClass {
    /// The time that the open calls of each account take.
    open: HashMap<Name, Duration>,
    /// When each account last asked for a call.
    asked: HashMap<Name, BootTime>,
    /// Until when shares are enforced.
    scarce_until: BootTime,
}

impl CallClass {
    /// Returns whether an account stays within its share of the class with a further call. Each
    /// account may always have one call.
    fn is_within_share(
        &self,
        account: &Name,
        call_time: Duration,
        free: Duration,
    ) -> bool {
        let open = self.open.get(account).copied().unwrap_or_default();
        let all: Duration = self.open.values().sum();
        let accounts = u32::try_from(self.asked.len()).unwrap_or(u32::MAX).max(1);
        open.is_zero() || open + call_time <= all.saturating_add(free) / accounts
    }
}

/// A call that a unit needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnitCall {
    pub(super) key: JobKey,
    pub(super) unit: u32,
    pub(super) priority: u32,
    /// The expected duration.
    pub(super) call_time: Duration,
}

/// An open call of a unit.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    /// The priority with which it was admitted.
    priority: u32,
    /// The expected duration.
    call_time: Duration,
}

/// The open calls by priority and length.
#[derive(Debug, Default)]
pub(super) struct CallShares {
    classes: HashMap<(u32, bool), CallClass>,
    /// Each unit's open calls.
    open: HashMap<(JobKey, u32), Vec<OpenCall>>,
}

impl CallShares {
    /// Forgets the accounts that no longer ask for calls.
    pub(super) fn begin_pass(&mut self, now: BootTime) {
        for class in self.classes.values_mut() {
            class.asked.retain(|_, asked| *asked + ASK_WINDOW > now);
        }
    }

    /// Takes a call from the budget for an account, and returns whether it may be made.
    pub(super) fn admit(
        &mut self,
        account: &Name,
        call: UnitCall,
        budget: &mut CallBudget,
        now: BootTime,
    ) -> bool {
        let UnitCall { key, unit, priority, call_time } = call;
        let class = self.classes.entry((priority, is_long_call(call_time))).or_default();
        class.asked.insert(account.clone(), now);
        let free = budget.free_time(call_time);
        let within = class.is_within_share(account, call_time, free);
        if within && budget.is_used_up(call_time) {
            class.scarce_until = now + SCARCITY_TIME;
        }
        let enforced = now < class.scarce_until;
        if (enforced && !within) || !budget.take(call_time) {
            return false;
        }
        *class.open.entry(account.clone()).or_default() += call_time;
        self.open.entry((key, unit)).or_default().push(OpenCall { priority, call_time });
        true
    }

    /// Records the end of one of a unit's calls. Which of them ended doesn't matter, since all end
    /// before the unit makes further ones.
    pub(super) fn end(&mut self, key: JobKey, unit: u32, account: &Name) {
        let Some(open) = self.open.get_mut(&(key, unit)) else { return };
        let Some(OpenCall { priority, call_time }) = open.pop() else { return };
        if open.is_empty() {
            self.open.remove(&(key, unit));
        }
        let class = self.classes.get_mut(&(priority, is_long_call(call_time)));
        let Some(class) = class else { return };
        let Some(open) = class.open.get_mut(account) else { return };
        *open = open.saturating_sub(call_time);
        if open.is_zero() {
            class.open.remove(account);
        }
    }
}
