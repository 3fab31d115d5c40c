//! Who holds the slots of an endpoint.

use serde::Deserialize;
use serde::Serialize;

/// Where the entry process that holds a slot stands towards the dispatcher.
///
/// A new dispatcher hears of the slots that the other processes of its domain hold. It does not hear
/// of those that its lost predecessor held itself, nor of those held in other domains. So these are
/// kept to a part of each endpoint, which a new dispatcher can set aside until they have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GrantHolder {
    /// Another process of the domain.
    Member,
    /// The dispatcher's own process.
    Owner,
    /// A process of another domain.
    Remote,
}

impl GrantHolder {
    /// Returns the number of an endpoint's slots that holders of this kind may have together.
    pub fn max_slots(self, slots: u32) -> u32 {
        match self {
            GrantHolder::Member => slots,
            GrantHolder::Owner => (slots * 3 / 8).max(1),
            GrantHolder::Remote => (slots / 4).max(1),
        }
    }

    /// Returns the number of an endpoint's slots that a new dispatcher sets aside.
    pub fn reserved_slots(slots: u32) -> u32 {
        Self::Owner.max_slots(slots) + Self::Remote.max_slots(slots)
    }
}
