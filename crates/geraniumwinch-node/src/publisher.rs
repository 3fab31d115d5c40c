//! Publishes configuration sets.

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

/// The time for which a publication whose answers are lost is tried again.
const PATIENCE: Duration = Duration::from_secs(4);
/// The wait between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The number of changes that the store keeps.
const KEPT_DELTAS: u64 = 256;

/// The head of the configuration in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigHead {
    /// The revision.
    pub(crate) revision: u64,
    /// The identifier of the change that led to it.
    pub(crate) change: String,
    /// The digest of the set.
    pub(crate) digest: String,
}

impl ConfigHead {
    /// Reads a head.
    pub(crate) fn decode(record: &StoreRecord) -> Result<ConfigHead> {
        serde_json::from_slice(&record.value).map_err(|error| NodeError::StoredValue {
            key: record.key.clone(),
            message: error.to_string(),
        })
    }
}

/// How a publication ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PublishOutcome {
    /// The set is published under a revision.
    Published(u64),
    /// Another set was published first; this is the newest revision.
    Conflict(u64),
    /// It is not known whether the set was published.
    Unknown,
}

/// Publishes sets by compare-and-swap on the head.
pub(crate) struct ConfigPublisher {
    shared: Arc<NodeShared>,
    store: Rc<dyn PlatformStore>,
}

impl ConfigPublisher {
    /// Creates a publisher.
    pub(crate) fn new(shared: Arc<NodeShared>, store: Rc<dyn PlatformStore>) -> Self {
        ConfigPublisher { shared, store }
    }

    /// Publishes a checked set that is based on a revision.
    pub(crate) async fn publish(
        &self,
        base: u64,
        set: &ConfigurationSet,
    ) -> PublishOutcome {
        let change = format!("{:032x}", rand::random::<u128>());
        let started = self.shared.now();
        let mut attempted = false;
        while self.shared.now() - started < PATIENCE {
            match self.attempt(base, set, &change, &mut attempted).await {
                Ok(end) => {
                    log_event!(
                        Info,
                        "configuration-published",
                        base = base,
                        end = format!("{end:?}"),
                    );
                    return end;
                }
                Err(error) => log_event!(Warn, "publication-unanswered", error = error),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        PublishOutcome::Unknown
    }

    /// Tries once; an error leaves open whether the set was published.
    async fn attempt(
        &self,
        base: u64,
        set: &ConfigurationSet,
        change: &str,
        attempted: &mut bool,
    ) -> Result<PublishOutcome> {
        let record = self.store.get(store_keys::CONFIG_HEAD).await;
        self.shared.note_store(record.is_ok());
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
        self.shared.note_store(commit.is_ok());
        if commit?.succeeded {
            return Ok(PublishOutcome::Published(base + 1));
        }
        // The head has moved on since it was read; the next attempt tells by whom.
        Err(NodeError::Store { message: "the head has moved on".to_owned() })
    }

    /// Returns whether a change of this publisher led to a revision.
    async fn took_effect(&self, revision: u64, change: &str) -> Result<bool> {
        let key = change_key(revision);
        let record = self.store.get(&key).await?;
        Ok(record.is_some_and(|record| record.value == change.as_bytes()))
    }

    /// Reads the set in the store.
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

/// Returns the key that holds the identifier of the change to a revision.
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
    let json =
        |value: serde_json::Result<Vec<u8>>| value.expect("it can be written as JSON");
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
