//! The configuration in force in this process.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::SetDelta;
use geraniumwinch_config::TeamCatalog;
use geraniumwinch_wire::ConfigUpdate;

use crate::node_metrics;
use crate::shared_lock::lock;

/// Number of deltas that are kept for peers with an older revision.
const HISTORY_LENGTH: usize = 256;

/// One revision of the configuration.
#[derive(Debug, Default)]
pub(crate) struct CatalogView {
    /// The revision, or 0 before the first one.
    pub(crate) revision: u64,
    pub(crate) set: ConfigurationSet,
    /// The digest of the set.
    pub(crate) digest: String,
    /// The teams, keys and queues of the set, parsed.
    pub(crate) catalog: TeamCatalog,
}

/// The configuration in force, its latest deltas, and when it was last known to be up to date.
#[derive(Debug, Default)]
pub(crate) struct CatalogState {
    current: ArcSwap<CatalogView>,
    history: Mutex<VecDeque<(u64, SetDelta)>>,
    confirmed: Mutex<Option<Instant>>,
}

impl CatalogState {
    /// Returns the revision in force.
    pub(crate) fn view(&self) -> Arc<CatalogView> {
        self.current.load_full()
    }

    /// Puts a higher revision in force and returns `true`; ignores a lower or equal one.
    pub(crate) fn apply(&self, revision: u64, set: ConfigurationSet) -> bool {
        let mut history = lock(&self.history);
        let current = self.view();
        if revision <= current.revision {
            return false;
        }
        if revision == current.revision + 1 {
            history.push_back((revision, SetDelta::between(&current.set, &set)));
            if history.len() > HISTORY_LENGTH {
                history.pop_front();
            }
        } else {
            history.clear();
        }
        let catalog = TeamCatalog::of(&set);
        let digest = set.digest();
        self.current.store(Arc::new(CatalogView { revision, set, digest, catalog }));
        node_metrics::set_config_revision(revision);
        true
    }

    /// Applies an update from a peer, if it results in a set with the given digest.
    ///
    /// Deltas with another base revision are ignored, since a newer revision may have been applied
    /// while the response was in transit.
    pub(crate) fn apply_update(
        &self,
        revision: u64,
        digest: &str,
        update: ConfigUpdate,
    ) -> bool {
        let set = match update {
            ConfigUpdate::Whole(set) => set,
            ConfigUpdate::Deltas { base, deltas } => {
                let current = self.view();
                if current.revision != base || base + deltas.len() as u64 != revision {
                    return false;
                }
                let mut set = current.set.clone();
                deltas.iter().for_each(|delta| delta.apply(&mut set));
                set
            }
        };
        set.digest() == digest && self.apply(revision, set)
    }

    /// Returns the revision in force, its digest, and the update that leads to it from `base`.
    ///
    /// The update consists of deltas if all of them are still kept, and of the whole set otherwise.
    pub(crate) fn update_since(&self, base: u64) -> (u64, String, ConfigUpdate) {
        let history = lock(&self.history);
        let current = self.view();
        let missing = history.iter().filter(|(next, _)| *next > base);
        let deltas: Vec<SetDelta> = missing.map(|(_, delta)| delta.clone()).collect();
        let update = if base + deltas.len() as u64 == current.revision {
            ConfigUpdate::Deltas { base, deltas }
        } else {
            ConfigUpdate::Whole(current.set.clone())
        };
        (current.revision, current.digest.clone(), update)
    }

    /// Records that the revision in force was the newest one at a point in time.
    pub(crate) fn confirm(&self, at: Instant) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = Some(confirmed.map_or(at, |earlier| earlier.max(at)));
    }

    /// Returns whether a revision is in force, or the store is known to have none.
    pub(crate) fn is_known(&self) -> bool {
        let confirmed = lock(&self.confirmed);
        confirmed.is_some() || self.view().revision > 0
    }

    /// Returns the time since the revision in force was last known to be up to date.
    pub(crate) fn fresh_age(&self, now: Instant) -> Option<Duration> {
        let confirmed = lock(&self.confirmed);
        confirmed.map(|at| now.saturating_duration_since(at))
    }
}
