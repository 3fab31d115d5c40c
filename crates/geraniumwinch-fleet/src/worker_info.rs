//! Workers and client accounts as listed by the platform.

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;
use serde::Deserialize;
use serde::Serialize;

/// A worker's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The identifier, which survives restarts of the worker.
    pub id: Name,
    /// The service whose tasks the worker runs.
    pub service: Name,
    /// The address that commands are sent to.
    pub address: Name,
    /// The failure domain.
    pub domain: Name,
    /// Whether the worker accepts new tasks; a draining worker does not.
    pub accepting: bool,
    /// The total resources of the worker.
    pub capacity: ResourceVector,
    /// The labels, which include the kind and the rack.
    pub labels: Vec<Name>,
    /// The rack, if known.
    pub rack: Option<Name>,
    /// The start time of the worker process in milliseconds since the Unix epoch. It distinguishes
    /// the worker's incarnations.
    pub incarnation: u64,
}

/// The share and the resource limit of a client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountLimit {
    /// The account.
    pub account: Name,
    /// The share of the account when the cell is full.
    pub weight: u64,
    /// The maximum resources of the account's running tasks over all workers; a resource with
    /// the value 0 is not limited.
    pub limit: ResourceVector,
}
