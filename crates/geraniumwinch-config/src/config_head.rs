//! The head of the configuration in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::EvacuationSet;

/// The head of the configuration in the store, which names the newest revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The newest revision.
    pub revision: u64,
    /// The random identifier of the publication of this revision.
    pub change: String,
    /// The digest of the configuration set.
    pub digest: String,
    /// The evacuated failure domains.
    #[serde(default, skip_serializing_if = "EvacuationSet::is_empty")]
    pub evacuated: EvacuationSet,
}
