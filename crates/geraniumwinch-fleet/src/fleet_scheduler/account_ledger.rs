//! What client accounts have running over all workers.

use std::collections::HashMap;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::AccountLimit;

/// What client accounts have running and may have running.
#[derive(Debug, Default)]
pub(super) struct AccountLedger {
    limits: HashMap<Name, AccountLimit>,
    used: HashMap<Name, ResourceVector>,
    /// What may run besides on workers that have not reported to a new owner.
    unseen: HashMap<Name, ResourceVector>,
}

impl AccountLedger {
    /// Takes over the limits of a configuration.
    pub(super) fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        self.limits =
            limits.into_iter().map(|limit| (limit.account.clone(), limit)).collect();
    }

    /// Takes over what may run besides on workers that have not reported.
    pub(super) fn set_unseen(&mut self, unseen: HashMap<Name, ResourceVector>) {
        self.unseen = unseen;
    }

    /// Returns how many tasks of a size an account may start now.
    pub(super) fn allows(&self, account: &Name, size: &ResourceVector) -> u64 {
        let Some(limit) = self.limits.get(account) else { return u64::MAX };
        let used = self.used.get(account).copied().unwrap_or_default();
        let unseen = self.unseen.get(account).copied().unwrap_or_default();
        let room = limit.limit.minus(&used).minus(&unseen);
        let cpu = share(limit.limit.cpu_millis, room.cpu_millis, size.cpu_millis);
        let memory =
            share(limit.limit.memory_bytes, room.memory_bytes, size.memory_bytes);
        let accelerators = share(
            limit.limit.accelerators.into(),
            room.accelerators.into(),
            size.accelerators.into(),
        );
        cpu.min(memory).min(accelerators)
    }

    /// Counts a task that may run.
    pub(super) fn take(&mut self, account: &Name, size: &ResourceVector) {
        self.used.entry(account.clone()).or_default().add(size);
    }

    /// Counts a task off that runs no longer.
    pub(super) fn release(&mut self, account: &Name, size: &ResourceVector) {
        if let Some(used) = self.used.get_mut(account) {
            used.subtract(size);
        }
    }
}

/// Returns how many times `size` goes into `room`, where a limit of 0 means none.
fn share(limit: u64, room: u64, size: u64) -> u64 {
    if limit == 0 || size == 0 { u64::MAX } else { room / size }
}
