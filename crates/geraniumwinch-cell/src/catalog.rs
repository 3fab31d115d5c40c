//! The configuration that the operators have published.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::AccountLimit;
use geraniumwinch_fleet::QueueRules;

use crate::Result;

/// A queue with where its callers reach it.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogQueue {
    /// The host name that callers ask for.
    pub host: String,
    /// What the path of its jobs begins with.
    pub prefix: String,
    /// Whether callers need no key.
    pub open: bool,
    /// How its jobs are run.
    pub rules: QueueRules,
}

/// A client account with its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogAccount {
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// Its share and upper limit.
    pub limit: AccountLimit,
}

/// Limits of callers' requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestLimits {
    /// The greatest body in bytes.
    pub max_body: usize,
    /// The longest time in which a header arrives.
    pub header_timeout: Duration,
    /// The time for which an idle connection is kept.
    pub idle_timeout: Duration,
}

/// The configuration in force.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobCatalog {
    /// The number of the configuration; later ones have higher numbers.
    pub version: u64,
    /// The queues.
    pub queues: Vec<CatalogQueue>,
    /// The client accounts.
    pub accounts: Vec<CatalogAccount>,
    /// The limits of callers' requests.
    pub limits: RequestLimits,
    by_key: HashMap<String, usize>,
}

impl JobCatalog {
    /// Creates a configuration.
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

    /// Finds the queue with the longest prefix of a path under a host.
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

    /// Returns the limits of all accounts.
    pub fn account_limits(&self) -> Vec<AccountLimit> {
        self.accounts.iter().map(|account| account.limit.clone()).collect()
    }
}

/// A configuration with the bytes that it was read from, which peers pass on.
#[derive(Debug, Clone, PartialEq)]
pub struct FetchedCatalog {
    /// The configuration.
    pub catalog: JobCatalog,
    /// What it was read from.
    pub bytes: Vec<u8>,
}

/// Reads configurations.
pub trait CatalogReader {
    /// Returns the key of the configuration in the store.
    fn key(&self) -> &'static str;

    /// Decodes a configuration.
    fn decode(&self, bytes: &[u8]) -> Result<JobCatalog>;
}
