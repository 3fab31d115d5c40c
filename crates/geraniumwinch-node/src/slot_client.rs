//! Obtains slots from dispatchers on behalf of requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantOffer;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::GrantRequest;
use geraniumwinch_wire::GrantResponse;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::RecordKey;
use geraniumwinch_wire::ReleaseOutcome;
use geraniumwinch_wire::SlotRelease;

use crate::held_slots::HeldSlot;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::refusal_response::RefusalResponse;

/// The greatest number of domains that are asked for one slot.
const MAX_DOMAINS: usize = 3;
/// The time for which a request waits for an owner of a domain that has none.
const OWNER_WAIT: Duration = Duration::from_millis(500);
/// The time between two looks for an owner.
const OWNER_POLL: Duration = Duration::from_millis(20);
/// The time between two attempts to give a slot with a record back.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// The time for which giving such a slot back is tried.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a slot is wanted for.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequirements {
    /// The queue.
    pub(crate) queue: Name,
    /// The team, or none on an open queue.
    pub(crate) team: Option<Name>,
    /// The time after which a slot is of no use.
    pub(crate) deadline: Instant,
    /// Endpoints that have already failed for the request.
    pub(crate) excluded: Vec<Name>,
    /// The idempotency record with its home domain.
    pub(crate) record: Option<(RecordKey, Name)>,
}

/// The end of the search for a slot.
#[derive(Debug)]
pub(crate) enum SlotAcquisition {
    /// A slot.
    Granted(SlotGuard),
    /// The idempotency key is known.
    Known(RecordState),
    /// No slot.
    Refused(RefusalResponse),
}

/// A slot that has to be given back; if it is dropped, the request's fate counts as unknown.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    shared: Arc<NodeShared>,
    /// The slot.
    pub(crate) offer: GrantOffer,
    domain: Name,
    record: Option<RecordKey>,
    released: bool,
}

/// Obtains a slot from the request's home, its own domain, or another one with free slots.
pub(crate) async fn obtain_slot(
    shared: &Arc<NodeShared>,
    requirements: &SlotRequirements,
) -> SlotAcquisition {
    let home = requirements.record.as_ref().map(|(_, home)| home.clone());
    let mut domain = home.clone().unwrap_or_else(|| shared.domain().clone());
    let mut tried: Vec<Name> = Vec::new();
    let wait_until = shared.now() + OWNER_WAIT;
    loop {
        tried.push(domain.clone());
        let may_spill = home.is_none() && tried.len() == 1;
        let refusal = match call_domain(shared, requirements, &domain, may_spill).await {
            DomainResponse::Slot(end) => return *end,
            DomainResponse::Elsewhere(other) => {
                domain = other;
                continue;
            }
            DomainResponse::Refused(refusal) => refusal,
        };
        let unowned = match refusal.kind {
            ErrorKind::DomainUnowned => true,
            // A home in another domain that can't be reached may be cut off for long.
            ErrorKind::HomeUnreachable => home.as_ref() == Some(shared.domain()),
            _ => false,
        };
        let in_time = shared.now() < wait_until && shared.now() < requirements.deadline;
        let alone = home.is_some() || next_domain(shared, requirements, &tried).is_none();
        if unowned && in_time && alone {
            // A handover is over within a moment, and then the domain has an owner again.
            tokio::time::sleep(OWNER_POLL).await;
            tried.clear();
            domain = home.clone().unwrap_or_else(|| shared.domain().clone());
            continue;
        }
        if home.is_some()
            || tried.len() >= MAX_DOMAINS
            || !is_domain_specific(refusal.kind)
        {
            return SlotAcquisition::Refused(refusal);
        }
        match next_domain(shared, requirements, &tried) {
            Some(other) => {
                node_metrics::count_retry(refusal.kind);
                domain = other;
            }
            None => return SlotAcquisition::Refused(refusal),
        }
    }
}

/// What a domain answered.
enum DomainResponse {
    Slot(Box<SlotAcquisition>),
    Elsewhere(Name),
    Refused(RefusalResponse),
}

/// Returns whether a refusal of one domain says nothing of the others.
fn is_domain_specific(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::DomainUnowned
            | ErrorKind::DomainRecovering
            | ErrorKind::EndpointMissing
            | ErrorKind::DeadlineUnmeetable
            | ErrorKind::QueueFull
            | ErrorKind::QueueUnknown
            | ErrorKind::TeamLimit
    )
}

/// Returns the domain with the most free slots that has not been asked.
fn next_domain(
    shared: &NodeShared,
    requirements: &SlotRequirements,
    tried: &[Name],
) -> Option<Name> {
    let age = shared.settings.owner_lease;
    let domains = shared.domains.with_free_slots(&requirements.queue, age, shared.now());
    domains.into_iter().map(|(domain, _)| domain).find(|domain| !tried.contains(domain))
}

