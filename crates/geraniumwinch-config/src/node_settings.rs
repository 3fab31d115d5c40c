//! The settings of a process.

mod setting_reader;
mod setting_row;

pub use self::setting_row::SETTING_ROWS;
pub use self::setting_row::SettingRow;

use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::IniText;
use crate::KeyHash;
use crate::Result;

use self::setting_reader::SettingReader;

/// What happens to keyed work when the configuration is not known to be fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StalePolicy {
    /// It is refused, since its key may have been withdrawn.
    Refuse,
    /// It is served under the last known configuration.
    Serve,
}

/// The seeds of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSeeds {
    /// The domain's name.
    pub domain: Name,
    /// Peer addresses of some of its processes.
    pub seeds: Vec<SocketAddr>,
}

/// The settings of a process.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The process's name, unique in the fleet.
    pub name: Name,
    /// The failure domain it runs in.
    pub domain: Name,
    /// The address that serves callers and operators.
    pub http: SocketAddr,
    /// The address that serves peers.
    pub peer: SocketAddr,
    /// The address under which peers reach `peer`.
    pub advertise: SocketAddr,
    /// The base URL of the store.
    pub store_url: String,
    /// The time after which a call on the store is given up.
    pub store_timeout: Duration,
    /// The URL of the VM list.
    pub vm_list_url: String,
    /// The time between two reads of the VM list.
    pub vm_list_poll: Duration,
    /// The failure domains with their seeds, by name.
    pub domains: Vec<DomainSeeds>,
    /// The time for which the ownership of a domain lasts without renewal.
    pub owner_lease: Duration,
    /// The time between two heartbeats of a process to its dispatcher.
    pub peer_heartbeat: Duration,
    /// The time between two exchanges of digests with another domain.
    pub digest_period: Duration,
    /// The time for which a task runs without a renewal.
    pub task_lease: Duration,
    /// The time between two heartbeats to a worker.
    pub worker_heartbeat: Duration,
    /// The time after which the configuration counts as stale.
    pub stale_after: Duration,
    /// What happens to keyed work then.
    pub stale_policy: StalePolicy,
    /// The time between two reads of the configuration's head.
    pub config_poll: Duration,
    /// The hash of the operators' key.
    pub operator_key: KeyHash,
    /// The greatest body of a call in bytes.
    pub max_body: usize,
    /// The greatest answer in bytes that is read whole before it is passed on.
    pub max_buffer: usize,
    /// The greatest number of connections to one endpoint from this process.
    pub endpoint_connections: usize,
    /// The greatest number of idempotency records of a domain.
    pub record_capacity: usize,
    /// The time for which an idempotency record is kept.
    pub record_window: Duration,
    /// The time between the notice of a planned stop and its beginning.
    pub stop_notice: Duration,
    /// The greatest time that a planned stop waits for running calls.
    pub stop_limit: Duration,
    /// The log level.
    pub log_level: String,
}

impl NodeSettings {
    /// Reads settings and reports every problem at once; `file` names the text in problems.
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings> {
        let ini = IniText::parse(file, text)?;
        let mut reader = SettingReader::new(&ini);
        reader.check_names();
        let peer = reader.address("process", "peer");
        let settings = NodeSettings {
            name: reader.text("process", "name").into(),
            domain: reader.text("process", "domain").into(),
            http: reader.address("process", "http"),
            peer,
            advertise: reader.address_or("process", "advertise", peer),
            store_url: reader.url("store", "url"),
            store_timeout: reader.millis("store", "timeout-ms"),
            vm_list_url: reader.url("vm-list", "url"),
            vm_list_poll: reader.millis("vm-list", "poll-ms"),
            domains: reader.domains(),
            owner_lease: reader.millis("ownership", "lease-ms"),
            peer_heartbeat: reader.millis("ownership", "heartbeat-ms"),
            digest_period: reader.millis("ownership", "digest-ms"),
            task_lease: reader.millis("workers", "task-lease-ms"),
            worker_heartbeat: reader.millis("workers", "heartbeat-ms"),
            stale_after: reader.millis("keys", "fresh-ms"),
            stale_policy: match reader.word("keys", "when-stale", &["refuse", "serve"]) {
                "serve" => StalePolicy::Serve,
                _ => StalePolicy::Refuse,
            },
            config_poll: reader.millis("configuration", "poll-ms"),
            operator_key: reader.hash("operator", "key-sha256"),
            max_body: reader.number("limits", "body-bytes") as usize,
            max_buffer: reader.number("limits", "buffer-bytes") as usize,
            endpoint_connections: reader.number("limits", "endpoint-connections")
                as usize,
            record_capacity: reader.number("records", "capacity") as usize,
            record_window: reader.millis("records", "window-ms"),
            stop_notice: reader.millis("stop", "notice-ms"),
            stop_limit: reader.millis("stop", "limit-ms"),
            log_level: reader
                .word("log", "level", &["error", "warn", "info", "debug"])
                .to_owned(),
        };
        reader.require_domain(&settings);
        reader.finish(settings)
    }

    /// Returns the seeds of a failure domain; one that is not listed has none.
    pub fn seeds_of(&self, domain: &Name) -> &[SocketAddr] {
        let found = self.domains.iter().find(|seeds| seeds.domain == *domain);
        found.map(|seeds| seeds.seeds.as_slice()).unwrap_or_default()
    }

    /// Returns the names of the failure domains.
    pub fn domain_names(&self) -> Vec<Name> {
        self.domains.iter().map(|seeds| seeds.domain.clone()).collect()
    }
}
