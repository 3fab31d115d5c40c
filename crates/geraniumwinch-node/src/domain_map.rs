//! The digests received from the other failure domains.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::Name;
use geraniumwinch_wire::DomainDigest;

use crate::shared_lock::lock;

/// The newest digest of a domain and its times.
#[derive(Debug, Clone)]
pub(crate) struct DomainRow {
    pub(crate) digest: DomainDigest,
    /// A lower bound for the time of its creation, so that its age is never underestimated.
    pub(crate) created_at: Instant,
    pub(crate) received_at: Instant,
}

/// The newest digest of every other failure domain.
#[derive(Debug, Default)]
pub(crate) struct DomainMap {
    rows: Mutex<BTreeMap<Name, DomainRow>>,
}

impl DomainMap {
    /// Stores a digest if it is newer than the known one.
    pub(crate) fn update(
        &self,
        digest: DomainDigest,
        created_at: Instant,
        received_at: Instant,
    ) {
        let mut rows = self.lock();
        let newer = rows.get(&digest.domain).is_none_or(|row| {
            digest.owner.epoch > row.digest.owner.epoch
                || (digest.owner.epoch == row.digest.owner.epoch
                    && created_at > row.created_at)
        });
        if newer {
            rows.insert(
                digest.domain.clone(),
                DomainRow { digest, created_at, received_at },
            );
        }
    }

    /// Returns the newest digest of a domain.
    pub(crate) fn get(&self, domain: &str) -> Option<DomainRow> {
        self.lock().get(domain).cloned()
    }

    /// Returns all digests.
    pub(crate) fn rows(&self) -> Vec<DomainRow> {
        self.lock().values().cloned().collect()
    }

    /// Returns the domains with free slots for a queue, in descending order of the number of these
    /// slots.
    ///
    /// Digests that are older than `max_age` are ignored.
    pub(crate) fn with_free_slots(
        &self,
        queue: &str,
        max_age: Duration,
        now: Instant,
    ) -> Vec<(Name, u32)> {
        let rows = self.lock();
        let mut domains: Vec<(Name, u32)> = rows
            .values()
            .filter(|row| now.saturating_duration_since(row.created_at) <= max_age)
            .filter_map(|row| {
                let load = row.digest.queues.iter().find(|load| &*load.queue == queue)?;
                let free = load.free.saturating_sub(load.waiting);
                (free > 0).then(|| (row.digest.domain.clone(), free))
            })
            .collect();
        domains.sort_by_key(|(_, free)| std::cmp::Reverse(*free));
        domains
    }

    /// Returns the domains with slots for a queue, in ascending order of the waiting requests for each
    /// slot.
    ///
    /// Digests that are older than `max_age` are ignored.
    pub(crate) fn by_queue_length(
        &self,
        queue: &str,
        max_age: Duration,
        now: Instant,
    ) -> Vec<Name> {
        let rows = self.lock();
        let mut domains: Vec<(f64, Name)> = rows
            .values()
            .filter(|row| now.saturating_duration_since(row.created_at) <= max_age)
            .filter_map(|row| {
                let load = row.digest.queues.iter().find(|load| &*load.queue == queue)?;
                let length = f64::from(load.waiting) / f64::from(load.slots);
                (load.slots > 0).then(|| (length, row.digest.domain.clone()))
            })
            .collect();
        domains.sort_by(|left, right| left.0.total_cmp(&right.0));
        domains.into_iter().map(|(_, domain)| domain).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, DomainRow>> {
        lock(&self.rows)
    }
}