/// Asks the dispatcher of a domain, and its successor if the ownership changes meanwhile.
async fn call_domain(
    shared: &Arc<NodeShared>,
    requirements: &SlotRequirements,
    domain: &Name,
    may_spill: bool,
) -> DomainResponse {
    let own = domain == shared.domain();
    let unreachable = match requirements.record {
        Some(_) => RefusalResponse::new(
            ErrorKind::HomeUnreachable,
            "this attempt was not run; the outcome of earlier ones with the key is unknown",
        ),
        None => RefusalResponse::new(ErrorKind::DomainUnowned, ""),
    };
    loop {
        let mut changes = shared.owner.subscribe();
        let Some(address) = shared.dispatcher_address(domain) else {
            return DomainResponse::Refused(unreachable);
        };
        let now = shared.now();
        let remaining = requirements.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return DomainResponse::Refused(RefusalResponse::new(
                ErrorKind::DeadlinePassed,
                "",
            ));
        }
        let grant_request = GrantRequest {
            queue: requirements.queue.clone(),
            team: requirements.team.clone(),
            remaining_ms: remaining.as_millis() as u64,
            excluded: requirements.excluded.clone(),
            record: requirements.record.as_ref().map(|(record, _)| *record),
            may_spill,
        };
        let call = shared.link.call(
            address,
            PeerMessage::GrantRequest(grant_request),
            remaining,
        );
        let answer = tokio::select! {
            answer = call => Some(answer),
            () = wait_until_unreachable(shared, domain) => None,
            _ = changes.changed(), if own => None,
        };
        match answer {
            Some(Ok(PeerMessage::GrantResponse(answer))) => {
                return handle_response(shared, requirements, domain, answer);
            }
            Some(Err(_)) => {
                let refusal = RefusalResponse::new(ErrorKind::DeadlinePassed, "");
                return DomainResponse::Refused(refusal);
            }
            // The dispatcher has changed or gone silent; a late slot of it is given back unused.
            Some(Ok(_)) | None => {}
        }
    }
}

/// Waits until the dispatcher of a domain has not been heard of for a while.
async fn wait_until_unreachable(shared: &NodeShared, domain: &Name) {
    while shared.dispatcher_address(domain).is_some() {
        tokio::time::sleep(shared.settings.peer_heartbeat).await;
    }
}

/// Reads the answer of a dispatcher.
fn handle_response(
    shared: &Arc<NodeShared>,
    requirements: &SlotRequirements,
    domain: &Name,
    answer: GrantResponse,
) -> DomainResponse {
    match answer {
        GrantResponse::Granted { offer } => {
            shared.held_slots.insert(HeldSlot {
                offer: offer.clone(),
                domain: domain.clone(),
                queue: requirements.queue.clone(),
                team: requirements.team.clone(),
                deadline: requirements.deadline,
            });
            DomainResponse::Slot(Box::new(SlotAcquisition::Granted(SlotGuard {
                shared: shared.clone(),
                offer,
                domain: domain.clone(),
                record: requirements.record.as_ref().map(|(record, _)| *record),
                released: false,
            })))
        }
        GrantResponse::Known { state } => {
            DomainResponse::Slot(Box::new(SlotAcquisition::Known(state)))
        }
        GrantResponse::Elsewhere { domain } => DomainResponse::Elsewhere(domain),
        GrantResponse::Refused { kind, retry_after_ms } => DomainResponse::Refused(
            RefusalResponse::from_dispatcher(kind, retry_after_ms, ""),
        ),
    }
}

impl SlotGuard {
    /// Gives the slot back.
    pub(crate) fn release(mut self, outcome: ReleaseOutcome) {
        self.send_release(outcome);
    }

    /// Sends the release; one that settles a record is repeated until it is confirmed.
    fn send_release(&mut self, outcome: ReleaseOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        self.shared.held_slots.remove(&self.domain, self.offer.ticket);
        let ticket = self.offer.ticket;
        let release = SlotRelease { ticket, record: self.record, outcome };
        if self.record.is_some() {
            let shared = self.shared.clone();
            let domain = self.domain.clone();
            actix_rt::spawn(confirm_release(shared, domain, release));
            return;
        }
        if let Some(address) = self.shared.dispatcher_address(&self.domain) {
            self.shared.link.send(address, PeerMessage::SlotRelease(release));
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.send_release(ReleaseOutcome::Unknown);
    }
}

/// Repeats a release until the dispatcher of the domain confirms it.
async fn confirm_release(shared: Arc<NodeShared>, domain: Name, release: SlotRelease) {
    let started = shared.now();
    while shared.now() - started < RELEASE_TIMEOUT {
        if let Some(address) = shared.dispatcher_address(&domain) {
            let message = PeerMessage::SlotRelease(release.clone());
            let answer = shared.link.call(address, message, RELEASE_RETRY).await;
            if matches!(answer, Ok(PeerMessage::Done)) {
                return;
            }
        }
        tokio::time::sleep(RELEASE_RETRY).await;
    }
    log_event!(Warn, "release-unconfirmed", ticket = release.ticket.0);
}
