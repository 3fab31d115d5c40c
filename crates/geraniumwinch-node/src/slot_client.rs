//! Obtains slots for requests from the dispatchers.

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

/// Maximum number of domains that are tried for a slot.
const MAX_DOMAINS: usize = 3;
/// How long a request waits for a domain without an owner to get one.
const OWNER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two attempts while a domain has no owner.
const OWNER_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Timeout of an attempt to release a slot with a record, and delay before the next attempt.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long the release of a slot with a record is retried.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// The requirements of a request for a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequirements {
    pub(crate) queue: Name,
    /// The team, or `None` on an open queue.
    pub(crate) team: Option<Name>,
    /// The deadline of the request.
    pub(crate) deadline: Instant,
    /// Endpoints that have already failed to serve the request.
    pub(crate) excluded: Vec<Name>,
    /// The idempotency record and its home domain.
    pub(crate) record: Option<(RecordKey, Name)>,
}

/// The result of requesting a slot.
#[derive(Debug)]
pub(crate) enum SlotAcquisition {
    /// A slot was granted.
    Granted(SlotGuard),
    /// The idempotency key has been used before.
    Known(RecordState),
    /// No slot was granted.
    Refused(RefusalResponse),
}

/// A granted slot, which is released with an unknown outcome if it is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    shared: Arc<NodeShared>,
    pub(crate) offer: GrantOffer,
    domain: Name,
    record: Option<RecordKey>,
    released: bool,
}

/// Obtains a slot for a request.
///
/// A request with an idempotency record uses its home domain only. Others try the domain of this
/// process first, then the domains with the most free slots.
pub(crate) async fn obtain_slot(
    shared: &Arc<NodeShared>,
    requirements: &SlotRequirements,
) -> SlotAcquisition {
    let home = requirements.record.as_ref().map(|(_, home)| home.clone());
    let mut domain = home.clone().unwrap_or_else(|| shared.domain().clone());
    let mut tried: Vec<Name> = Vec::new();
    let wait_until = shared.now() + OWNER_WAIT_TIMEOUT;
    loop {
        tried.push(domain.clone());
        let may_spill = home.is_none() && tried.len() == 1;
        let refusal = match call_domain(shared, requirements, &domain, may_spill).await {
            DomainResponse::Slot(acquisition) => return *acquisition,
            DomainResponse::Elsewhere(other) => {
                domain = other;
                continue;
            }
            DomainResponse::Refused(refusal) => refusal,
        };
        let unowned = match refusal.kind {
            ErrorKind::DomainUnowned => true,
            // An unreachable home in another domain may stay partitioned for long.
            ErrorKind::HomeUnreachable => home.as_ref() == Some(shared.domain()),
            _ => false,
        };
        let in_time = shared.now() < wait_until && shared.now() < requirements.deadline;
        let no_alternative =
            home.is_some() || next_domain(shared, requirements, &tried).is_none();
        if unowned && in_time && no_alternative {
            // A handover completes quickly, and then the domain has an owner again.
            tokio::time::sleep(OWNER_POLL_PERIOD).await;
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
        let mut other = next_domain(shared, requirements, &tried);
        if other.is_none() && refusal.kind == ErrorKind::DomainEvacuated {
            other = waiting_domain(shared, requirements, &tried);
        }
        match other {
            Some(other) => {
                node_metrics::count_retry(refusal.kind);
                domain = other;
            }
            None => return SlotAcquisition::Refused(refusal),
        }
    }
}

/// The response of a domain's dispatcher.
enum DomainResponse {
    Slot(Box<SlotAcquisition>),
    Elsewhere(Name),
    Refused(RefusalResponse),
}

/// Returns whether another domain may grant a slot that was refused for this reason.
fn is_domain_specific(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::DomainUnowned
            | ErrorKind::DomainEvacuated
            | ErrorKind::DomainRecovering
            | ErrorKind::EndpointMissing
            | ErrorKind::DeadlineUnmeetable
            | ErrorKind::QueueFull
            | ErrorKind::QueueUnknown
            | ErrorKind::TeamLimit
    )
}

/// Returns the domain with the most free slots among those not tried yet.
fn next_domain(
    shared: &NodeShared,
    requirements: &SlotRequirements,
    tried: &[Name],
) -> Option<Name> {
    let age = shared.settings.owner_lease;
    let domains = shared.domains.with_free_slots(&requirements.queue, age, shared.now());
    domains.into_iter().map(|(domain, _)| domain).find(|domain| !tried.contains(domain))
}

/// Returns the domain with the shortest queue for its slots among those not tried yet.
fn waiting_domain(
    shared: &NodeShared,
    requirements: &SlotRequirements,
    tried: &[Name],
) -> Option<Name> {
    let age = shared.settings.owner_lease;
    let domains = shared.domains.by_queue_length(&requirements.queue, age, shared.now());
    domains.into_iter().find(|domain| !tried.contains(domain))
}

/// Requests a slot from the dispatcher of a domain, or its successor if the ownership changes.
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
        let response = tokio::select! {
            response = call => Some(response),
            () = wait_until_unreachable(shared, domain) => None,
            _ = changes.changed(), if own => None,
        };
        match response {
            Some(Ok(PeerMessage::GrantResponse(response))) => {
                return handle_response(shared, requirements, domain, response);
            }
            Some(Err(_)) => {
                let refusal = RefusalResponse::new(ErrorKind::DeadlinePassed, "");
                return DomainResponse::Refused(refusal);
            }
            // The owner has changed or is silent. A slot that it grants later is released unused.
            Some(Ok(_)) | None => {}
        }
    }
}

/// Waits until there is no recent information about the dispatcher of a domain.
async fn wait_until_unreachable(shared: &NodeShared, domain: &Name) {
    while shared.dispatcher_address(domain).is_some() {
        tokio::time::sleep(shared.settings.peer_heartbeat).await;
    }
}

/// Interprets the response of a dispatcher, and registers a granted slot.
fn handle_response(
    shared: &Arc<NodeShared>,
    requirements: &SlotRequirements,
    domain: &Name,
    response: GrantResponse,
) -> DomainResponse {
    match response {
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
        GrantResponse::Refused { kind, retry_after_ms } => {
            let detail = match kind {
                ErrorKind::DomainEvacuated => format!("failure domain {domain}"),
                _ => String::new(),
            };
            DomainResponse::Refused(RefusalResponse::from_dispatcher(
                kind,
                retry_after_ms,
                &detail,
            ))
        }
    }
}

impl SlotGuard {
    /// Releases the slot.
    pub(crate) fn release(mut self, outcome: ReleaseOutcome) {
        self.send_release(outcome);
    }

    /// Sends the release; if the slot has a record, the release is retried until it is confirmed.
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

/// Retries a release until the dispatcher of the domain confirms it or [`RELEASE_TIMEOUT`] elapses.
async fn confirm_release(shared: Arc<NodeShared>, domain: Name, release: SlotRelease) {
    let started = shared.now();
    while shared.now() - started < RELEASE_TIMEOUT {
        if let Some(address) = shared.dispatcher_address(&domain) {
            let message = PeerMessage::SlotRelease(release.clone());
            let response = shared.link.call(address, message, RELEASE_RETRY_DELAY).await;
            if matches!(response, Ok(PeerMessage::Done)) {
                return;
            }
        }
        tokio::time::sleep(RELEASE_RETRY_DELAY).await;
    }
    log_event!(Warn, "release-unconfirmed", ticket = release.ticket.0);
}
