//! What dispatchers tell one another of their failure domains.

use std::net::SocketAddr;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

/// The owner of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerView {
    /// The process's name.
    pub name: Name,
    /// Its peer address.
    pub address: SocketAddr,
    /// The epoch of its ownership.
    pub epoch: u64,
}

/// The load of a queue in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// The queue.
    pub queue: Name,
    /// Free slots of its service.
    pub free: u32,
    /// All slots of its service.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// A team's use of a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// The team.
    pub team: Name,
    /// The weight of its share.
    pub weight: f64,
    /// Running tasks and requests.
    pub running: u32,
    /// The greatest number that may run in the domain.
    pub allowance: u32,
    /// Its dominant share of the domain's workers.
    pub share: f64,
}

/// What a dispatcher tells of its failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainDigest {
    /// The domain.
    pub domain: Name,
    /// Its owner.
    pub owner: OwnerView,
    /// The revision of the configuration in force at the owner.
    pub revision: u64,
    /// Whether the owner fails to reach the store.
    pub store_down: bool,
    /// The age in milliseconds of the owner's knowledge that its revision is the newest one.
    pub fresh_age_ms: Option<u64>,
    /// Teams that have work which their allowance in the domain does not cover.
    #[serde(rename = "wishes")]
    pub denied_teams: Vec<Name>,
    /// The queues.
    pub queues: Vec<QueueLoad>,
}
