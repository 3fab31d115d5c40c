//! The allocation of endpoint slots to queued requests.

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

/// How long a slot stays occupied after the deadline of its request.
///
/// The entry process closes the connection at the deadline; the grace period covers its scheduling
/// delays.
const GRANT_GRACE: Duration = Duration::from_millis(500);

/// Allocates the endpoint slots of one failure domain to queued requests.
///
/// Each request carries a context of type `C`, which identifies the requester and is returned with
/// the request's outcome.
#[derive(Debug)]
pub struct SlotAllocator<C> {
    endpoints: EndpointTable,
    queues: BTreeMap<Name, RequestQueue<C>>,
    grants: GrantTable,
    recovering_until: Option<Instant>,
    reserved_until: Option<Instant>,
    /// Whether no slot may be granted in the domain.
    evacuated: bool,
}

impl<C> SlotAllocator<C> {
    /// Creates an allocator whose tickets contain the given epoch.
    ///
    /// Until `recovering_until`, grants of a former owner may occupy any slot, and no slot is granted
    /// unless [`end_recovery`](Self::end_recovery) is called.
    pub fn new(epoch: u64, recovering_until: Option<Instant>) -> Self {
        SlotAllocator {
            endpoints: EndpointTable::default(),
            queues: BTreeMap::new(),
            grants: GrantTable::new(epoch),
            recovering_until,
            reserved_until: None,
            evacuated: false,
        }
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, specs: &[EndpointSpec]) {
        self.endpoints.set_list(specs);
    }

    /// Replaces the queue policies, and refuses the requests that wait in removed queues.
    pub fn set_queues(
        &mut self,
        policies: &BTreeMap<Name, QueuePolicy>,
    ) -> Vec<SlotOutcome<C>> {
        let mut outcomes = Vec::new();
        let removed: Vec<Name> = self
            .queues
            .keys()
            .filter(|name| !policies.contains_key(*name))
            .cloned()
            .collect();
        for name in removed {
            let queue = self.queues.remove(&name).expect("the name was just listed");
            outcomes.extend(queue.refuse_all(ErrorKind::QueueUnknown));
        }
        for (name, policy) in policies {
            match self.queues.get_mut(name) {
                Some(queue) => queue.set_policy(policy.clone()),
                None => {
                    self.queues.insert(name.clone(), RequestQueue::new(policy.clone()));
                }
            }
        }
        outcomes
    }

    /// Starts or ends refusing all requests, and refuses those that wait.
    pub fn set_evacuated(&mut self, evacuated: bool) -> Vec<SlotOutcome<C>> {
        self.evacuated = evacuated;
        if !evacuated {
            return Vec::new();
        }
        let queues = self.queues.values_mut();
        queues.flat_map(|queue| queue.drain(ErrorKind::DomainEvacuated)).collect()
    }

    /// Returns whether no slot may be granted in the domain.
    pub fn evacuated(&self) -> bool {
        self.evacuated
    }

    /// Returns whether slots may be in use that no process has reported since the takeover.
    pub fn may_miss_grants(&self, now: Instant) -> bool {
        let pending = |until: Option<Instant>| until.is_some_and(|until| until > now);
        pending(self.recovering_until) || pending(self.reserved_until)
    }

    /// Starts granting slots before the end of the recovery period.
    ///
    /// To be called once all other processes of the domain have reported the slots that they hold. The
    /// slots that the former owner's process and other domains may still hold stay reserved until the
    /// end of the period.
    pub fn end_recovery(&mut self) {
        self.reserved_until = self.recovering_until.take();
        self.endpoints.set_reserve_active(self.reserved_until.is_some());
    }

    /// Releases the reserved slots once the grants of the former owner have expired.
    fn release_reserve(&mut self, now: Instant) {
        if self.reserved_until.is_some_and(|until| until <= now) {
            self.reserved_until = None;
            self.endpoints.set_reserve_active(false);
        }
    }

    /// Returns the end of the recovery period if it has not passed.
    pub fn recovering_until(&self, now: Instant) -> Option<Instant> {
        self.recovering_until.filter(|&until| until > now)
    }

