//! Slot requests, grants and releases.

use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::AdoptedGrant;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantHolder;
use geraniumwinch_core::GrantOffer;
use geraniumwinch_core::GrantTicket;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordLookup;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::SlotOutcome;
use geraniumwinch_core::SlotRequest;
use geraniumwinch_wire::GrantRequest;
use geraniumwinch_wire::GrantResponse;
use geraniumwinch_wire::HandoverGrant;
use geraniumwinch_wire::HeldGrant;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::PeerName;
use geraniumwinch_wire::RecordKey;
use geraniumwinch_wire::ReleaseOutcome;
use geraniumwinch_wire::SlotRelease;
use rand::Rng;

use crate::journal::JournalOutcome;
use crate::node_metrics;

use super::Dispatcher;
use super::OutstandingGrant;
use super::RequestContext;
use super::journal_requests::FollowUp;

/// Maximum age of another domain's digest for requests to be sent there.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(2000);

impl Dispatcher {
    /// Responds to a slot request from its record, refers it to another domain, or queues it.
    pub(super) fn handle_grant_request(
        &mut self,
        from: PeerIdentity,
        correlation: u128,
        request: GrantRequest,
        now: Instant,
    ) {
        if let Some(record) = &request.record
            && let Some(response) = self.recorded_response(record)
        {
            self.respond(&from, correlation, PeerMessage::GrantResponse(response));
            return;
        }
        if request.may_spill
            && let Some(domain) = self.spill_domain(&request, now)
        {
            let response = GrantResponse::Elsewhere { domain };
            self.respond(&from, correlation, PeerMessage::GrantResponse(response));
            return;
        }
        let deadline = now + Duration::from_millis(request.remaining_ms);
        let (from_name, from_domain) = (from.name.clone(), from.domain.clone());
        let context = RequestContext {
            from,
            correlation,
            queue: request.queue.clone(),
            team: request.team.clone(),
            deadline,
            record: request.record,
            received: now,
        };
        if let Some(record) = &request.record {
            self.in_flight_keys.insert(record.digest);
        }
        let team = request.team.as_ref().map(|team| self.ledger.key_of(team));
        let holder = self.holder(&from_name, &from_domain);
        let request = SlotRequest {
            id: correlation,
            queue: request.queue,
            team,
            holder,
            deadline,
            excluded: request.excluded,
            context,
        };
        if let Some(outcome) = self.allocator.submit(request, &self.ledger, now) {
            self.complete_request(outcome, now);
        }
    }

    /// Returns whether a process is the owner, another member of the domain, or remote.
    fn holder(&self, name: &Name, domain: &Name) -> GrantHolder {
        let identity = self.shared.link.identity();
        match (*domain == identity.domain, *name == identity.name) {
            (true, true) => GrantHolder::Owner,
            (true, false) => GrantHolder::Member,
            (false, _) => GrantHolder::Remote,
        }
    }

    /// Returns the response to a request whose idempotency key is already recorded.
    fn recorded_response(&self, record: &RecordKey) -> Option<GrantResponse> {
        let refused = |kind: ErrorKind| {
            let retry_after_ms = retry_millis(kind.response().retry_after);
            Some(GrantResponse::Refused { kind, retry_after_ms })
        };
        if self.in_flight_keys.contains(&record.digest) {
            return refused(ErrorKind::StillRunning);
        }
        match self.records.peek(&record.digest, &record.fingerprint) {
            RecordLookup::New => None,
            RecordLookup::Known(RecordState::Intent) => refused(ErrorKind::StillRunning),
            RecordLookup::Known(state) => Some(GrantResponse::Known { state }),
            RecordLookup::Reused => refused(ErrorKind::KeyReused),
            RecordLookup::Full => refused(ErrorKind::RecordsFull),
        }
    }

