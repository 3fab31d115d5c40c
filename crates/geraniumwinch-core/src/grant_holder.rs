//! The kinds of processes that hold the slots of an endpoint.

use serde::Deserialize;
use serde::Serialize;

/// The relation of the entry process that holds a slot to the dispatcher that granted it.
///
/// After a takeover, the other processes of the domain report the slots that they hold to the new
/// dispatcher. No process reports the slots that the failed owner's process held itself, or those held
/// in other domains. Such slots are therefore limited to a fraction of each endpoint, which a new
/// dispatcher can reserve until they have expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GrantHolder {
    /// Another process of the domain.
    Member,
    /// The process that runs the dispatcher.
    Owner,
    /// A process of another domain.
    Remote,
}

impl GrantHolder {
    /// Returns the maximum number of an endpoint's slots that all holders of this kind may have.
    pub fn max_slots(self, slots: u32) -> u32 {
        match self {
            GrantHolder::Member => slots,
            GrantHolder::Owner => (slots * 3 / 8).max(1),
            GrantHolder::Remote => (slots / 4).max(1),
        }
    }

    /// Returns the number of an endpoint's slots that a new dispatcher reserves for unreported grants.
    pub fn reserved_slots(slots: u32) -> u32 {
        Self::Owner.max_slots(slots) + Self::Remote.max_slots(slots)
    }
}
