//! What client accounts have running over all workers.

use std::collections::HashMap;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::AccountLimit;

/// What client accounts have running and may have running.
#[derive(Debug, Default)]
pub(super) struct AccountUsage {
    limits: HashMap<Name, AccountLimit>,
    used: HashMap<Name, ResourceVector>,
    /// What may run besides on workers that have not reported to a new owner.
    unreported: HashMap<Name, ResourceVector>,
}

impl AccountUsage {
    /// Takes over the limits of a configuration.
    pub(super) fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        self.limits =
            limits.into_iter().map(|limit| (limit.account.clone(), limit)).collect();
    }

    /// Takes over what may run besides on workers that have not reported.
    pub(super) fn set_unreported(&mut self, unreported: HashMap<Name, ResourceVector>) {
        self.unreported = unreported;
    }

    /// Returns how many tasks of a size an account may start now.
    pub(super) fn allows(&self, account: &Name, size: &ResourceVector) -> u64 {
        let Some(limit) = self.limits.get(account) else { return u64::MAX };
        let used = self.used.get(account).copied().unwrap_or_default();
        let unreported = self.unreported.get(account).copied().unwrap_or_default();
        let remaining = limit.limit.minus(&used).minus(&unreported);
        let cpu =
            allowed_copies(limit.limit.cpu_millis, remaining.cpu_millis, size.cpu_millis);
        let memory = allowed_copies(
            limit.limit.memory_bytes,
            remaining.memory_bytes,
            size.memory_bytes,
        );
        let accelerators = allowed_copies(
            limit.limit.accelerators.into(),
            remaining.accelerators.into(),
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
fn allowed_copies(limit: u64, remaining: u64, size: u64) -> u64 {
    if limit == 0 || size == 0 { u64::MAX } else { remaining / size }
}
