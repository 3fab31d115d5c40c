//! Messages between the processes of a cell.
//!
//! Messages are encoded with `postcard`, so the order of fields and variants is part of the format.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRequest;
use geraniumwinch_fleet::QueueRules;
use serde::Deserialize;
use serde::Serialize;

use crate::VmSize;

/// A job submitted by a client.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct SubmitMessage {
    /// The identifier chosen by the client.
    pub(crate) id: Name,
    /// The rules of the job's queue.
    pub(crate) rules: QueueRules,
    /// The client account.
    pub(crate) account: Name,
    /// The job's description.
    pub(crate) request: JobRequest,
}

/// A cancellation by a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CancelMessage {
    /// The identifier of the job.
    pub(crate) id: Name,
    /// The client account.
    pub(crate) account: Name,
}

/// The information that a process reports to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberInfo {
    /// The name of the process.
    pub(crate) name: Name,
    /// The address for peers.
    pub(crate) address: SocketAddr,
    /// The failure domain of the process.
    pub(crate) domain: Name,
    /// The version of its configuration.
    pub(crate) version: u64,
    /// The size of its VM.
    pub(crate) size: VmSize,
    /// The memory that its VM has for jobs in bytes.
    pub(crate) job_bytes: u64,
    /// Whether the process is stopping.
    pub(crate) stopping: bool,
}

/// A call to the permission service that a peer makes on behalf of the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermissionMessage {
    /// The job.
    pub(crate) job: Name,
    /// The occurrence of the job.
    pub(crate) occurrence: u32,
    /// The step.
    pub(crate) step: u32,
    /// The workers to request permission for.
    pub(crate) workers: Vec<Name>,
    /// The expected duration of the call.
    pub(crate) call_time: Duration,
}

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Reports that a process is alive; handled only by the owner.
    Heartbeat(MemberInfo),
    /// Queries whether the owner of this epoch responds to the peer.
    OwnerSeen(u64),
    /// Queries whether the store responds to the peer.
    ProbeStore,
    /// Requests that the lease (second value) of the owner of an epoch (first value) be revoked. The
    /// owner has given up the ownership because it can't reach the store or because a process on a
    /// much larger VM can take over.
    RevokeOwnership(u64, u64),
    /// Requests the configuration.
    Catalog,
    /// Submits a job; handled only by the owner.
    Submit(SubmitMessage),
    /// Queries the state of a job; handled only by the owner.
    Query(Name),
    /// Cancels a job; handled only by the owner.
    Cancel(CancelMessage),
    /// Requests the number of a queue's waiting jobs; handled only by the owner.
    Waiting(Name),
    /// Requests a call to the permission service.
    Permission(PermissionMessage),
}

/// The reply of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// The peer doesn't own the cell and has done nothing.
    NotOwner,
    /// The owner's epoch, the version of its configuration and the processes known to it.
    Heartbeat(u64, u64, Vec<MemberInfo>),
    /// Whether the owner responds to the peer.
    OwnerSeen(bool),
    /// Whether the store has responded.
    StoreReachable(bool),
    /// The encoded configuration, if there is one.
    Catalog(Option<Vec<u8>>),
    /// The request was refused or failed.
    Refused(ErrorKind),
    /// The job is stored.
    Accepted,
    /// The state of a job and whether any of its tasks was started; `None` if the job is unknown.
    State(Option<(JobPhase, bool)>),
    /// The number of waiting jobs.
    Waiting(u64),
    /// The permitted workers with their tickets; `None` if the call failed.
    Allowed(Option<Vec<(Name, Name)>>),
}
