//! Settings of a process.

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

/// How to handle requests with a key while the configuration is stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StalePolicy {
    /// Refuse them, since the key may have been revoked.
    Refuse,
    /// Serve them under the last known configuration.
    Serve,
}

/// Seed processes of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSeeds {
    /// Name of the failure domain.
    pub domain: Name,
    /// Peer addresses of some processes in the domain.
    pub seeds: Vec<SocketAddr>,
}

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the process, unique in the fleet.
    pub name: Name,
    /// Failure domain that the process runs in.
    pub domain: Name,
    /// Listen address for clients and operators.
    pub http: SocketAddr,
    /// Listen address for peers.
    pub peer: SocketAddr,
    /// Address at which peers reach the process; by default `peer`.
    pub advertise: SocketAddr,
    /// Base URL of the store.
    pub store_url: String,
    /// Timeout of a call to the store.
    pub store_timeout: Duration,
    /// URL of the VM list.
    pub vm_list_url: String,
    /// Interval between reads of the VM list.
    pub vm_list_poll: Duration,
    /// Failure domains with their seeds, ordered by name.
    pub domains: Vec<DomainSeeds>,
    /// Duration of a domain's ownership lease without renewal.
    pub owner_lease: Duration,
    /// Interval between heartbeats of a process to its dispatcher.
    pub peer_heartbeat: Duration,
    /// Interval between exchanges of digests with another domain.
    pub digest_period: Duration,
    /// Time for which a task runs without a lease renewal.
    pub task_lease: Duration,
    /// Interval between heartbeats to a worker.
    pub worker_heartbeat: Duration,
    /// Time without confirmation after which the configuration counts as stale.
    pub stale_after: Duration,
    /// How to handle requests with a key while the configuration is stale.
    pub stale_policy: StalePolicy,
    /// Interval between reads of the configuration's head revision.
    pub config_poll: Duration,
    /// Hash of the operators' key.
    pub operator_key: KeyHash,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Memory of the VM in megabytes; `None` if the system says it.
    pub memory_mb: Option<u64>,
    /// Number of descriptors that the process may open; `None` if the system says it.
    pub descriptors: Option<u64>,
    /// Maximum size of a response that is buffered before it is forwarded, in bytes.
    pub max_buffer: usize,
    /// Maximum number of connections from this process to one endpoint.
    pub endpoint_connections: usize,
    /// Maximum number of idempotency records of a domain.
    pub record_capacity: usize,
    /// Retention time of an idempotency record.
    pub record_window: Duration,
    /// Time between the notice of a planned stop and its start.
    pub stop_notice: Duration,
    /// Maximum time that a planned stop waits for requests in progress.
    pub stop_limit: Duration,
    /// Log level.
    pub log_level: String,
}

impl NodeSettings {
    /// Parses settings and reports every problem at once; `file` names the text in problems.
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
            stale_policy: match reader.keyword("keys", "when-stale", &["refuse", "serve"])
            {
                "serve" => StalePolicy::Serve,
                _ => StalePolicy::Refuse,
            },
            config_poll: reader.millis("configuration", "poll-ms"),
            operator_key: reader.hash("operator", "key-sha256"),
            max_body: reader.number("limits", "body-bytes") as usize,
            memory_mb: given(reader.number("limits", "memory-mb")),
            descriptors: given(reader.number("limits", "descriptors")),
            max_buffer: reader.number("limits", "buffer-bytes") as usize,
            endpoint_connections: reader.number("limits", "endpoint-connections")
                as usize,
            record_capacity: reader.number("records", "capacity") as usize,
            record_window: reader.millis("records", "window-ms"),
            stop_notice: reader.millis("stop", "notice-ms"),
            stop_limit: reader.millis("stop", "limit-ms"),
            log_level: reader
                .keyword("log", "level", &["error", "warn", "info", "debug"])
                .to_owned(),
        };
        reader.require_domain(&settings);
        reader.finish(settings)
    }

    /// Returns the seeds of a failure domain, or an empty slice if it is not listed.
    pub fn seeds_of(&self, domain: &Name) -> &[SocketAddr] {
        let found = self.domains.iter().find(|seeds| seeds.domain == *domain);
        found.map(|seeds| seeds.seeds.as_slice()).unwrap_or_default()
    }

    /// Returns the names of the failure domains, in order.
    pub fn domain_names(&self) -> Vec<Name> {
        self.domains.iter().map(|seeds| seeds.domain.clone()).collect()
    }
}

/// Returns a number unless it is 0.
fn given(number: u64) -> Option<u64> {
    (number > 0).then_some(number)
}
