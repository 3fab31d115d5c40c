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

use crate::held_table::HeldSlot;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::refusal_answer::RefusalAnswer;

/// The greatest number of domains that are asked for one slot.
const MAX_DOMAINS: usize = 3;
/// The time for which a request waits for an owner of a domain that has none.
const OWNER_PATIENCE: Duration = Duration::from_millis(500);
/// The time between two looks for an owner.
const OWNER_RETRY: Duration = Duration::from_millis(20);
/// The time between two attempts to give a slot with a record back.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// The time for which giving such a slot back is tried.
const RELEASE_PATIENCE: Duration = Duration::from_secs(10);

/// What a slot is wanted for.
#[derive(Debug, Clone)]
pub(crate) struct SlotWish {
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
pub(crate) enum SlotEnd {
    /// A slot.
    Granted(SlotLease),
    /// The idempotency key is known.
    Known(RecordState),
    /// No slot.
    Refused(RefusalAnswer),
}

/// A slot that has to be given back; if it is dropped, the request's fate counts as unknown.
#[derive(Debug)]
pub(crate) struct SlotLease {
    shared: Arc<NodeShared>,
    /// The slot.
    pub(crate) offer: GrantOffer,
    domain: Name,
    record: Option<RecordKey>,
    released: bool,
}

/// Obtains a slot from the request's home, its own domain, or another one with free slots.
pub(crate) async fn obtain_slot(shared: &Arc<NodeShared>, wish: &SlotWish) -> SlotEnd {
    let home = wish.record.as_ref().map(|(_, home)| home.clone());
    let mut domain = home.clone().unwrap_or_else(|| shared.domain().clone());
    let mut asked: Vec<Name> = Vec::new();
    let patience = shared.now() + OWNER_PATIENCE;
    loop {
        asked.push(domain.clone());
        let may_spill = home.is_none() && asked.len() == 1;
        let refusal = match ask_domain(shared, wish, &domain, may_spill).await {
            DomainAnswer::Slot(end) => return *end,
            DomainAnswer::Elsewhere(other) => {
                domain = other;
                continue;
            }
            DomainAnswer::Refused(refusal) => refusal,
        };
        let unowned = match refusal.kind {
            ErrorKind::DomainUnowned => true,
            // A home in another domain that can't be reached may be cut off for long.
            ErrorKind::HomeUnreachable => home.as_ref() == Some(shared.domain()),
            _ => false,
        };
        let in_time = shared.now() < patience && shared.now() < wish.deadline;
        let alone = home.is_some() || next_domain(shared, wish, &asked).is_none();
        if unowned && in_time && alone {
            // A handover is over within a moment, and then the domain has an owner again.
            tokio::time::sleep(OWNER_RETRY).await;
            asked.clear();
            domain = home.clone().unwrap_or_else(|| shared.domain().clone());
            continue;
        }
        if home.is_some() || asked.len() >= MAX_DOMAINS || !is_local(refusal.kind) {
            return SlotEnd::Refused(refusal);
        }
        match next_domain(shared, wish, &asked) {
            Some(other) => {
                node_metrics::count_retry(refusal.kind);
                domain = other;
            }
            None => return SlotEnd::Refused(refusal),
        }
    }
}

/// What a domain answered.
enum DomainAnswer {
    Slot(Box<SlotEnd>),
    Elsewhere(Name),
    Refused(RefusalAnswer),
}

/// Returns whether a refusal of one domain says nothing of the others.
fn is_local(kind: ErrorKind) -> bool {
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
fn next_domain(shared: &NodeShared, wish: &SlotWish, asked: &[Name]) -> Option<Name> {
    let age = shared.settings.owner_lease;
    let domains = shared.domains.with_free_slots(&wish.queue, age, shared.now());
    domains.into_iter().map(|(domain, _)| domain).find(|domain| !asked.contains(domain))
}

/// Asks the dispatcher of a domain, and its successor if the ownership changes meanwhile.
async fn ask_domain(
    shared: &Arc<NodeShared>,
    wish: &SlotWish,
    domain: &Name,
    may_spill: bool,
) -> DomainAnswer {
    let own = domain == shared.domain();
    let unreachable = match wish.record {
        Some(_) => RefusalAnswer::new(
            ErrorKind::HomeUnreachable,
            "this attempt was not run; the outcome of earlier ones with the key is unknown",
        ),
        None => RefusalAnswer::new(ErrorKind::DomainUnowned, ""),
    };
    loop {
        let mut changes = shared.owner.subscribe();
        let Some(address) = shared.dispatcher_address(domain) else {
            return DomainAnswer::Refused(unreachable);
        };
        let now = shared.now();
        let remaining = wish.deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            return DomainAnswer::Refused(RefusalAnswer::new(
                ErrorKind::DeadlinePassed,
                "",
            ));
        }
        let ask = GrantRequest {
            queue: wish.queue.clone(),
            team: wish.team.clone(),
            remaining_ms: remaining.as_millis() as u64,
            excluded: wish.excluded.clone(),
            record: wish.record.as_ref().map(|(record, _)| *record),
            may_spill,
        };
        let call = shared.link.call(address, PeerMessage::GrantRequest(ask), remaining);
        let answer = tokio::select! {
            answer = call => Some(answer),
            () = unreached(shared, domain) => None,
            _ = changes.changed(), if own => None,
        };
        match answer {
            Some(Ok(PeerMessage::GrantResponse(answer))) => {
                return read_answer(shared, wish, domain, answer);
            }
            Some(Err(_)) => {
                let refusal = RefusalAnswer::new(ErrorKind::DeadlinePassed, "");
                return DomainAnswer::Refused(refusal);
            }
            // The dispatcher has changed or gone silent; a late slot of it is given back unused.
            Some(Ok(_)) | None => {}
        }
    }
}

/// Waits until the dispatcher of a domain has not been heard of for a while.
async fn unreached(shared: &NodeShared, domain: &Name) {
    while shared.dispatcher_address(domain).is_some() {
        tokio::time::sleep(shared.settings.peer_heartbeat).await;
    }
}

/// Reads the answer of a dispatcher.
fn read_answer(
    shared: &Arc<NodeShared>,
    wish: &SlotWish,
    domain: &Name,
    answer: GrantResponse,
) -> DomainAnswer {
    match answer {
        GrantResponse::Granted { offer } => {
            shared.held.insert(HeldSlot {
                offer: offer.clone(),
                domain: domain.clone(),
                queue: wish.queue.clone(),
                team: wish.team.clone(),
                closes: wish.deadline,
            });
            DomainAnswer::Slot(Box::new(SlotEnd::Granted(SlotLease {
                shared: shared.clone(),
                offer,
                domain: domain.clone(),
                record: wish.record.as_ref().map(|(record, _)| *record),
                released: false,
            })))
        }
        GrantResponse::Known { state } => {
            DomainAnswer::Slot(Box::new(SlotEnd::Known(state)))
        }
        GrantResponse::Elsewhere { domain } => DomainAnswer::Elsewhere(domain),
        GrantResponse::Refused { kind, retry_after_ms } => {
            DomainAnswer::Refused(RefusalAnswer::told(kind, retry_after_ms, ""))
        }
    }
}

impl SlotLease {
    /// Gives the slot back.
    pub(crate) fn release(mut self, outcome: ReleaseOutcome) {
        self.give_back(outcome);
    }

    /// Sends the release; one that settles a record is repeated until it is confirmed.
    fn give_back(&mut self, outcome: ReleaseOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        self.shared.held.remove(&self.domain, self.offer.ticket);
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

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.give_back(ReleaseOutcome::Unknown);
    }
}

/// Repeats a release until the dispatcher of the domain confirms it.
async fn confirm_release(shared: Arc<NodeShared>, domain: Name, release: SlotRelease) {
    let started = shared.now();
    while shared.now() - started < RELEASE_PATIENCE {
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
