//! The messages between processes.

use std::net::SocketAddr;

use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_config::SetDelta;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::GrantOffer;
use geraniumwinch_core::GrantTicket;
use geraniumwinch_core::JobId;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::JobView;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::StoredResponse;
use geraniumwinch_core::TaskId;
use serde::Deserialize;
use serde::Serialize;

use crate::DomainDigest;
use crate::JournalEntry;
use crate::OwnerView;
use crate::PeerName;
use crate::TeamRow;

/// A slot that an entry process holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The slot.
    pub offer: GrantOffer,
    /// The queue.
    pub queue: Name,
    /// The team, or none on an open queue.
    pub team: Option<Name>,
    /// The time in milliseconds until the entry closes its connection to the endpoint.
    pub remaining_ms: u64,
}

/// A heartbeat of a process to the dispatcher of its domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The epoch of the owner that it knows.
    pub epoch: u64,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// The slots it holds in this domain, sent only in the first heartbeat to a new owner.
    pub held: Option<Vec<HeldGrant>>,
    /// Whether the process is about to stop.
    pub stopping: bool,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The owner's epoch.
    pub epoch: u64,
    /// The revision of the configuration in force at the owner.
    pub revision: u64,
    /// The age in milliseconds of the knowledge that this revision is the newest one.
    pub fresh_age_ms: Option<u64>,
    /// The digests of other domains that are new since the last answer, with their ages in
    /// milliseconds.
    pub domains: Vec<(DomainDigest, u64)>,
    /// The newest sequence number of the journal that the store has.
    pub committed: u64,
    /// Whether the owner wants the slots that the process holds.
    pub needs_held_grants: bool,
}

/// What a process knows of the ownership of its domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// The owner that it follows, itself included.
    pub owner: Option<OwnerView>,
}

/// The idempotency record that belongs to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordKey {
    /// The digest of the key.
    pub digest: RecordDigest,
    /// The digest of the request.
    pub fingerprint: RecordDigest,
}

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The queue.
    pub queue: Name,
    /// The team, or none on an open queue.
    pub team: Option<Name>,
    /// The time in milliseconds for which a slot is of use.
    pub remaining_ms: u64,
    /// Endpoints that have already failed for this request.
    pub excluded: Vec<Name>,
    /// The idempotency record, if the request has a key and its home is here.
    pub record: Option<RecordKey>,
    /// Whether the dispatcher may name another domain with free slots.
    pub may_spill: bool,
}

/// The answer to a request for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// The slot.
    Granted {
        /// The slot.
        offer: GrantOffer,
    },
    /// Another domain has free slots.
    Elsewhere {
        /// The domain.
        domain: Name,
    },
    /// No slot.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The idempotency key is known.
    Known {
        /// What is known of the earlier request.
        state: RecordState,
    },
}

/// What became of a granted slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// Nothing was sent to the endpoint.
    NotSent,
    /// The endpoint has answered, and the answer is kept if it was small.
    Answered(Option<StoredResponse>),
    /// The endpoint may have executed the request.
    Unknown,
}

/// A slot that is given back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// The slot.
    pub ticket: GrantTicket,
    /// The idempotency record, if there is one.
    pub record: Option<RecordKey>,
    /// What became of it.
    pub outcome: ReleaseOutcome,
}

/// The answer to a call about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobResponse {
    /// The job was accepted and will not be lost.
    Accepted(JobId),
    /// What is known of the job.
    View(JobView),
    /// No.
    Refused {
        /// Why.
        kind: ErrorKind,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The particulars.
        detail: String,
    },
}

/// Journal entries that the store does not have yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MirrorBatch {
    /// The owner's epoch.
    pub epoch: u64,
    /// The sequence number of the batch.
    pub sequence: u64,
    /// The entries.
    pub entries: Vec<JournalEntry>,
}

/// The answer to a request for the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The changes of each revision after a base.
    Deltas {
        /// The revision that the first change applies to.
        base: u64,
        /// The changes, one for each revision.
        deltas: Vec<SetDelta>,
    },
    /// The whole set.
    Whole(ConfigurationSet),
}

