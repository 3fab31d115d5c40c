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
    /// The store's revision of the last change.
    pub revision: u64,
}

/// A page of items in the order of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// The items.
    pub items: Vec<StoreItem>,
    /// Whether there are items after the last one.
    pub has_more: bool,
    /// The store's revision when the page was read.
    pub revision: u64,
}

/// A change that a watch tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreChange {
    /// An item was written.
    Written(StoreItem),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// The store's revision of the removal.
        revision: u64,
    },
}

/// What a watch has brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The changes, which may be none, and the revision to go on from.
    Changes(Vec<StoreChange>, u64),
    /// The store has dropped this part of its history.
    Compacted,
}

/// An item to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the item ends with.
    pub lease: Option<u64>,
}

/// A transaction: all of it or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// The revisions that keys must have; 0 means that the key must not exist.
    pub expected: Vec<(String, u64)>,
    /// The items to write.
    pub writes: Vec<StoreWrite>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It was made at this revision.
    Committed(u64),
    /// A condition didn't hold; the items are the present ones of the expected keys.
    Conflict(Vec<StoreItem>),
    /// A lease of the writes has ended.
    LeaseEnded,
}

/// The platform's store.
pub trait RecordStore {
    /// Reads one item.
    fn get(&self, key: &str) -> LocalBoxFuture<'static, Result<Option<StoreItem>>>;

    /// Reads the items whose keys begin with a prefix, after a key.
    fn list(
        &self,
        prefix: &str,
        after: &str,
    ) -> LocalBoxFuture<'static, Result<StorePage>>;

    /// Awaits changes of keys that begin with a prefix, after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'static, Result<WatchOutcome>>;

    /// Makes a transaction; `timeout` is the longest wait for the answer.
    fn commit(
        &self,
        transaction: &StoreTransaction,
        timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<CommitOutcome>>;

    /// Grants a lease.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'static, Result<u64>>;

    /// Renews a lease and returns whether it still exists.
    fn renew_lease(&self, lease: u64) -> LocalBoxFuture<'static, Result<bool>>;

    /// Ends a lease and removes its items.
    fn revoke_lease(&self, lease: u64) -> LocalBoxFuture<'static, Result<()>>;
}
