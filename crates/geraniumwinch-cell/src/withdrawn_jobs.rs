//! Jobs that were cancelled before they arrived.
//!
//! A submission may arrive after the cancellation of its job, since an attempt was held up on its way: by a
//! process that was suspended, or by a slow connection. The client has been told that there is no such job,
//! so the attempt must not bring it about, whoever owns the cell by then. Each cancellation is therefore
//! stored before it is answered.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::BootTime;

use crate::owner_record::WITHDRAWN_PREFIX;

/// How long attempts to submit a job are refused after its cancellation. Those that were sent before have
/// arrived by then, or are refused: a body takes 60 s at most, a head as long as the configuration allows, 3 s
/// without one, and a request that may have waited for 15 s or more at a suspended process isn't taken.
const RETENTION: Duration = Duration::from_secs(90);
/// The maximum number of cancellations that are remembered.
const MAX_WITHDRAWALS: usize = 10_000;

/// A cancellation of a job that was not known.
#[derive(Debug)]
struct Withdrawal {
    at: BootTime,
    job: Name,
    account: Name,
    /// The key in the store, which no other cancellation uses.
    key: String,
}

/// The jobs that were cancelled before they arrived.
#[derive(Debug)]
pub struct WithdrawnJobs {
    /// The epoch of the owner.
    epoch: u64,
    /// The number of cancellations in this epoch.
    sequence: u64,
    /// When each job was cancelled last.
    cancelled: HashMap<Name, BootTime>,
    /// The cancellations in their order.
    order: VecDeque<Withdrawal>,
    /// The number of remembered cancellations of each client account.
    accounts: HashMap<Name, usize>,
    /// The keys of the cancellations that no longer count.
    expired: Vec<String>,
}

impl WithdrawnJobs {
    /// Creates the jobs of an epoch; none is withdrawn.
    pub fn new(epoch: u64) -> Self {
        WithdrawnJobs {
            epoch,
            sequence: 0,
            cancelled: HashMap::new(),
            order: VecDeque::new(),
            accounts: HashMap::new(),
            expired: Vec::new(),
        }
    }

    /// Records that a client account has cancelled a job that is not known, and returns the key under which
    /// the cancellation has to be stored. Returns `None` if the account has used up its part of what can
    /// be remembered: as much as is left for all others.
    pub fn add(&mut self, job: &Name, account: &Name, now: BootTime) -> Option<String> {
        self.remove_expired(now);
        let left = MAX_WITHDRAWALS.saturating_sub(self.order.len());
        if self.accounts.get(account).copied().unwrap_or_default() >= left {
            return None;
        }
        self.sequence += 1;
        let key = format!("{WITHDRAWN_PREFIX}{job}/{}.{}", self.epoch, self.sequence);
        self.insert(job.clone(), account.clone(), key.clone(), now);
        Some(key)
    }

    /// Adds a cancellation that a former owner has stored. It counts from now on, since the time of the
    /// former owner's clock says nothing here.
    pub fn load(&mut self, key: &str, account: Name, now: BootTime) {
        let rest = key.strip_prefix(WITHDRAWN_PREFIX).unwrap_or_default();
        let Some((job, _)) = rest.split_once('/') else { return };
        self.insert(job.into(), account, key.to_owned(), now);
    }

    /// Returns whether attempts to submit a job are refused.
    pub fn refuses(&self, job: &Name, now: BootTime) -> bool {
        self.cancelled.get(job).is_some_and(|&cancelled| now < cancelled + RETENTION)
    }

    /// Returns the keys of the cancellations that no longer count and have not been returned before.
    pub fn take_expired(&mut self, now: BootTime) -> Vec<String> {
        self.remove_expired(now);
        std::mem::take(&mut self.expired)
    }

    fn insert(&mut self, job: Name, account: Name, key: String, at: BootTime) {
        self.cancelled.insert(job.clone(), at);
        *self.accounts.entry(account.clone()).or_default() += 1;
        self.order.push_back(Withdrawal { at, job, account, key });
    }

    /// Forgets the cancellations that no longer count.
    fn remove_expired(&mut self, now: BootTime) {
        while self.order.front().is_some_and(|oldest| oldest.at + RETENTION <= now) {
            let Some(oldest) = self.order.pop_front() else { return };
            self.forget(oldest);
        }
    }

    /// Forgets a cancellation, and its job unless it was cancelled again since.
    fn forget(&mut self, withdrawal: Withdrawal) {
        let Withdrawal { at, job, account, key } = withdrawal;
        if self.cancelled.get(&job) == Some(&at) {
            self.cancelled.remove(&job);
        }
        if let Some(count) = self.accounts.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.remove(&account);
            }
        }
        self.expired.push(key);
    }
}
