//! The memory for jobs, and which jobs it has room for.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::JobRecord;

use crate::JobRoom;

use super::CellDispatcher;

impl CellDispatcher {
    /// Returns why there is no room for a new job in memory, or `None` if there is. Any process of the cell that
    /// becomes the owner has room for what was accepted.
    pub(super) fn memory_refusal(&self, record: &JobRecord) -> Option<ErrorKind> {
        let scheduler = self.scheduler.borrow();
        let (held, pending) = (scheduler.memory_use(), self.journal.pending_memory());
        let room = JobRoom {
            limit: self.job_bytes(),
            total: held.total() + pending.total(),
            own: held.of_account(&record.account) + pending.of_account(&record.account),
            weight_ratio: self.weight_ratio(&record.account),
        };
        if room.takes(record.memory_bytes()) {
            None
        } else if room.own > 0 {
            Some(ErrorKind::TeamLimit)
        } else {
            Some(ErrorKind::JobsFull)
        }
    }

    /// Returns the memory for jobs in bytes: what the smallest VM of the cell has for them.
    pub(super) fn job_bytes(&self) -> u64 {
        let members = self.members.borrow();
        let smallest = members.smallest_job_bytes();
        smallest.unwrap_or(u64::MAX).min(self.settings.vm.job_bytes())
    }

    /// Returns the weight of an account relative to the average one; 1 if it isn't known.
    fn weight_ratio(&self, account: &Name) -> f64 {
        let Some(current) = self.catalog.current() else { return 1.0 };
        let limits = || current.catalog.accounts.iter().map(|found| &found.limit);
        let total: f64 = limits().map(|limit| limit.weight as f64).sum();
        let weight = limits().find(|limit| limit.account == *account);
        let ratio =
            weight.map(|limit| limit.weight as f64 * limits().count() as f64 / total);
        ratio.filter(|ratio| ratio.is_finite()).unwrap_or(1.0)
    }
}
