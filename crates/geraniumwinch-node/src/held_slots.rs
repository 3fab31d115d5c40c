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
    pub(crate) offer: GrantOffer,
    /// The domain whose dispatcher granted the slot.
    pub(crate) domain: Name,
    pub(crate) queue: Name,
    /// The team, or `None` on an open queue.
    pub(crate) team: Option<Name>,
    /// The time by which the connection to the endpoint is closed.
    pub(crate) deadline: Instant,
}

/// The slots that this process holds, by domain and ticket.
#[derive(Debug, Default)]
pub(crate) struct HeldSlots {
    slots: Mutex<HashMap<(Name, GrantTicket), HeldSlot>>,
}

impl HeldSlots {
    pub(crate) fn insert(&self, slot: HeldSlot) {
        self.lock().insert((slot.domain.clone(), slot.offer.ticket), slot);
    }

    pub(crate) fn remove(&self, domain: &Name, ticket: GrantTicket) {
        self.lock().remove(&(domain.clone(), ticket));
    }

    /// Returns the slots that a domain granted, as they are reported to its owner.
    pub(crate) fn granted_by(&self, domain: &Name, now: Instant) -> Vec<HeldGrant> {
        let slots = self.lock();
        let held = slots.values().filter(|slot| slot.domain == *domain);
        let to_grant = |slot: &HeldSlot| HeldGrant {
            offer: slot.offer.clone(),
            queue: slot.queue.clone(),
            team: slot.team.clone(),
            remaining_ms: slot.deadline.saturating_duration_since(now).as_millis() as u64,
        };
        held.map(to_grant).collect()
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(Name, GrantTicket), HeldSlot>> {
        lock(&self.slots)
    }
}
