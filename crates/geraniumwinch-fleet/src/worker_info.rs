//! Workers and client accounts as the platform lists them.

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use serde::Deserialize;
use serde::Serialize;

/// What a worker says of itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The identifier; it stays with the worker over restarts.
    pub id: Name,
    /// The service that it works for.
    pub service: Name,
    /// The address for orders.
    pub address: Name,
    /// The failure domain.
    pub domain: Name,
    /// Whether it takes new tasks.
    pub accepting: bool,
    /// What it has in all.
    pub capacity: ResourceVector,
    /// Its labels: the kind and the rack.
    pub labels: Vec<Name>,
    /// The rack that it stands in, if that is known.
    pub rack: Option<Name>,
    /// The time of its start in milliseconds since 1970, which tells its lifetimes apart.
    pub incarnation: u64,
}

/// The share and the upper limit of a client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountLimit {
    /// The account.
    pub account: Name,
    /// The share when everything is full.
    pub weight: u64,
    /// What it may have running over all workers; a resource of 0 has no limit.
    pub limit: ResourceVector,
}
