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

/// The number of changes that are kept for processes that lag.
const HISTORY: usize = 256;

/// A revision of the configuration.
#[derive(Debug, Default)]
pub(crate) struct CatalogView {
    /// The revision; 0 stands for none.
    pub(crate) revision: u64,
    /// The set.
    pub(crate) set: ConfigurationSet,
    /// The digest of the set.
    pub(crate) digest: String,
    /// The set in the form in which it is used.
    pub(crate) catalog: TeamCatalog,
}

/// The configuration in force, its last changes, and when it was last known to be the newest one.
#[derive(Debug, Default)]
pub(crate) struct CatalogState {
    current: ArcSwap<CatalogView>,
    history: Mutex<VecDeque<(u64, SetDelta)>>,
    fresh: Mutex<Option<Instant>>,
}

impl CatalogState {
    /// Returns the revision in force.
    pub(crate) fn view(&self) -> Arc<CatalogView> {
        self.current.load_full()
    }

    /// Puts a higher revision in force; a lower or equal one changes nothing.
    pub(crate) fn apply(&self, revision: u64, set: ConfigurationSet) -> bool {
        let mut history = lock(&self.history);
        let current = self.view();
        if revision <= current.revision {
            return false;
        }
        if revision == current.revision + 1 {
            history.push_back((revision, SetDelta::between(&current.set, &set)));
            if history.len() > HISTORY {
                history.pop_front();
            }
        } else {
            history.clear();
        }
        let catalog = TeamCatalog::of(&set);
        let digest = set.digest();
        self.current.store(Arc::new(CatalogView { revision, set, digest, catalog }));
        node_metrics::show_revision(revision);
        true
    }

    /// Applies an answer of a peer, if it leads to the set with the digest.
    ///
    /// Changes that belong to another base are left alone, since the configuration may have moved on
    /// while the answer was on its way.
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

    /// Returns what leads a process from a revision to the one in force, with its digest.
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

    /// Notes that the revision in force was the newest one at a time.
    pub(crate) fn confirm(&self, at: Instant) {
        let mut fresh = lock(&self.fresh);
        *fresh = Some(fresh.map_or(at, |earlier| earlier.max(at)));
    }

    /// Returns whether the process has learnt the configuration, even if there is none yet.
    pub(crate) fn is_known(&self) -> bool {
        let fresh = lock(&self.fresh);
        fresh.is_some() || self.view().revision > 0
    }

    /// Returns the time since the revision in force was last known to be the newest one.
    pub(crate) fn fresh_age(&self, now: Instant) -> Option<Duration> {
        let fresh = lock(&self.fresh);
        fresh.map(|at| now.saturating_duration_since(at))
    }
}
