//! Requests for slots, and their outcomes.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ErrorKind;
use crate::GrantHolder;
use crate::Name;
use crate::TeamKey;

/// A request for a slot of an endpoint.
#[derive(Debug)]
pub struct SlotRequest<C> {
    /// The identifier of the request, which is never reused.
    pub id: u128,
    /// The queue whose policy bounds the wait, and whose service the endpoint has to run.
    pub queue: Name,
    /// The team whose key was sent with the request, or `None` for a queue that requires no key.
    pub team: Option<TeamKey>,
    /// The relation of the requesting process to the dispatcher.
    pub holder: GrantHolder,
    /// The time after which a slot is of no use to the request.
    pub deadline: Instant,
    /// The endpoints on which earlier attempts of the request have failed.
    pub excluded: Vec<Name>,
    /// The context that is returned with the outcome.
    pub context: C,
}

/// The identifier of a grant: the owner's epoch in the upper 32 bits, and a serial number in the
/// lower 32 bits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct GrantTicket(pub u64);

/// A granted slot, as described to the entry process that uses it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantOffer {
    /// The identifier with which the slot is released.
    pub ticket: GrantTicket,
    /// The name of the endpoint.
    pub endpoint: Name,
    /// The HTTP address of the endpoint as `IP:PORT`.
    pub address: Name,
}

/// A grant of a former owner that an entry process still holds.
#[derive(Debug, Clone)]
pub struct AdoptedGrant {
    /// The granted slot.
    pub offer: GrantOffer,
    /// The queue of the request that holds the slot.
    pub queue: Name,
    /// The team, or `None` for a queue that requires no key.
    pub team: Option<TeamKey>,
    /// The relation of the process that holds the slot to the dispatcher.
    pub holder: GrantHolder,
    /// The latest time at which the entry process closes its connection to the endpoint.
    pub closes: Instant,
}

/// The outcome of a request for a slot.
#[derive(Debug)]
pub struct SlotOutcome<C> {
    /// The context of the request.
    pub context: C,
    /// The granted slot, or the reason for the refusal and the delay after which to retry.
    pub result: std::result::Result<GrantOffer, (ErrorKind, Option<Duration>)>,
}

impl<C> SlotRequest<C> {
    /// Refuses the request with the default retry delay of the error kind.
    pub fn refuse(self, kind: ErrorKind) -> SlotOutcome<C> {
        SlotOutcome {
            context: self.context,
            result: Err((kind, kind.response().retry_after)),
        }
    }

    /// Refuses the request with an estimated retry delay.
    pub fn refuse_after(self, kind: ErrorKind, retry_after: Duration) -> SlotOutcome<C> {
        SlotOutcome { context: self.context, result: Err((kind, Some(retry_after))) }
    }
}
