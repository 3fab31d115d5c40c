//! Resource usage and limits of client accounts over all workers.

use std::collections::HashMap;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::AccountLimit;

/// The resources that the tasks of client accounts use, and the limits.
#[derive(Debug, Default)]
pub(super) struct AccountUsage {
    limits: HashMap<Name, AccountLimit>,
    used: HashMap<Name, ResourceVector>,
    /// The resources that tasks may use in addition on workers that have not reported to a new
    /// owner yet.
    unreported: HashMap<Name, ResourceVector>,
}

impl AccountUsage {
    /// Replaces the limits.
    pub(super) fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        self.limits =
            limits.into_iter().map(|limit| (limit.account.clone(), limit)).collect();
    }

    /// Replaces the resources that tasks may use on workers that have not reported.
    pub(super) fn set_unreported(&mut self, unreported: HashMap<Name, ResourceVector>) {
        self.unreported = unreported;
    }

    /// Returns how many tasks of the given size an account may start now.
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

    /// Returns the sum of the weights of all accounts.
    pub(super) fn total_weight(&self) -> u64 {
        self.limits.values().map(|limit| limit.weight).sum()
    }

    /// Returns the accounts that have a weight, with the weight and the resources in use.
    pub(super) fn weighted_usage(
        &self,
    ) -> impl Iterator<Item = (&Name, u64, ResourceVector)> {
        let weighted = self.limits.values().filter(|limit| limit.weight > 0);
        weighted.map(|limit| {
            let used = self.used.get(&limit.account).copied().unwrap_or_default();
            (&limit.account, limit.weight, used)
        })
    }

    /// Adds a task that may be running.
    pub(super) fn book(&mut self, account: &Name, size: &ResourceVector) {
        self.used.entry(account.clone()).or_default().add(size);
    }

    /// Removes a task that no longer runs.
    pub(super) fn release(&mut self, account: &Name, size: &ResourceVector) {
        if let Some(used) = self.used.get_mut(account) {
            used.subtract(size);
        }
    }
}

/// Returns how many tasks of a size fit into what remains of a limit. A limit of 0 means no limit.
fn allowed_copies(limit: u64, remaining: u64, size: u64) -> u64 {
    if limit == 0 || size == 0 { u64::MAX } else { remaining / size }
}
