//! The interface to the platform's key-value store.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::Result;

/// A key with its value and the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoreRecord {
    pub(crate) key: String,
    pub(crate) value: Vec<u8>,
    /// The store's revision when the key was last changed.
    pub(crate) mod_revision: i64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreCondition {
    /// The key does not exist.
    Absent(String),
    /// The key was last changed at this revision.
    Unchanged(String, i64),
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreWrite {
    /// Sets a key; it is removed when its lease ends, if one is given.
    Put { key: String, value: Vec<u8>, lease: Option<i64> },
    /// Removes a key.
    Delete(String),
    /// Removes the keys from the first one (inclusive) to the second one (exclusive).
    DeleteRange(String, String),
}

/// The result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoreCommit {
    /// Whether the conditions were met and the writes applied.
    pub(crate) succeeded: bool,
    /// The store's revision after the transaction.
    pub(crate) revision: i64,
}

/// The platform's key-value store.
///
/// After an error, a write may or may not have been applied.
pub(crate) trait PlatformStore {
    /// Reads a key.
    fn get(&self, key: &str) -> LocalBoxFuture<'static, Result<Option<StoreRecord>>>;

    /// Reads up to `limit` keys with a prefix in ascending order, after the key `after` if given.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<Vec<StoreRecord>>>;

    /// Applies all writes if all conditions are met.
    fn commit(
        &self,
        conditions: &[StoreCondition],
        writes: &[StoreWrite],
    ) -> LocalBoxFuture<'static, Result<StoreCommit>>;

    /// Grants a lease and returns its identifier.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'static, Result<i64>>;

    /// Renews a lease and returns whether it still exists.
    fn renew_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<bool>>;

    /// Revokes a lease, which removes its keys.
    fn revoke_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<()>>;
}
