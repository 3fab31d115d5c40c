//! State summaries of failure domains, which their dispatchers exchange.

use std::net::SocketAddr;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;

/// The owner of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerView {
    /// Name of the owning process.
    pub name: Name,
    /// Peer address of the owning process.
    pub address: SocketAddr,
    /// Epoch of the ownership.
    pub epoch: u64,
}

/// The load of a queue in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// The name of the queue in the configuration.
    pub queue: Name,
    /// Free slots of the queue's service.
    pub free: u32,
    /// Total slots of the queue's service.
    pub slots: u32,
    /// Waiting requests.
    pub waiting: u32,
}

/// A team's resource use in a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// The team.
    pub team: Name,
    /// The weight of the team's share.
    pub weight: f64,
    /// Number of running tasks and requests.
    pub running: u32,
    /// Maximum number of tasks and requests that may run in the domain.
    pub allowance: u32,
    /// The team's dominant share of the domain's workers.
    pub share: f64,
}

/// Summary of a failure domain's state, as its dispatcher sends it to other domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainDigest {
    /// The domain.
    pub domain: Name,
    /// The domain's owner.
    pub owner: OwnerView,
    /// Revision of the configuration in force at the owner.
    pub revision: u64,
    /// Whether the owner can't reach the store.
    pub store_down: bool,
    /// Time in milliseconds since the owner last confirmed that its revision is the newest one.
    pub fresh_age_ms: Option<u64>,
    /// Teams that were denied work because it exceeds their allowance in the domain.
    #[serde(rename = "wishes")]
    pub denied_teams: Vec<Name>,
    /// Load of the queues.
    pub queues: Vec<QueueLoad>,
}
