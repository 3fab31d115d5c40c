//! The interface to the platform's store.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::Result;

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision of the item's last change.
    pub revision: u64,
}

/// A page of items, ordered by key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether more items follow.
    pub has_more: bool,
    /// The store revision at which the page was read.
    pub revision: u64,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// An item was written.
    Written(StoreItem),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// The store revision of the removal.
        revision: u64,
    },
}

/// The result of a watch call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes, if any, and the revision from which to continue.
    Changes(Vec<StoreChange>, u64),
    /// The store has compacted the history after the requested revision.
    Compacted,
}

/// An item to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the item is attached to, if any.
    pub lease: Option<u64>,
}

/// An atomic transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// The expected revisions of keys; 0 means that the key must not exist.
    pub expected: Vec<(String, u64)>,
    /// The items to write.
    pub writes: Vec<StoreWrite>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was committed at this revision.
    Committed(u64),
    /// A condition failed. Contains the current items of the expected keys.
    Conflict(Vec<StoreItem>),
    /// A lease of the written items has ended.
    LeaseEnded,
}

/// The platform's store.
pub trait RecordStore {
    /// Reads an item.
    fn get(&self, key: &str) -> LocalBoxFuture<'static, Result<Option<StoreItem>>>;

    /// Reads a page of items whose keys start with `prefix` and follow the key `after`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> LocalBoxFuture<'static, Result<StorePage>>;

    /// Waits up to `wait` for changes after a revision of keys that start with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<WatchOutcome>>;

    /// Commits a transaction. `timeout` limits the wait for the response.
    fn commit(
        &self,
        transaction: &StoreTransaction,
        timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<CommitOutcome>>;

    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'static, Result<u64>>;

    /// Renews a lease and returns whether it still exists.
    fn renew_lease(&self, lease: u64) -> LocalBoxFuture<'static, Result<bool>>;

    /// Revokes a lease and removes its items.
    fn revoke_lease(&self, lease: u64) -> LocalBoxFuture<'static, Result<()>>;
}
