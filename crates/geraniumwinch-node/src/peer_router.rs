//! Routes messages from peers to the components that handle them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_wire::GrantResponse;
use geraniumwinch_wire::HeartbeatRequest;
use geraniumwinch_wire::HeartbeatResponse;
use geraniumwinch_wire::OwnerReport;
use geraniumwinch_wire::OwnerView;
use geraniumwinch_wire::PeerEnvelope;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::ReleaseOutcome;
use geraniumwinch_wire::SlotRelease;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::config_sync::fill_freshness;
use crate::dispatcher::PeerCall;
use crate::dispatcher::ReportedGrants;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::ownership::OwnershipRequest;
use crate::shared_lock::lock;

/// Routes messages from peers.
pub(crate) struct PeerRouter {
    shared: Arc<NodeShared>,
    ownership: mpsc::UnboundedSender<OwnershipRequest>,
    runtime: tokio::runtime::Handle,
}

impl PeerRouter {
    /// Creates a router that spawns tasks on the current runtime.
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        ownership: mpsc::UnboundedSender<OwnershipRequest>,
    ) -> Self {
        PeerRouter { shared, ownership, runtime: tokio::runtime::Handle::current() }
    }

    /// Routes a message.
    pub(crate) fn route(&self, envelope: PeerEnvelope) {
        let PeerEnvelope { from, correlation, is_response, body } = envelope;
        if is_response {
            self.discard_late_response(&from, body);
            return;
        }
        match body {
            PeerMessage::HeartbeatRequest(report) => {
                self.handle_heartbeat(&from, correlation, report)
            }
            PeerMessage::OwnerRequest => {
                let report = self.owner_report();
                self.respond(&from, correlation, PeerMessage::OwnerResponse(report));
            }
            PeerMessage::ConfigRequest { revision } => {
                let (revision, digest, update) =
                    self.shared.catalog.update_since(revision);
                let response = PeerMessage::ConfigResponse { revision, digest, update };
                self.respond(&from, correlation, response);
            }
            PeerMessage::MirrorAppend(batch) => {
                let kept = self.shared.mirror.insert(batch);
                let refused = PeerMessage::Refused(ErrorKind::RecordsFull);
                let response = if kept { PeerMessage::Done } else { refused };
                self.respond(&from, correlation, response);
            }
            PeerMessage::MirrorRequest { after } => {
                let batches = self.shared.mirror.page(after);
                self.respond(&from, correlation, PeerMessage::MirrorResponse(batches));
            }
            PeerMessage::Announce(view) => self.handle_announcement(&from, view),
            PeerMessage::Digest(_) => self.handle_digest(&from, correlation),
            PeerMessage::Handover(state) => self.handover(from, correlation, state),
            body => self.forward(PeerCall { from, correlation, body }),
        }
    }

    /// Responds to a call.
    fn respond(&self, to: &PeerIdentity, correlation: u128, body: PeerMessage) {
        self.shared.link.respond(to.address, correlation, body);
    }

    /// Discards a response whose call has ended; a slot granted by it is released unused.
    fn discard_late_response(&self, from: &PeerIdentity, body: PeerMessage) {
        node_metrics::count_message("late");
        if let PeerMessage::GrantResponse(GrantResponse::Granted { offer }) = body {
            let outcome = ReleaseOutcome::NotSent;
            let release = SlotRelease { ticket: offer.ticket, record: None, outcome };
            self.shared.link.send(from.address, PeerMessage::SlotRelease(release));
        }
    }

    /// Returns the owner that this process knows.
    fn owner_report(&self) -> OwnerReport {
        let owner = self.shared.owner.borrow();
        OwnerReport { owner: owner.as_ref().map(|owner| owner.view.clone()) }
    }

    /// Accepts a new owner of the domain if its epoch is higher.
    fn handle_announcement(&self, from: &PeerIdentity, view: OwnerView) {
        let shared = &self.shared;
        let known = shared.owner.borrow().as_ref().map_or(0, |owner| owner.view.epoch);
        if from.domain == *shared.domain() && view.epoch > known {
            shared.set_owner(view, shared.now());
        }
    }

    /// Responds to a heartbeat, or names the known owner if this process does not own the domain.
    fn handle_heartbeat(
        &self,
        from: &PeerIdentity,
        correlation: u128,
        report: HeartbeatRequest,
    ) {
        let shared = &self.shared;
        let Some(epoch) =
            shared.fence.epoch().filter(|_| from.domain == *shared.domain())
        else {
            let report = self.owner_report();
            self.respond(from, correlation, PeerMessage::NotOwner(report));
            return;
        };
        let now = shared.now();
        let reports_slots = report.held.is_some();
        let needs_held_grants = shared.members.record_heartbeat(
            from,
            report.revision,
            report.stopping,
            reports_slots,
            now,
        );
        if let (Some(held), Some(dispatcher)) =
            (report.held, shared.dispatcher.load_full())
        {
            dispatcher.do_send(ReportedGrants { from: from.clone(), held });
        }
        let age =
            |created_at| now.saturating_duration_since(created_at).as_millis() as u64;
        let last_sent = shared.members.mark_domains_sent(&from.name, now);
        let domains = shared.domains.rows().into_iter();
        let domains = domains
            .filter(|row| last_sent.is_none_or(|last_sent| row.received_at > last_sent))
            .map(|row| (row.digest, age(row.created_at)))
            .collect();
        let fresh = shared.catalog.fresh_age(now);
        let response = HeartbeatResponse {
            epoch,
            revision: shared.catalog.view().revision,
            fresh_age_ms: fresh.map(|age| age.as_millis() as u64),
            domains,
            committed: shared.committed_sequence.load(Ordering::Relaxed),
            needs_held_grants,
        };
        self.respond(from, correlation, PeerMessage::HeartbeatResponse(response));
    }

    /// Responds to the digest of another domain with the digest of this one.
    fn handle_digest(&self, from: &PeerIdentity, correlation: u128) {
        let own = &self.shared.own_digest;
        let digest = lock(own).clone();
        let response = match digest {
            Some(mut digest) => {
                fill_freshness(&self.shared, &mut digest);
                PeerMessage::Digest(Box::new(digest))
            }
            None => PeerMessage::NotOwner(self.owner_report()),
        };
        self.respond(from, correlation, response);
    }

    /// Forwards a handover to the ownership manager and responds once the domain is taken over.
    fn handover(
        &self,
        from: PeerIdentity,
        correlation: u128,
        state: Box<geraniumwinch_wire::HandoverState>,
    ) {
        let (done, taken) = oneshot::channel();
        let _ = self.ownership.send(OwnershipRequest::AcceptHandover(state, done));
        let shared = self.shared.clone();
        self.runtime.spawn(async move {
            let response = match taken.await {
                Ok(true) => PeerMessage::Done,
                _ => PeerMessage::Refused(ErrorKind::DomainUnowned),
            };
            shared.link.respond(from.address, correlation, response);
        });
    }

    /// Forwards a call to the dispatcher, or refuses it if there is none.
    fn forward(&self, call: PeerCall) {
        match self.shared.dispatcher.load_full() {
            Some(dispatcher) => dispatcher.do_send(call),
            None => {
                let response = refusal_for(&call.body, ErrorKind::DomainUnowned);
                if let Some(response) = response {
                    self.respond(&call.from, call.correlation, response);
                }
            }
        }
    }
}

/// Returns the refusal of a call in the form of its response, or `None` if it expects no response.
pub(crate) fn refusal_for(body: &PeerMessage, kind: ErrorKind) -> Option<PeerMessage> {
    let retry_after_ms = kind.response().retry_after.map(|time| time.as_millis() as u64);
    match body {
        PeerMessage::GrantRequest(_) => {
            Some(PeerMessage::GrantResponse(GrantResponse::Refused {
                kind,
                retry_after_ms,
            }))
        }
        PeerMessage::JobSubmit { .. }
        | PeerMessage::JobQuery { .. }
        | PeerMessage::JobCancel { .. } => {
            let detail = String::new();
            let response =
                geraniumwinch_wire::JobResponse::Refused { kind, retry_after_ms, detail };
            Some(PeerMessage::JobResponse(response))
        }
        PeerMessage::StatusRequest | PeerMessage::EvacuationRequest => {
            Some(PeerMessage::Refused(kind))
        }
        _ => None,
    }
}
