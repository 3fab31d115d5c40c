//! The active grants, indexed by ticket and by expiry.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::EndpointKey;
use crate::GrantHolder;
use crate::Name;
use crate::TeamKey;

use super::GrantTicket;

/// A slot held by an entry process.
#[derive(Debug, Clone)]
pub(super) struct SlotGrant {
    /// The endpoint.
    pub(super) endpoint: EndpointKey,
    /// The team, or `None` for a queue that requires no key.
    pub(super) team: Option<TeamKey>,
    /// The relation of the process that holds the slot to the dispatcher.
    pub(super) holder: GrantHolder,
    /// The queue of the request that holds the slot.
    pub(super) queue: Name,
    /// When the slot was granted.
    pub(super) granted: Instant,
    /// When the slot becomes free even if it is not released.
    pub(super) expires: Instant,
}

/// The active grants.
#[derive(Debug)]
pub(super) struct GrantTable {
    epoch: u64,
    serial: u64,
    grants: HashMap<GrantTicket, SlotGrant>,
    by_expiry: BTreeSet<(Instant, GrantTicket)>,
}

impl GrantTable {
    /// Creates an empty table whose tickets contain the given epoch.
    pub(super) fn new(epoch: u64) -> Self {
        GrantTable {
            epoch,
            serial: 0,
            grants: HashMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Adds a grant under a new ticket.
    pub(super) fn insert(&mut self, grant: SlotGrant) -> GrantTicket {
        self.serial += 1;
        let ticket = GrantTicket((self.epoch << 32) | self.serial);
        self.insert_as(ticket, grant);
        ticket
    }

    /// Adds a grant under a given ticket, such as one issued by a former owner.
    pub(super) fn insert_as(&mut self, ticket: GrantTicket, grant: SlotGrant) {
        self.by_expiry.insert((grant.expires, ticket));
        self.grants.insert(ticket, grant);
    }

    /// Returns whether a ticket belongs to an active grant.
    pub(super) fn contains(&self, ticket: GrantTicket) -> bool {
        self.grants.contains_key(&ticket)
    }

    /// Removes a grant and returns it.
    pub(super) fn remove(&mut self, ticket: GrantTicket) -> Option<SlotGrant> {
        let grant = self.grants.remove(&ticket)?;
        self.by_expiry.remove(&(grant.expires, ticket));
        Some(grant)
    }

    /// Removes the earliest expired grant, if there is one.
    pub(super) fn pop_expired(
        &mut self,
        now: Instant,
    ) -> Option<(GrantTicket, SlotGrant)> {
        let &(expires, ticket) = self.by_expiry.first()?;
        if expires > now {
            return None;
        }
        self.remove(ticket).map(|grant| (ticket, grant))
    }

    /// Returns the number of active grants.
    pub(super) fn len(&self) -> usize {
        self.grants.len()
    }
}
