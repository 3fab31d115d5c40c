//! The evacuations in force in this process.

use std::sync::Arc;
use std::sync::Mutex;

use geraniumwinch_config::EvacuationSet;

use crate::shared_lock::lock;

/// The newest known evacuations, with the revision of the configuration that they belong to.
#[derive(Debug, Default)]
pub(crate) struct EvacuationState {
    current: Mutex<(u64, Arc<EvacuationSet>)>,
}

impl EvacuationState {
    /// Returns the evacuated domains and the revision that they belong to, or 0.
    pub(crate) fn view(&self) -> (u64, Arc<EvacuationSet>) {
        lock(&self.current).clone()
    }

    /// Puts the evacuations of a higher revision in force; ignores those of a lower or equal one.
    pub(crate) fn apply(&self, revision: u64, evacuated: EvacuationSet) {
        let mut current = lock(&self.current);
        if revision > current.0 {
            *current = (revision, Arc::new(evacuated));
        }
    }
}
