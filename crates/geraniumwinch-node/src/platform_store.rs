//! The interface to the platform's key-value service.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;

use crate::Result;

/// A key with its value and its revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct StoreRecord {
    /// The key.
    pub(crate) key: String,
    /// The value.
    pub(crate) value: Vec<u8>,
    /// The store's revision of the last change of the key.
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

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreWrite {
    /// Sets a key, under a lease if one is given.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease.
        lease: Option<i64>,
    },
    /// Removes a key.
    Delete(String),
    /// Removes the keys from the first one up to, but without, the second one.
    DeleteRange(String, String),
}

/// The result of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StoreCommit {
    /// Whether the conditions held and the writes were made.
    pub(crate) succeeded: bool,
    /// The store's revision after the transaction.
    pub(crate) revision: i64,
}

/// The platform's key-value service.
///
/// An error leaves open whether a write has taken effect.
pub(crate) trait PlatformStore {
    /// Reads one key.
    fn get(&self, key: &str) -> LocalBoxFuture<'static, Result<Option<StoreRecord>>>;

    /// Reads up to `limit` keys that begin with a prefix, after a key if one is given, in order.
    fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<Vec<StoreRecord>>>;

    /// Makes all writes if all conditions hold.
    fn commit(
        &self,
        conditions: &[StoreCondition],
        writes: &[StoreWrite],
    ) -> LocalBoxFuture<'static, Result<StoreCommit>>;

    /// Grants a lease and returns its number.
    fn grant_lease(&self, ttl: Duration) -> LocalBoxFuture<'static, Result<i64>>;

    /// Renews a lease and returns whether it still exists.
    fn renew_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<bool>>;

    /// Ends a lease and removes its keys.
    fn revoke_lease(&self, lease: i64) -> LocalBoxFuture<'static, Result<()>>;
}