    /// Queues a request, or returns a refusal.
    pub fn submit(
        &mut self,
        request: SlotRequest<C>,
        ledger: &TeamLedger,
        now: Instant,
    ) -> Option<SlotOutcome<C>> {
        if self.evacuated {
            return Some(request.refuse(ErrorKind::DomainEvacuated));
        }
        if let Some(until) = self.recovering_until(now) {
            return Some(request.refuse_after(ErrorKind::DomainRecovering, until - now));
        }
        let Some(queue) = self.queues.get_mut(&request.queue) else {
            return Some(request.refuse(ErrorKind::QueueUnknown));
        };
        let (_, slots) = self.endpoints.service_slots(&queue.policy().service);
        if slots == 0 {
            return Some(request.refuse(ErrorKind::EndpointMissing));
        }
        if request.team.is_some_and(|team| !ledger.ever_allows(team, 1)) {
            return Some(request.refuse(ErrorKind::TeamLimit));
        }
        queue.admit(request, slots, now)
    }

    /// Removes a request from its queue, and returns its context if it was still waiting.
    pub fn cancel(&mut self, queue: &Name, id: u128) -> Option<C> {
        self.queues.get_mut(queue)?.cancel(id)
    }

    /// Grants free slots to queued requests, and refuses requests whose deadline has passed.
    pub fn allocate(
        &mut self,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> Vec<SlotOutcome<C>> {
        let mut outcomes = Vec::new();
        self.release_reserve(now);
        for (name, queue) in &mut self.queues {
            queue.refuse_late(now, &mut outcomes);
            if self.recovering_until.is_some_and(|until| until > now) {
                continue;
            }
            let service = queue.policy().service.clone();
            while self.endpoints.service_slots(&service).0 > 0 {
                let endpoints = &self.endpoints;
                let choose = |request: &SlotRequest<C>| {
                    endpoints.choose(&service, &request.excluded, request.holder)
                };
                let Some((request, key)) = queue.take_next(ledger, choose) else { break };
                let grant = SlotGrant {
                    endpoint: key,
                    team: request.team,
                    holder: request.holder,
                    queue: name.clone(),
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

    /// Adopts a grant of a former owner that an entry process still holds.
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

    /// Frees the slot of a grant, and returns whether the grant was active.
    ///
    /// Releasing a grant again, or after its expiry, has no effect.
    pub fn release(
        &mut self,
        ticket: GrantTicket,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let Some(grant) = self.grants.remove(ticket) else { return false };
        if let Some(queue) = self.queues.get_mut(&grant.queue) {
            queue.observe_service_time(now.saturating_duration_since(grant.granted));
        }
        self.vacate(&grant, ledger);
        true
    }

    /// Frees the slots of expired grants, and returns their tickets.
    pub fn expire(&mut self, ledger: &mut TeamLedger, now: Instant) -> Vec<GrantTicket> {
        let mut tickets = Vec::new();
        while let Some((ticket, grant)) = self.grants.pop_expired(now) {
            self.vacate(&grant, ledger);
            tickets.push(ticket);
        }
        tickets
    }

    /// Frees a grant's slot, and the team's allowance that it used.
    fn vacate(&mut self, grant: &SlotGrant, ledger: &mut TeamLedger) {
        self.endpoints.vacate(grant.endpoint, grant.holder);
        if let Some(team) = grant.team {
            ledger.release(team, &ResourceVector::default());
        }
    }

    /// Returns the number of free slots, of all slots and of waiting requests for each queue.
    ///
    /// An evacuated domain has no slots.
    pub fn queue_load(&self) -> impl Iterator<Item = (&Name, u32, u32, usize)> {
        self.queues.iter().map(|(name, queue)| {
            let (free, all) = match self.evacuated {
                true => (0, 0),
                false => self.endpoints.service_slots(&queue.policy().service),
            };
            (name, free, all, queue.len())
        })
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Returns the number of active grants.
    pub fn active_grants(&self) -> usize {
        self.grants.len()
    }
}
