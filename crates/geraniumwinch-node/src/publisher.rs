//! Publishing configuration sets to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::SetDelta;
use geraniumwinch_core::log_event;
use serde::Deserialize;
use serde::Serialize;

use crate::NodeError;
use crate::Result;
use crate::node_shared::NodeShared;
use crate::platform_store::PlatformStore;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreRecord;
use crate::platform_store::StoreWrite;
use crate::store_keys;

/// How long a publication is retried while its responses are lost.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of deltas that are kept in the store.
const KEPT_DELTAS: u64 = 256;

/// The head of the configuration in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigHead {
    pub(crate) revision: u64,
    /// The random identifier of the publication of this revision.
    pub(crate) change: String,
    /// The digest of the configuration set.
    pub(crate) digest: String,
}

impl ConfigHead {
    /// Decodes a stored head.
    pub(crate) fn decode(record: &StoreRecord) -> Result<ConfigHead> {
        serde_json::from_slice(&record.value).map_err(|error| NodeError::StoredValue {
            key: record.key.clone(),
            message: error.to_string(),
        })
    }
}

/// The outcome of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PublishOutcome {
    /// The set was published as this revision.
    Published(u64),
    /// Another set was published first; this is the newest revision.
    Conflict(u64),
    /// The set may have been published.
    Unknown,
}

/// Publishes configuration sets by compare-and-swap on the head.
pub(crate) struct ConfigPublisher {
    shared: Arc<NodeShared>,
    store: Rc<dyn PlatformStore>,
}

impl ConfigPublisher {
    /// Creates a publisher that writes to a store.
    pub(crate) fn new(shared: Arc<NodeShared>, store: Rc<dyn PlatformStore>) -> Self {
        ConfigPublisher { shared, store }
    }

    /// Publishes a valid set that is based on a revision, with retries.
    pub(crate) async fn publish(
        &self,
        base: u64,
        set: &ConfigurationSet,
    ) -> PublishOutcome {
        let change = format!("{:032x}", rand::random::<u128>());
        let started = self.shared.now();
        let mut attempted = false;
        while self.shared.now() - started < PUBLISH_TIMEOUT {
            match self.attempt(base, set, &change, &mut attempted).await {
                Ok(outcome) => {
                    log_event!(
                        Info,
                        "configuration-published",
                        base = base,
                        end = format!("{outcome:?}"),
                    );
                    return outcome;
                }
                Err(error) => log_event!(Warn, "publication-unanswered", error = error),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        PublishOutcome::Unknown
    }

    /// Tries once to publish the set; after an error, it may have been published.
    async fn attempt(
        &self,
        base: u64,
        set: &ConfigurationSet,
        change: &str,
        attempted: &mut bool,
    ) -> Result<PublishOutcome> {
        let record = self.store.get(store_keys::CONFIG_HEAD).await;
        self.shared.record_store_call(record.is_ok());
        let record = record?;
        let head = record.as_ref().map(ConfigHead::decode).transpose()?;
        let newest = head.as_ref().map_or(0, |head| head.revision);
        if newest != base {
            if *attempted && self.took_effect(base + 1, change).await? {
                return Ok(PublishOutcome::Published(base + 1));
            }
            return Ok(PublishOutcome::Conflict(newest));
        }
        let old = self.read_current().await?;
        let condition = match &record {
            Some(record) => StoreCondition::Unchanged(
                store_keys::CONFIG_HEAD.to_owned(),
                record.mod_revision,
            ),
            None => StoreCondition::Absent(store_keys::CONFIG_HEAD.to_owned()),
        };
        *attempted = true;
        let writes = writes(base, set, change, &old);
        let commit = self.store.commit(&[condition], &writes).await;
        self.shared.record_store_call(commit.is_ok());
        if commit?.succeeded {
            return Ok(PublishOutcome::Published(base + 1));
        }
        // The head has changed since it was read; the next attempt finds out whose change it was.
        Err(NodeError::Store { message: "the configuration head has changed".to_owned() })
    }

    /// Returns whether a revision was published by this change.
    async fn took_effect(&self, revision: u64, change: &str) -> Result<bool> {
        let key = change_key(revision);
        let record = self.store.get(&key).await?;
        Ok(record.is_some_and(|record| record.value == change.as_bytes()))
    }

    /// Reads the current set from the store.
    async fn read_current(&self) -> Result<ConfigurationSet> {
        let Some(record) = self.store.get(store_keys::CONFIG_CURRENT).await? else {
            return Ok(ConfigurationSet::default());
        };
        let text = String::from_utf8_lossy(&record.value);
        ConfigurationSet::parse(store_keys::CONFIG_CURRENT, &text).map_err(|problems| {
            let message = problems.first().map(ToString::to_string).unwrap_or_default();
            NodeError::StoredValue { key: record.key.clone(), message }
        })
    }
}

/// Returns the key that holds the identifier of the change that published a revision.
fn change_key(revision: u64) -> String {
    format!("{}.change", store_keys::config_delta(revision))
}

/// Returns the writes that publish a set.
fn writes(
    base: u64,
    set: &ConfigurationSet,
    change: &str,
    old: &ConfigurationSet,
) -> Vec<StoreWrite> {
    let revision = base + 1;
    let head = ConfigHead { revision, change: change.to_owned(), digest: set.digest() };
    let delta = SetDelta::between(old, set);
    let json = |value: serde_json::Result<Vec<u8>>| value.expect("it serializes to JSON");
    let put = |key: String, value: Vec<u8>| StoreWrite::Put { key, value, lease: None };
    let mut writes = vec![
        put(store_keys::CONFIG_HEAD.to_owned(), json(serde_json::to_vec(&head))),
        put(store_keys::CONFIG_CURRENT.to_owned(), set.to_ini().into_bytes()),
        put(store_keys::config_delta(revision), json(serde_json::to_vec(&delta))),
        put(change_key(revision), change.as_bytes().to_vec()),
    ];
    if let Some(old) = revision.checked_sub(KEPT_DELTAS) {
        writes.push(StoreWrite::Delete(store_keys::config_delta(old)));
        writes.push(StoreWrite::Delete(change_key(old)));
    }
    writes
}
