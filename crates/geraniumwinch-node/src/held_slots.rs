//! The slots that this process holds.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use geraniumwinch_core::GrantOffer;
use geraniumwinch_core::GrantTicket;
use geraniumwinch_core::Name;
use geraniumwinch_wire::HeldGrant;

use crate::shared_lock::lock;

/// A slot that this process holds.
#[derive(Debug, Clone)]
pub(crate) struct HeldSlot {
    /// The slot.
    pub(crate) offer: GrantOffer,
    /// The domain whose dispatcher granted it.
    pub(crate) domain: Name,
    /// The queue.
    pub(crate) queue: Name,
    /// The team, or none on an open queue.
    pub(crate) team: Option<Name>,
    /// When the connection to the endpoint is closed at the latest.
    pub(crate) deadline: Instant,
}

/// The slots that this process holds, by domain and ticket.
#[derive(Debug, Default)]
pub(crate) struct HeldSlots {
    slots: Mutex<HashMap<(Name, GrantTicket), HeldSlot>>,
}

impl HeldSlots {
    /// Adds a slot.
    pub(crate) fn insert(&self, slot: HeldSlot) {
        self.lock().insert((slot.domain.clone(), slot.offer.ticket), slot);
    }

    /// Removes a slot.
    pub(crate) fn remove(&self, domain: &Name, ticket: GrantTicket) {
        self.lock().remove(&(domain.clone(), ticket));
    }

    /// Describes the slots that a domain granted.
    pub(crate) fn granted_by(&self, domain: &Name, now: Instant) -> Vec<HeldGrant> {
        let slots = self.lock();
        let held = slots.values().filter(|slot| slot.domain == *domain);
        let describe = |slot: &HeldSlot| HeldGrant {
            offer: slot.offer.clone(),
            queue: slot.queue.clone(),
            team: slot.team.clone(),
            remaining_ms: slot.deadline.saturating_duration_since(now).as_millis() as u64,
        };
        held.map(describe).collect()
    }

    /// Returns the number of slots.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Locks the table.
    fn lock(&self) -> MutexGuard<'_, HashMap<(Name, GrantTicket), HeldSlot>> {
        lock(&self.slots)
    }
}
