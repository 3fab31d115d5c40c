//! Requests that wait for a slot of an endpoint, and the slots that were granted.

mod grant_table;
mod queue_policy;
mod request_queue;
mod slot_request;

pub use self::queue_policy::QueuePolicy;
pub use self::slot_request::AdoptedGrant;
pub use self::slot_request::GrantOffer;
pub use self::slot_request::GrantTicket;
pub use self::slot_request::SlotOutcome;
pub use self::slot_request::SlotRequest;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::EndpointSpec;
use crate::EndpointTable;
use crate::ErrorKind;
use crate::Name;
use crate::ResourceVector;
use crate::TeamLedger;

use self::grant_table::GrantTable;
use self::grant_table::SlotGrant;
use self::request_queue::RequestQueue;

/// The time for which a slot stays taken after the deadline of its request.
///
/// The entry closes the connection at the deadline; this covers its scheduling delays.
const GRANT_GRACE: Duration = Duration::from_millis(500);

/// Hands out the slots of the endpoints of one failure domain.
///
/// The context `C` says whom to answer and is handed back with each outcome.
#[derive(Debug)]
pub struct SlotAllocator<C> {
    endpoints: EndpointTable,
    lines: BTreeMap<Name, RequestQueue<C>>,
    grants: GrantTable,
    recovering_until: Option<Instant>,
    set_aside_until: Option<Instant>,
}

impl<C> SlotAllocator<C> {
    /// Creates a allocator whose tickets carry the epoch.
    ///
    /// Until `recovering_until`, slots may be taken by grants of a former owner, and none is granted.
    pub fn new(epoch: u64, recovering_until: Option<Instant>) -> Self {
        SlotAllocator {
            endpoints: EndpointTable::default(),
            lines: BTreeMap::new(),
            grants: GrantTable::new(epoch),
            recovering_until,
            set_aside_until: None,
        }
    }

    /// Takes over a new VM list.
    pub fn set_endpoints(&mut self, specs: &[EndpointSpec]) {
        self.endpoints.set_list(specs);
    }

    /// Takes over the queues of a new configuration and refuses what waits in queues that have gone.
    pub fn set_queues(
        &mut self,
        policies: &BTreeMap<Name, QueuePolicy>,
    ) -> Vec<SlotOutcome<C>> {
        let mut outcomes = Vec::new();
        let gone: Vec<Name> = self
            .lines
            .keys()
            .filter(|name| !policies.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            let line = self.lines.remove(&name).expect("the name was just listed");
            outcomes.extend(line.refuse_all(ErrorKind::QueueUnknown));
        }
        for (name, policy) in policies {
            match self.lines.get_mut(name) {
                Some(line) => line.set_policy(policy.clone()),
                None => {
                    self.lines.insert(name.clone(), RequestQueue::new(policy.clone()));
                }
            }
        }
        outcomes
    }

    /// Ends the recovery once every other process of the domain has reported its slots.
    ///
    /// The slots that the former owner and other domains may hold stay set aside until its end.
    pub fn end_recovery(&mut self) {
        self.set_aside_until = self.recovering_until.take();
        self.endpoints.set_aside(self.set_aside_until.is_some());
    }

    /// Gives the slots free that were set aside for long enough.
    fn end_set_aside(&mut self, now: Instant) {
        if self.set_aside_until.is_some_and(|until| until <= now) {
            self.set_aside_until = None;
            self.endpoints.set_aside(false);
        }
    }

    /// Returns the end of the recovery if it is still going on.
    pub fn recovering_until(&self, now: Instant) -> Option<Instant> {
        self.recovering_until.filter(|&until| until > now)
    }

    /// Takes a request in, or refuses it at once.
    pub fn submit(
        &mut self,
        request: SlotRequest<C>,
        ledger: &TeamLedger,
        now: Instant,
    ) -> Option<SlotOutcome<C>> {
        if let Some(until) = self.recovering_until(now) {
            return Some(request.refuse_after(ErrorKind::DomainRecovering, until - now));
        }
        let Some(line) = self.lines.get_mut(&request.queue) else {
            return Some(request.refuse(ErrorKind::QueueUnknown));
        };
        let (_, slots) = self.endpoints.service_slots(&line.policy().service);
        if slots == 0 {
            return Some(request.refuse(ErrorKind::EndpointMissing));
        }
        if request.team.is_some_and(|team| !ledger.ever_allows(team, 1)) {
            return Some(request.refuse(ErrorKind::TeamLimit));
        }
        line.admit(request, slots, now)
    }

