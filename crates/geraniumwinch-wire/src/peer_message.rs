//! Messages between processes.

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
use crate::EvacuationReport;
use crate::JournalEntry;
use crate::OwnerView;
use crate::PeerName;
use crate::TeamRow;

/// A granted slot that an entry process holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The grant.
    pub offer: GrantOffer,
    /// The request's queue.
    pub queue: Name,
    /// The request's team, or `None` on an open queue.
    pub team: Option<Name>,
    /// Time in milliseconds until the entry process closes its connection to the endpoint.
    pub remaining_ms: u64,
}

/// Heartbeat of a process to the dispatcher of its domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// Epoch of the owner that the process knows.
    pub epoch: u64,
    /// Revision of the configuration in force in the process.
    pub revision: u64,
    /// The slots that the process holds in this domain, or `None` once the owner has received them.
    pub held: Option<Vec<HeldGrant>>,
    /// Whether the process is about to stop.
    pub stopping: bool,
}

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The owner's epoch.
    pub epoch: u64,
    /// Revision of the configuration in force at the owner.
    pub revision: u64,
    /// Time in milliseconds since the owner last confirmed that this revision is the newest one.
    pub fresh_age_ms: Option<u64>,
    /// Digests of other domains that are new since the last response, with their ages in
    /// milliseconds.
    pub domains: Vec<(DomainDigest, u64)>,
    /// Highest sequence number of the journal that the store has.
    pub committed: u64,
    /// Whether the next heartbeat must list the slots that the process holds.
    pub needs_held_grants: bool,
}

/// What a process knows about the ownership of its domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OwnerReport {
    /// The owner that the process follows, which may be itself; `None` if it knows none.
    pub owner: Option<OwnerView>,
}

/// Identifies the idempotency record of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordKey {
    /// Digest of the idempotency key.
    pub digest: RecordDigest,
    /// Digest of the request.
    pub fingerprint: RecordDigest,
}

/// A request for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The request's queue.
    pub queue: Name,
    /// The request's team, or `None` on an open queue.
    pub team: Option<Name>,
    /// Time in milliseconds until the request's deadline, after which a slot is of no use.
    pub remaining_ms: u64,
    /// Endpoints that already failed for this request and must not be used again.
    pub excluded: Vec<Name>,
    /// The idempotency record, if the request has an idempotency key whose home is this domain.
    pub record: Option<RecordKey>,
    /// Whether the dispatcher may refer the request to another domain with free slots.
    pub may_spill: bool,
}

/// Response to a request for a slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GrantResponse {
    /// A slot is granted.
    Granted {
        /// The grant.
        offer: GrantOffer,
    },
    /// Another domain has free slots.
    Elsewhere {
        /// The domain.
        domain: Name,
    },
    /// No slot is granted.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// Time in milliseconds after which to retry.
        retry_after_ms: Option<u64>,
    },
    /// The idempotency key belongs to an earlier request.
    Known {
        /// The state of the earlier request.
        state: RecordState,
    },
}

/// The outcome of using a granted slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReleaseOutcome {
    /// No request was sent to the endpoint.
    NotSent,
    /// The endpoint responded; the response is included if it is small.
    Responded(Option<StoredResponse>),
    /// The endpoint may have executed the request, but its response is unknown.
    Unknown,
}

/// The release of a granted slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRelease {
    /// The ticket of the grant.
    pub ticket: GrantTicket,
    /// The idempotency record of the request, if it has one.
    pub record: Option<RecordKey>,
    /// The outcome of using the slot.
    pub outcome: ReleaseOutcome,
}

/// Response to a request about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobResponse {
    /// The job was accepted and will not be lost.
    Accepted(JobId),
    /// The state of the job.
    View(JobView),
    /// The request was refused.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// Time in milliseconds after which to retry.
        retry_after_ms: Option<u64>,
        /// Details for the client.
        detail: String,
    },
}

/// A batch of journal entries that are not in the store yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MirrorBatch {
    /// The owner's epoch.
    pub epoch: u64,
    /// Sequence number of the batch.
    pub sequence: u64,
    /// The journal entries.
    pub entries: Vec<JournalEntry>,
}

impl MirrorBatch {
    /// Returns the size of the batch in a message, in bytes.
    pub fn encoded_bytes(&self) -> usize {
        postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len())
    }
}

/// The changes that lead to a revision of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The changes of each revision after a base.
    Deltas {
        /// Revision that the first change applies to.
        base: u64,
        /// The changes, one per revision.
        deltas: Vec<SetDelta>,
    },
    /// The whole configuration set.
    Whole(ConfigurationSet),
}

