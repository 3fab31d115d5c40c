//! A request for a slot, and what becomes of it.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ErrorKind;
use crate::GrantHolder;
use crate::Name;
use crate::TeamKey;

/// A request that asks for a slot of an endpoint.
#[derive(Debug)]
pub struct SlotRequest<C> {
    /// An identifier that is never reused.
    pub id: u128,
    /// The queue.
    pub queue: Name,
    /// The team whose key came with the request, or none on an open queue.
    pub team: Option<TeamKey>,
    /// Where the process that asks stands towards the dispatcher.
    pub holder: GrantHolder,
    /// The time after which a slot is of no use.
    pub deadline: Instant,
    /// Endpoints that have already failed for this request.
    pub excluded: Vec<Name>,
    /// Whom to answer.
    pub context: C,
}

/// The number of a grant: the owner's epoch in the upper half, a serial number in the lower.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct GrantTicket(pub u64);

/// A granted slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantOffer {
    /// The number under which the slot is given back.
    pub ticket: GrantTicket,
    /// The endpoint's name.
    pub endpoint: Name,
    /// The endpoint's HTTP address as `IP:PORT`.
    pub address: Name,
}

/// A grant of a former owner that an entry still holds.
#[derive(Debug, Clone)]
pub struct AdoptedGrant {
    /// The slot.
    pub offer: GrantOffer,
    /// The queue.
    pub queue: Name,
    /// The team, or none on an open queue.
    pub team: Option<TeamKey>,
    /// Where the process that holds it stands towards the dispatcher.
    pub holder: GrantHolder,
    /// When the entry closes its connection to the endpoint at the latest.
    pub closes: Instant,
}

/// The end of a request's wait.
#[derive(Debug)]
pub struct SlotOutcome<C> {
    /// The context of the request.
    pub context: C,
    /// The slot, or why there is none and when to come back.
    pub result: std::result::Result<GrantOffer, (ErrorKind, Option<Duration>)>,
}

impl<C> SlotRequest<C> {
    /// Ends the wait with a refusal and the kind's usual time to come back.
    pub fn refuse(self, kind: ErrorKind) -> SlotOutcome<C> {
        SlotOutcome {
            context: self.context,
            result: Err((kind, kind.response().retry_after)),
        }
    }

    /// Ends the wait with a refusal and an estimate of when to come back.
    pub fn refuse_after(self, kind: ErrorKind, retry_after: Duration) -> SlotOutcome<C> {
        SlotOutcome { context: self.context, result: Err((kind, Some(retry_after))) }
    }
}
