//! Publishing requests to evacuate failure domains.

use std::time::Duration;

use geraniumwinch_config::ConfigHead;
use geraniumwinch_config::EvacuationProblem;
use geraniumwinch_config::EvacuationSet;
use geraniumwinch_core::log_event;

use crate::NodeError;
use crate::Result;
use crate::node_shared::unix_millis;
use crate::publish_request::EvacuationChange;
use crate::publish_request::EvacuationOutcome;
use crate::publisher::ConfigPublisher;
use crate::publisher::PUBLISH_TIMEOUT;
use crate::publisher::RETRY_DELAY;
use crate::publisher::StoredConfig;
use crate::store_keys;

impl ConfigPublisher {
    /// Publishes the newest set again with a changed list of evacuated domains, with retries.
    ///
    /// A repetition after a lost response finds the domain as requested, and changes nothing.
    pub(crate) async fn publish_evacuation(
        &self,
        change: &EvacuationChange,
    ) -> EvacuationOutcome {
        let started = self.shared.now();
        let mut maybe_published = false;
        while self.shared.now() - started < PUBLISH_TIMEOUT {
            match self.attempt_evacuation(change).await {
                // The refusal applies to this attempt; an earlier one may have been published.
                Ok(EvacuationOutcome::Refused(_)) if maybe_published => break,
                Ok(outcome) => {
                    log_event!(
                        Info,
                        "evacuation-published",
                        domain = change.domain,
                        evacuates = change.evacuates,
                        end = format!("{outcome:?}"),
                    );
                    return outcome;
                }
                Err(error) => {
                    maybe_published = true;
                    log_event!(Warn, "publication-unanswered", error = error);
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        EvacuationOutcome::Unknown
    }

    /// Tries once to publish the change; after an error, it may have been published.
    async fn attempt_evacuation(
        &self,
        change: &EvacuationChange,
    ) -> Result<EvacuationOutcome> {
        let head = self.read_head().await?;
        let mut evacuated =
            head.as_ref().map_or_else(EvacuationSet::default, StoredConfig::evacuated);
        let changed = match self.change_set(&mut evacuated, change) {
            Ok(changed) => changed,
            Err(problem) => return Ok(EvacuationOutcome::Refused(problem)),
        };
        let mut revision = head.as_ref().map_or(0, StoredConfig::revision);
        let evacuation = evacuated.get(&change.domain);
        if changed {
            let set = self.read_current().await?;
            revision += 1;
            let digest = set.digest();
            if head.as_ref().is_none_or(|head| head.digest() != digest) {
                return Err(unpublished_set());
            }
            let id = format!("{:032x}", rand::random::<u128>());
            let new = ConfigHead { revision, change: id, digest, evacuated };
            self.commit(head.as_ref(), &new, &set, &set).await?;
        }
        Ok(EvacuationOutcome::Stored { revision, evacuation })
    }

    /// Applies the change to the evacuated domains, and returns whether it makes a difference.
    fn change_set(
        &self,
        evacuated: &mut EvacuationSet,
        change: &EvacuationChange,
    ) -> std::result::Result<bool, EvacuationProblem> {
        let known = self.shared.settings.domain_names();
        if !change.evacuates {
            return evacuated.take_back(&change.domain, &known);
        }
        let unix_time = Duration::from_millis(unix_millis(self.shared.clock.wall()));
        evacuated.request(&change.domain, &known, change.last, unix_time)
    }
}

/// Returns the error for a stored set that is not the one that the head names. Publishing it again
/// would replace the configuration.
fn unpublished_set() -> NodeError {
    NodeError::StoredValue {
        key: store_keys::CONFIG_CURRENT.to_owned(),
        message: "the set is missing or is not the published one".to_owned(),
    }
}