/// A process of a domain as its dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The process's name.
    pub name: Name,
    /// Its peer address.
    pub address: SocketAddr,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// The time since its last heartbeat in milliseconds.
    pub silent_ms: u64,
}

/// The state of a failure domain for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The digest.
    pub digest: DomainDigest,
    /// The teams.
    pub teams: Vec<TeamRow>,
    /// The processes.
    pub members: Vec<MemberRow>,
    /// Workers that take work.
    pub workers: u32,
    /// Workers that are listed but take no work.
    pub workers_out: u32,
    /// Names of quarantined workers.
    pub quarantined: Vec<Name>,
    /// Jobs that are known.
    pub jobs: u32,
    /// Tasks that wait.
    pub tasks_waiting: u32,
    /// Tasks that are placed on workers.
    pub tasks_placed: u32,
    /// Slots that are granted.
    pub grants: u32,
    /// Idempotency records.
    pub records: u32,
}

/// A slot whose grant passes from one dispatcher to the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverGrant {
    /// The process that holds it.
    pub entry: PeerName,
    /// The slot.
    pub held: HeldGrant,
    /// The idempotency record of the request, if it has one.
    pub record: Option<RecordKey>,
}

/// What a new owner takes over from the old one in a planned handover.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The domain.
    pub domain: Name,
    /// The epoch that ends.
    pub epoch: u64,
    /// The store's revision of the ownership record.
    pub record_revision: i64,
    /// Where each task is placed.
    pub placements: Vec<(TaskId, Name)>,
    /// The slots that entries hold.
    pub grants: Vec<HandoverGrant>,
}

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    HeartbeatRequest(HeartbeatRequest),
    /// The answer to a heartbeat.
    HeartbeatResponse(HeartbeatResponse),
    /// The receiver does not own the domain.
    NotOwner(OwnerReport),
    /// Asks who owns the receiver's domain.
    OwnerRequest,
    /// Answers an owner request.
    OwnerResponse(OwnerReport),
    /// Tells the processes of a domain of its new owner.
    Announce(OwnerView),
    /// Asks for a slot.
    GrantRequest(GrantRequest),
    /// Answers a request for a slot.
    GrantResponse(GrantResponse),
    /// Gives a slot back.
    SlotRelease(SlotRelease),
    /// Submits a job.
    JobSubmit {
        /// The description.
        spec: JobSpec,
        /// The team.
        team: Name,
        /// The queue.
        queue: Name,
        /// The digest of the idempotency key.
        key: Option<RecordDigest>,
    },
    /// Asks for the state of a job.
    JobQuery {
        /// The identifier.
        job: JobId,
        /// The team that asks, or none for an operator.
        team: Option<Name>,
    },
    /// Cancels a job.
    JobCancel {
        /// The identifier.
        job: JobId,
        /// The team that asks, or none for an operator.
        team: Option<Name>,
    },
    /// Answers a call about a job.
    JobResponse(JobResponse),
    /// Asks for the configuration.
    ConfigRequest {
        /// The revision that the asker has.
        revision: u64,
    },
    /// Answers a request for the configuration.
    ConfigResponse {
        /// The revision that the answer leads to.
        revision: u64,
        /// The digest of the set at that revision.
        digest: String,
        /// The changes or the set.
        update: ConfigUpdate,
    },
    /// Asks another process of the domain to keep entries that the store does not have.
    MirrorAppend(MirrorBatch),
    /// Asks for the entries that a process keeps.
    MirrorRequest,
    /// Answers a request for kept entries.
    MirrorResponse(Vec<MirrorBatch>),
    /// Exchanges digests between owners.
    Digest(Box<DomainDigest>),
    /// Asks for the state of the receiver's domain.
    StatusRequest,
    /// Answers a request for the state of a domain.
    StatusResponse(Box<StatusReport>),
    /// Hands the ownership of the domain over.
    Handover(Box<HandoverState>),
    /// Confirms a call that needs no other answer.
    Done,
    /// Refuses a call that needs no other answer.
    Refused(ErrorKind),
}