/// A process of a domain as its dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The process's name.
    pub name: Name,
    /// The process's peer address.
    pub address: SocketAddr,
    /// Revision of the configuration in force in the process.
    pub revision: u64,
    /// Time in milliseconds since the last heartbeat of the process.
    pub silent_ms: u64,
}

/// State of a failure domain, as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The domain's digest.
    pub digest: DomainDigest,
    /// Resource use of the teams.
    pub teams: Vec<TeamRow>,
    /// The domain's processes.
    pub members: Vec<MemberRow>,
    /// Number of workers that accept tasks.
    pub workers: u32,
    /// Number of workers that are listed but accept no tasks.
    pub workers_out: u32,
    /// Names of the quarantined workers.
    pub quarantined: Vec<Name>,
    /// Number of known jobs.
    pub jobs: u32,
    /// Number of waiting tasks.
    pub tasks_waiting: u32,
    /// Number of tasks that are placed on workers.
    pub tasks_placed: u32,
    /// Number of granted slots.
    pub grants: u32,
    /// Number of idempotency records.
    pub records: u32,
}

/// A grant that a dispatcher hands over to the next one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverGrant {
    /// The process that holds the slot.
    pub entry: PeerName,
    /// The granted slot.
    pub held: HeldGrant,
    /// The idempotency record of the request, if it has one.
    pub record: Option<RecordKey>,
}

/// State that a planned handover transfers from the old owner to the new one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The domain.
    pub domain: Name,
    /// Epoch of the old owner.
    pub epoch: u64,
    /// Revision of the ownership record in the store.
    pub record_revision: i64,
    /// The worker that each task is placed on; the name is empty while it is not known.
    pub placements: Vec<(TaskId, Name)>,
    /// The grants that entry processes hold.
    pub grants: Vec<HandoverGrant>,
}

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sends a heartbeat.
    HeartbeatRequest(HeartbeatRequest),
    /// Responds to a heartbeat.
    HeartbeatResponse(HeartbeatResponse),
    /// Refuses a request because the receiver does not own the domain.
    NotOwner(OwnerReport),
    /// Requests the owner of the receiver's domain.
    OwnerRequest,
    /// Responds with the owner of the receiver's domain.
    OwnerResponse(OwnerReport),
    /// Announces a new owner to the processes of its domain.
    Announce(OwnerView),
    /// Requests a slot.
    GrantRequest(GrantRequest),
    /// Responds to a request for a slot.
    GrantResponse(GrantResponse),
    /// Releases a slot.
    SlotRelease(SlotRelease),
    /// Submits a job.
    JobSubmit {
        /// The job's specification.
        spec: JobSpec,
        /// The team that the job runs for.
        team: Name,
        /// The queue that the job is submitted to.
        queue: Name,
        /// Digest of the idempotency key, if there is one.
        key: Option<RecordDigest>,
    },
    /// Requests the state of a job.
    JobQuery {
        /// The job's identifier.
        job: JobId,
        /// The requesting team, or `None` for an operator.
        team: Option<Name>,
    },
    /// Cancels a job.
    JobCancel {
        /// The job's identifier.
        job: JobId,
        /// The requesting team, or `None` for an operator.
        team: Option<Name>,
    },
    /// Responds to a request about a job.
    JobResponse(JobResponse),
    /// Requests the configuration.
    ConfigRequest {
        /// Revision that the requesting process has.
        revision: u64,
    },
    /// Responds to a request for the configuration.
    ConfigResponse {
        /// Revision that the update leads to.
        revision: u64,
        /// Digest of the configuration set at that revision.
        digest: String,
        /// The changes, or the whole set.
        update: ConfigUpdate,
    },
    /// Sends journal entries that are not in the store yet to another process of the domain, which
    /// mirrors them.
    MirrorAppend(MirrorBatch),
    /// Requests the journal entries that a process mirrors, in order.
    MirrorRequest {
        /// The epoch and the sequence number of the last batch that is known.
        after: Option<(u64, u64)>,
    },
    /// Responds with the next mirrored batches, as many as fit; there are none at the end.
    MirrorResponse(Vec<MirrorBatch>),
    /// Exchanges digests between owners.
    Digest(Box<DomainDigest>),
    /// Requests the state of the receiver's domain.
    StatusRequest,
    /// Responds with the state of the domain.
    StatusResponse(Box<StatusReport>),
    /// Hands over the ownership of the domain.
    Handover(Box<HandoverState>),
    /// Confirms a request that has no response type of its own.
    Done,
    /// Refuses a request that has no response type of its own.
    Refused(ErrorKind),
    /// Requests the evacuations in force in the receiver's domain.
    EvacuationRequest,
    /// Responds with the evacuations in force in the domain.
    EvacuationResponse(Box<EvacuationReport>),
}
