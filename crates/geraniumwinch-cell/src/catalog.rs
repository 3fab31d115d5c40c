//! The job configuration that operators publish.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::AccountLimit;
use geraniumwinch_fleet::QueueRules;

use crate::Result;

/// A queue and the host and path under which clients reach it.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogQueue {
    /// The host name of the queue.
    pub host: String,
    /// The path prefix of the queue's jobs.
    pub prefix: String,
    /// Whether clients may use the queue without a key.
    pub open: bool,
    /// The rules for running the queue's jobs.
    pub rules: QueueRules,
}

/// A client account and its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogAccount {
    /// The API keys of the account.
    pub keys: Vec<String>,
    /// The account's share and upper limit.
    pub limit: AccountLimit,
}

/// Limits of client requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum size of a request body in bytes.
    pub max_body: usize,
    /// The timeout for receiving request headers.
    pub header_timeout: Duration,
    /// How long an idle connection is kept open.
    pub idle_timeout: Duration,
}

/// A published job configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobCatalog {
    /// The version, which increases with each published configuration.
    pub version: u64,
    /// The queues.
    pub queues: Vec<CatalogQueue>,
    /// The client accounts.
    pub accounts: Vec<CatalogAccount>,
    /// The limits of client requests.
    pub limits: RequestLimits,
    by_key: HashMap<String, usize>,
}

impl JobCatalog {
    /// Creates a configuration and indexes the accounts by key.
    pub fn new(
        version: u64,
        queues: Vec<CatalogQueue>,
        accounts: Vec<CatalogAccount>,
        limits: RequestLimits,
    ) -> Self {
        let mut by_key = HashMap::new();
        for (position, account) in accounts.iter().enumerate() {
            for key in &account.keys {
                by_key.insert(key.clone(), position);
            }
        }
        JobCatalog { version, queues, accounts, limits, by_key }
    }

    /// Finds the queue of a host with the longest prefix of a path.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&CatalogQueue> {
        let matches = |queue: &&CatalogQueue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        };
        self.queues.iter().filter(matches).max_by_key(|queue| queue.prefix.len())
    }

    /// Finds the account that a key belongs to.
    pub fn find_account(&self, key: &str) -> Option<&Name> {
        let &position = self.by_key.get(key)?;
        Some(&self.accounts[position].limit.account)
    }

    /// Returns the rules of all queues.
    pub fn queue_rules(&self) -> Vec<QueueRules> {
        self.queues.iter().map(|queue| queue.rules.clone()).collect()
    }

    /// Returns the limits of all accounts.
    pub fn account_limits(&self) -> Vec<AccountLimit> {
        self.accounts.iter().map(|account| account.limit.clone()).collect()
    }
}

/// A configuration together with its encoded form, which is sent to peers on request.
#[derive(Debug, Clone, PartialEq)]
pub struct FetchedCatalog {
    /// The decoded configuration.
    pub catalog: JobCatalog,
    /// The encoded configuration.
    pub bytes: Vec<u8>,
}

/// A decoder of configurations.
pub trait CatalogReader {
    /// Returns the store key of the configuration.
    fn key(&self) -> &'static str;

    /// Decodes a configuration.
    fn decode(&self, bytes: &[u8]) -> Result<JobCatalog>;
}