    /// Returns another domain with free slots if this one can't grant the request at once.
    ///
    /// The choice is random, weighted by the number of free slots, so that domains with outdated
    /// digests do not all send their requests to the same one.
    fn spill_domain(&mut self, request: &GrantRequest, now: Instant) -> Option<Name> {
        let load =
            self.allocator.queue_load().find(|(queue, ..)| **queue == request.queue);
        let (_, free, _, waiting) = load?;
        let limited = request.team.as_ref().is_some_and(|team| {
            let team = self.ledger.key_of(team);
            !self.ledger.allows(team, 1)
        });
        let recovering = self.allocator.recovering_until(now).is_some();
        if free as usize > waiting && !limited && !recovering {
            return None;
        }
        let domains =
            self.shared.domains.with_free_slots(&request.queue, MAX_DIGEST_AGE, now);
        let total: u32 = domains.iter().map(|(_, free)| free).sum();
        let mut point = rand::rng().random_range(0..total.max(1));
        domains.into_iter().find_map(|(domain, free)| {
            let chosen = point < free;
            point = point.saturating_sub(free);
            chosen.then_some(domain)
        })
    }

    /// Responds to a request that has left the queue; with a record, its intent is journaled first.
    pub(super) fn complete_request(
        &mut self,
        outcome: SlotOutcome<RequestContext>,
        now: Instant,
    ) {
        let context = outcome.context;
        let offer = match outcome.result {
            Ok(offer) => offer,
            Err((kind, retry_after)) => {
                if let Some(record) = &context.record {
                    self.in_flight_keys.remove(&record.digest);
                }
                let retry_after_ms = retry_millis(retry_after);
                let response = GrantResponse::Refused { kind, retry_after_ms };
                self.respond_to_request(&context, response);
                return;
            }
        };
        node_metrics::record_slot_wait(now - context.received);
        let Some(record) = context.record else {
            self.issue_grant(context, offer);
            return;
        };
        self.in_flight_keys.remove(&record.digest);
        match self.records.begin(record.digest, record.fingerprint, offer.ticket, now) {
            RecordLookup::New => {
                let entry = record_entry(&record, Some(RecordState::Intent));
                self.write_journal(
                    vec![entry],
                    FollowUp::Grant(Box::new(context), offer),
                );
            }
            _ => {
                self.allocator.release(offer.ticket, &mut self.ledger, now);
                let kind = ErrorKind::RecordsFull;
                let response = GrantResponse::Refused { kind, retry_after_ms: None };
                self.respond_to_request(&context, response);
            }
        }
    }

    /// Issues a grant, or releases its slot, depending on the outcome of journaling the intent.
    pub(super) fn complete_grant(
        &mut self,
        context: RequestContext,
        offer: GrantOffer,
        outcome: JournalOutcome,
    ) {
        let now = self.shared.now();
        let in_time = now < context.deadline;
        let persisted = outcome == JournalOutcome::Persisted;
        let evacuated = self.allocator.evacuated();
        if persisted && in_time && !evacuated && self.may_decide() {
            self.issue_grant(context, offer);
            return;
        }
        // The grant was never sent, so the request can't have run.
        self.allocator.release(offer.ticket, &mut self.ledger, now);
        if let Some(record) = &context.record {
            self.records.remove(&record.digest);
            if outcome != JournalOutcome::Refused {
                self.write_journal(vec![record_entry(record, None)], FollowUp::None);
            }
        }
        let kind = match in_time {
            true if persisted && evacuated => ErrorKind::DomainEvacuated,
            true => ErrorKind::StoreUnavailable,
            false => ErrorKind::DeadlinePassed,
        };
        let retry_after_ms = retry_millis(kind.response().retry_after);
        self.respond_to_request(
            &context,
            GrantResponse::Refused { kind, retry_after_ms },
        );
    }

    /// Registers a grant as outstanding and sends it to the requester.
    fn issue_grant(&mut self, context: RequestContext, offer: GrantOffer) {
        node_metrics::count_grant();
        let grant = OutstandingGrant {
            entry: PeerName::of(&context.from),
            held: HeldGrant {
                offer: offer.clone(),
                queue: context.queue.clone(),
                team: context.team.clone(),
                // Computed when the grant is handed over.
                remaining_ms: 0,
            },
            record: context.record,
            deadline: context.deadline,
        };
        self.outstanding_grants.insert(offer.ticket, grant);
        self.respond_to_request(&context, GrantResponse::Granted { offer });
    }

