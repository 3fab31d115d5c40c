//! The order in which client accounts are served when they compete for a full cell.
//!
//! An account within its share is served as if no other account existed. What others leave unused
//! is lent to accounts beyond their share, those that are the least above it first. It comes back
//! with the next placements, and urgent jobs preempt the account that is the most above its share
//! first.
//!
//! The use of an account is averaged over some time, since a single wide job of a small account may
//! exceed its share while it runs.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;

use super::FleetScheduler;

/// The number of ranks for each multiple of an account's share. Accounts of the same rank are
/// served in the order of acceptance.
const RANKS_PER_SHARE: f64 = 4.0;
/// The time constant of the moving average of an account's use.
const AVERAGING_TIME: Duration = Duration::from_secs(10);

/// How far accounts are above their shares.
#[derive(Debug, Default)]
pub(super) struct AccountRanks {
    /// The ranks of the accounts that are above their share; the lowest is served first.
    above: HashMap<Name, u32>,
    /// The average use of the accounts with a weight, in thousandths of a core.
    average: HashMap<Name, f64>,
    /// When the averages were updated.
    updated: BootTime,
}

impl AccountRanks {
    /// Returns the rank of an account: 0 if it is within its share, and the higher the further it
    /// is above.
    pub(super) fn rank(&self, account: &Name) -> u32 {
        if self.above.is_empty() {
            return 0;
        }
        self.above.get(account).copied().unwrap_or(0)
    }
}

impl FleetScheduler {
    /// Recomputes how far accounts are above their shares. The cost depends on the number of
    /// accounts and workers only.
    pub(super) fn update_account_ranks(&mut self, now: BootTime) {
        let usable = self.workers.values().filter(|state| state.usable(now));
        let total: u64 = usable.map(|state| state.info.capacity.cpu_millis).sum();
        let total_weight = self.accounts.total_weight() as f64;
        let elapsed = now.saturating_sub(self.account_ranks.updated).as_secs_f64();
        let gain = 1.0 - (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        let mut ranks = AccountRanks { updated: now, ..AccountRanks::default() };
        for (account, weight, used) in self.accounts.weighted_usage() {
            let average = self.account_ranks.average.get(account).copied().unwrap_or(0.0);
            let average = average + (used.cpu_millis as f64 - average) * gain;
            ranks.average.insert(account.clone(), average);
            let share = total as f64 * weight as f64 / total_weight;
            let ratio = average / share;
            if ratio > 1.0 {
                ranks.above.insert(account.clone(), (ratio * RANKS_PER_SHARE) as u32);
            }
        }
        self.account_ranks = ranks;
    }
}
