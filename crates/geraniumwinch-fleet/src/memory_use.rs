//! The memory that is counted for the jobs of client accounts.

use std::collections::HashMap;

use geraniumwinch_core::Name;

/// The memory in bytes up to which a job is small.
const SMALL_JOB_BYTES: u64 = 16 * 1024;
/// What a small job takes in bytes when it has ended, as long as it can be queried.
const ENDED_JOB_BYTES: u64 = 1_536;

/// The memory that is counted for jobs, in total and by client account.
#[derive(Debug, Clone, Default)]
pub struct MemoryUse {
    total: u64,
    accounts: HashMap<Name, u64>,
}

impl MemoryUse {
    /// Returns the memory of all jobs in bytes.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns the memory of the jobs of a client account in bytes.
    pub fn of_account(&self, account: &Name) -> u64 {
        self.accounts.get(account).copied().unwrap_or_default()
    }

    /// Adds a job with the memory that is counted for it.
    pub fn add_job(&mut self, account: &Name, bytes: u64) {
        self.total = self.total.saturating_add(bytes);
        let used = self.accounts.entry(account.clone()).or_default();
        *used = used.saturating_add(bytes);
    }

    /// Removes a job with the memory that was counted for it.
    pub fn remove_job(&mut self, account: &Name, bytes: u64) {
        self.total = self.total.saturating_sub(bytes);
        if let Some(used) = self.accounts.get_mut(account) {
            *used = used.saturating_sub(bytes);
            if *used == 0 {
                self.accounts.remove(account);
            }
        }
    }

    /// Counts a job that has ended: a small one for no account, and less than before. A large one counts for
    /// its account until it is forgotten.
    pub(crate) fn end_job(&mut self, account: &Name, bytes: u64) {
        if bytes <= SMALL_JOB_BYTES {
            self.remove_job(account, bytes);
            self.total += ENDED_JOB_BYTES;
        }
    }

    /// Removes a job that has ended.
    pub(crate) fn forget_job(&mut self, account: &Name, bytes: u64) {
        if bytes <= SMALL_JOB_BYTES {
            self.total = self.total.saturating_sub(ENDED_JOB_BYTES);
        } else {
            self.remove_job(account, bytes);
        }
    }
}