    /// Withdraws a waiting request; returns its context if it was waiting.
    pub fn cancel(&mut self, queue: &Name, id: u128) -> Option<C> {
        self.lines.get_mut(queue)?.cancel(id)
    }

    /// Grants free slots to waiting requests and refuses those whose deadline has passed.
    pub fn allocate(
        &mut self,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> Vec<SlotOutcome<C>> {
        let mut outcomes = Vec::new();
        self.end_set_aside(now);
        for (queue, line) in &mut self.lines {
            line.refuse_late(now, &mut outcomes);
            if self.recovering_until.is_some_and(|until| until > now) {
                continue;
            }
            let service = line.policy().service.clone();
            while self.endpoints.service_slots(&service).0 > 0 {
                let endpoints = &self.endpoints;
                let choose = |request: &SlotRequest<C>| {
                    endpoints.choose(&service, &request.excluded, request.holder)
                };
                let Some((request, key)) = line.take_next(ledger, choose) else { break };
                let grant = SlotGrant {
                    endpoint: key,
                    team: request.team,
                    holder: request.holder,
                    queue: queue.clone(),
                    granted: now,
                    expires: request.deadline + GRANT_GRACE,
                };
                self.endpoints.occupy(key, request.holder);
                if let Some(team) = request.team {
                    ledger.book(team, &ResourceVector::default());
                }
                let ticket = self.grants.insert(grant);
                let spec =
                    self.endpoints.spec(key).expect("the endpoint was just chosen");
                let offer = GrantOffer {
                    ticket,
                    endpoint: spec.name.clone(),
                    address: spec.address.clone(),
                };
                outcomes
                    .push(SlotOutcome { context: request.context, result: Ok(offer) });
            }
        }
        outcomes
    }

    /// Takes over a grant of a former owner that an entry still holds.
    pub fn adopt(&mut self, grant: AdoptedGrant, ledger: &mut TeamLedger, now: Instant) {
        let Some(endpoint) = self.endpoints.find(&grant.offer.endpoint) else { return };
        if self.grants.contains(grant.offer.ticket) {
            return;
        }
        if let Some(team) = grant.team {
            ledger.book(team, &ResourceVector::default());
        }
        self.endpoints.occupy(endpoint, grant.holder);
        let slot = SlotGrant {
            endpoint,
            team: grant.team,
            holder: grant.holder,
            queue: grant.queue,
            granted: now,
            expires: grant.closes + GRANT_GRACE,
        };
        self.grants.insert_as(grant.offer.ticket, slot);
    }

    /// Frees the slot of a grant; a repeated or late release changes nothing.
    pub fn release(
        &mut self,
        ticket: GrantTicket,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let Some(grant) = self.grants.remove(ticket) else { return false };
        if let Some(line) = self.lines.get_mut(&grant.queue) {
            line.observe(now.saturating_duration_since(grant.granted));
        }
        self.vacate(&grant, ledger);
        true
    }

    /// Frees the slots of the grants whose entries have let them expire.
    pub fn expire(&mut self, ledger: &mut TeamLedger, now: Instant) -> Vec<GrantTicket> {
        let mut tickets = Vec::new();
        while let Some((ticket, grant)) = self.grants.pop_expired(now) {
            self.vacate(&grant, ledger);
            tickets.push(ticket);
        }
        tickets
    }

    /// Gives the slot and the team's room of a grant back.
    fn vacate(&mut self, grant: &SlotGrant, ledger: &mut TeamLedger) {
        self.endpoints.vacate(grant.endpoint, grant.holder);
        if let Some(team) = grant.team {
            ledger.release(team, &ResourceVector::default());
        }
    }

    /// Returns each queue with its free slots, all slots and waiting requests.
    pub fn queue_load(&self) -> impl Iterator<Item = (&Name, u32, u32, usize)> {
        self.lines.iter().map(|(name, line)| {
            let (free, all) = self.endpoints.service_slots(&line.policy().service);
            (name, free, all, line.len())
        })
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the number of grants that are out.
    pub fn active_grants(&self) -> usize {
        self.grants.len()
    }
}
