//! Publishing configuration sets to the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use geraniumwinch_config::ConfigHead;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::EvacuationSet;
use geraniumwinch_config::SetDelta;
use geraniumwinch_core::log_event;

use crate::NodeError;
use crate::Result;
use crate::node_shared::NodeShared;
use crate::platform_store::PlatformStore;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreRecord;
use crate::platform_store::StoreWrite;
use crate::publish_request::PublishOutcome;
use crate::publish_request::PublishRequest;
use crate::store_keys;

/// How long a publication is retried while its responses are lost.
pub(crate) const PUBLISH_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between two attempts.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of deltas that are kept in the store.
const KEPT_DELTAS: u64 = 256;

/// The head of the configuration as read from the store.
pub(crate) struct StoredConfig {
    head: ConfigHead,
    /// The store's revision of the head.
    mod_revision: i64,
}

impl StoredConfig {
    /// Returns the newest revision of the configuration.
    pub(crate) fn revision(&self) -> u64 {
        self.head.revision
    }

    /// Returns the digest of the published set.
    pub(crate) fn digest(&self) -> &str {
        &self.head.digest
    }

    /// Returns the evacuated domains.
    pub(crate) fn evacuated(&self) -> EvacuationSet {
        self.head.evacuated.clone()
    }
}

/// Decodes a stored head.
pub(crate) fn decode_head(record: &StoreRecord) -> Result<ConfigHead> {
    serde_json::from_slice(&record.value).map_err(|error| NodeError::StoredValue {
        key: record.key.clone(),
        message: error.to_string(),
    })
}

/// Publishes configuration sets by compare-and-swap on the head.
pub(crate) struct ConfigPublisher {
    pub(crate) shared: Arc<NodeShared>,
    store: Rc<dyn PlatformStore>,
}

impl ConfigPublisher {
    /// Creates a publisher that writes to a store.
    pub(crate) fn new(shared: Arc<NodeShared>, store: Rc<dyn PlatformStore>) -> Self {
        ConfigPublisher { shared, store }
    }

    /// Executes a request and sends its outcome.
    pub(crate) async fn run(&self, request: PublishRequest) {
        match request {
            PublishRequest::Set { base, set, done } => {
                let _ = done.send(self.publish(base, &set).await);
            }
            PublishRequest::Evacuation { change, done } => {
                let _ = done.send(self.publish_evacuation(&change).await);
            }
        }
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
        let head = self.read_head().await?;
        let newest = head.as_ref().map_or(0, StoredConfig::revision);
        if newest != base {
            if *attempted && self.took_effect(base + 1, change).await? {
                return Ok(PublishOutcome::Published(base + 1));
            }
            return Ok(PublishOutcome::Conflict(newest));
        }
        let old = self.read_current().await?;
        let new = ConfigHead {
            revision: base + 1,
            change: change.to_owned(),
            digest: set.digest(),
            evacuated: head.as_ref().map(StoredConfig::evacuated).unwrap_or_default(),
        };
        *attempted = true;
        self.commit(head.as_ref(), &new, set, &old).await?;
        Ok(PublishOutcome::Published(new.revision))
    }

    /// Reads the head, if a revision has been published.
    pub(crate) async fn read_head(&self) -> Result<Option<StoredConfig>> {
        let record = self.store.get(store_keys::CONFIG_HEAD).await;
        self.shared.record_store_call(record.is_ok());
        let Some(record) = record? else { return Ok(None) };
        let mod_revision = record.mod_revision;
        Ok(Some(StoredConfig { head: decode_head(&record)?, mod_revision }))
    }

    /// Replaces the head that was read and the set; after an error, that may have taken effect.
    pub(crate) async fn commit(
        &self,
        read: Option<&StoredConfig>,
        new: &ConfigHead,
        set: &ConfigurationSet,
        old: &ConfigurationSet,
    ) -> Result<()> {
        let key = store_keys::CONFIG_HEAD.to_owned();
        let condition = match read {
            Some(read) => StoreCondition::Unchanged(key, read.mod_revision),
            None => StoreCondition::Absent(key),
        };
        let commit = self.store.commit(&[condition], &writes(new, set, old)).await;
        self.shared.record_store_call(commit.is_ok());
        if commit?.succeeded {
            return Ok(());
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
    pub(crate) async fn read_current(&self) -> Result<ConfigurationSet> {
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
    head: &ConfigHead,
    set: &ConfigurationSet,
    old: &ConfigurationSet,
) -> Vec<StoreWrite> {
    let revision = head.revision;
    let delta = SetDelta::between(old, set);
    let json = |value: serde_json::Result<Vec<u8>>| value.expect("it serializes to JSON");
    let put = |key: String, value: Vec<u8>| StoreWrite::Put { key, value, lease: None };
    let mut writes = vec![
        put(store_keys::CONFIG_HEAD.to_owned(), json(serde_json::to_vec(head))),
        put(store_keys::CONFIG_CURRENT.to_owned(), set.to_ini().into_bytes()),
        put(store_keys::config_delta(revision), json(serde_json::to_vec(&delta))),
        put(change_key(revision), head.change.as_bytes().to_vec()),
    ];
    if let Some(old) = revision.checked_sub(KEPT_DELTAS) {
        writes.push(StoreWrite::Delete(store_keys::config_delta(old)));
        writes.push(StoreWrite::Delete(change_key(old)));
    }
    writes
}