    /// Sends the response to a slot request.
    fn respond_to_request(&self, context: &RequestContext, response: GrantResponse) {
        let body = PeerMessage::GrantResponse(response);
        self.respond(&context.from, context.correlation, body);
    }

    /// Frees a released slot and updates the record of its request.
    pub(super) fn handle_release(&mut self, release: &SlotRelease, now: Instant) {
        self.allocator.release(release.ticket, &mut self.ledger, now);
        let grant = self.outstanding_grants.remove(&release.ticket);
        let outstanding = grant.is_some();
        let record = grant.and_then(|grant| grant.record).or(release.record);
        let Some(record) = record else { return };
        let state = match &release.outcome {
            ReleaseOutcome::NotSent => None,
            ReleaseOutcome::Responded(response) => {
                Some(RecordState::Ended(response.clone()))
            }
            ReleaseOutcome::Unknown => Some(RecordState::Unknown),
        };
        let (digest, removes) = (&record.digest, state.is_none());
        if outstanding || self.records.accepts_outcome(digest, release.ticket, removes) {
            self.update_record(&record, state, now);
        }
    }

    /// Sets the record of an expired grant to unknown, since its entry process reported no outcome.
    pub(super) fn expire_grant(&mut self, ticket: GrantTicket, now: Instant) {
        let grant = self.outstanding_grants.remove(&ticket);
        if let Some(record) = grant.and_then(|grant| grant.record) {
            self.update_record(&record, Some(RecordState::Unknown), now);
        }
    }

    /// Updates or removes a record, and writes the change to the journal.
    fn update_record(
        &mut self,
        record: &RecordKey,
        state: Option<RecordState>,
        now: Instant,
    ) {
        match &state {
            None => self.records.remove(&record.digest),
            Some(state) => {
                if !self.records.set_state(&record.digest, state.clone(), now) {
                    let RecordKey { digest, fingerprint } = *record;
                    self.records.restore(digest, fingerprint, state.clone(), now);
                }
            }
        }
        self.write_journal(vec![record_entry(record, state)], FollowUp::None);
    }

    /// Adopts a grant that a former owner issued.
    pub(super) fn adopt_grant(&mut self, grant: HandoverGrant, now: Instant) {
        let HandoverGrant { entry, held, record } = grant;
        let deadline = now + Duration::from_millis(held.remaining_ms);
        let grant = AdoptedGrant {
            offer: held.offer.clone(),
            queue: held.queue.clone(),
            team: held.team.as_ref().map(|team| self.ledger.key_of(team)),
            holder: self.holder(&entry.name, &entry.domain),
            closes: deadline,
        };
        self.allocator.adopt(grant, &mut self.ledger, now);
        let grant = OutstandingGrant { entry, record, deadline, held };
        self.outstanding_grants.entry(grant.held.offer.ticket).or_insert(grant);
    }

    /// Ends the recovery once every awaited process of the domain has reported the slots it holds.
    pub(super) fn end_recovery_if_complete(&mut self) {
        if self.allocator.recovering_until(self.shared.now()).is_none() {
            return;
        }
        let members = self.shared.members.list();
        for (name, _) in members.into_iter().filter(|(_, member)| member.slots_reported) {
            self.awaited_members.remove(&name);
        }
        if self.awaited_members.is_empty() {
            self.allocator.end_recovery();
        }
    }
}

/// Builds the journal entry for the state of a record; `None` stands for its removal.
fn record_entry(record: &RecordKey, state: Option<RecordState>) -> JournalEntry {
    JournalEntry::Record { digest: record.digest, fingerprint: record.fingerprint, state }
}

/// Converts a retry delay to milliseconds.
fn retry_millis(retry_after: Option<Duration>) -> Option<u64> {
    retry_after.map(|time| time.as_millis() as u64)
}
