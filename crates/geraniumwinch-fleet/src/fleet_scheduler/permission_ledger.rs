//! Accounts for permissions: which were used and which lapsed, and how long jobs wait for them.

use std::collections::HashMap;
use std::collections::VecDeque;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::PermissionCounts;
use crate::PermissionGrant;

use super::task_ref::JobKey;

/// Identifies the permission of a unit for a worker.
type GrantKey = (JobKey, u32, Name);

/// A job's wait for its first permission.
#[derive(Debug, Clone, Copy)]
enum FirstWait {
    /// The job has requested permissions since the given time.
    Since(BootTime),
    /// The job has got a permission.
    Over,
}

/// Counts permissions from the request to the start that carries them.
#[derive(Debug, Default)]
pub(super) struct PermissionLedger {
    pub(super) counts: PermissionCounts,
    /// The permissions that no start has carried, with their expiry.
    unused: HashMap<GrantKey, BootTime>,
    /// The permissions by expiry, including those that were used or replaced since.
    expiries: VecDeque<(BootTime, GrantKey)>,
    /// The waits of live jobs that have requested permissions.
    first_waits: HashMap<JobKey, FirstWait>,
    /// Since when the jobs waited that have got their first permission since the last pass.
    waits_over: Vec<BootTime>,
}

impl PermissionLedger {
    /// Records that a job requests permissions.
    pub(super) fn begin_wait(&mut self, key: JobKey, now: BootTime) {
        self.first_waits.entry(key).or_insert(FirstWait::Since(now));
    }

    /// Records the response to a unit's request for a number of workers.
    pub(super) fn record_grants(
        &mut self,
        key: JobKey,
        unit: u32,
        asked: usize,
        grants: &[PermissionGrant],
    ) {
        self.counts.asked += asked as u64;
        self.counts.granted += grants.len() as u64;
        for grant in grants {
            let grant_key = (key, unit, grant.worker.clone());
            self.expiries.push_back((grant.until, grant_key.clone()));
            if self.unused.insert(grant_key, grant.until).is_some() {
                self.counts.lapsed += 1;
            }
        }
        if !grants.is_empty()
            && let Some(wait) = self.first_waits.get_mut(&key)
            && let FirstWait::Since(since) = *wait
        {
            *wait = FirstWait::Over;
            self.waits_over.push(since);
        }
    }

    /// Returns and clears the times since which jobs waited that have got their first permission.
    pub(super) fn take_first_waits(&mut self) -> Vec<BootTime> {
        std::mem::take(&mut self.waits_over)
    }

    /// Records that a start carries a permission.
    pub(super) fn record_use(&mut self, key: JobKey, unit: u32, worker: &Name) {
        if self.unused.remove(&(key, unit, worker.clone())).is_some() {
            self.counts.used += 1;
        }
    }

    /// Counts the permissions that have expired unused.
    ///
    /// Permissions of queues with a shorter validity may be counted later than they expire.
    pub(super) fn sweep(&mut self, now: BootTime) {
        while self.expiries.front().is_some_and(|(until, _)| *until <= now) {
            let Some((until, grant_key)) = self.expiries.pop_front() else { return };
            if self.unused.get(&grant_key) == Some(&until) {
                self.unused.remove(&grant_key);
                self.counts.lapsed += 1;
            }
        }
    }

    /// Forgets the wait of a job that has ended.
    pub(super) fn end_job(&mut self, key: JobKey) {
        self.first_waits.remove(&key);
    }
}
