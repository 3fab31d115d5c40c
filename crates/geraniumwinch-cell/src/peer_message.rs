//! Messages between the processes of a cell.

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

/// A job that a caller hands in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct SubmitMessage {
    /// The identifier that the caller chose.
    pub(crate) id: Name,
    /// The rules of its queue.
    pub(crate) rules: QueueRules,
    /// The client account.
    pub(crate) account: Name,
    /// What is to be run.
    pub(crate) request: JobRequest,
}

/// What a process says of itself to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberInfo {
    /// Its name.
    pub(crate) name: Name,
    /// Its address for peers.
    pub(crate) address: SocketAddr,
    /// Its failure domain.
    pub(crate) domain: Name,
    /// The number of its configuration.
    pub(crate) version: u64,
    /// The size of its VM.
    pub(crate) size: VmSize,
    /// Whether it is stopping.
    pub(crate) stopping: bool,
}

/// A question to the permission service that a peer asks for the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermissionMessage {
    /// The job.
    pub(crate) job: Name,
    /// The occurrence of the job.
    pub(crate) occurrence: u32,
    /// The step.
    pub(crate) step: u32,
    /// The workers.
    pub(crate) workers: Vec<Name>,
    /// The time that the call will take.
    pub(crate) call_time: Duration,
}

/// A request to a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// A process is alive; only the owner answers.
    Heartbeat(MemberInfo),
    /// Has the peer heard from the owner of an epoch within the last moments?
    OwnerSeen(u64),
    /// Does the store answer the peer?
    ProbeStore,
    /// The owner of an epoch, which the store doesn't answer, has given its ownership up; end its
    /// lease.
    RevokeOwnership(u64, u64),
    /// Pass the configuration on.
    Catalog,
    /// Take a job; only the owner answers.
    Submit(SubmitMessage),
    /// Tell the state of a job; only the owner answers.
    Query(Name),
    /// Cancel a job; only the owner answers.
    Cancel(Name),
    /// Count the jobs of a queue that wait; only the owner answers.
    Waiting(Name),
    /// Ask the permission service.
    Permission(PermissionMessage),
}

/// The answer of a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// The peer doesn't own the cell; nothing was done.
    NotOwner,
    /// The owner's epoch, the number of its configuration and the processes it has heard from.
    Heartbeat(u64, u64, Vec<MemberInfo>),
    /// Whether the owner was heard from.
    OwnerSeen(bool),
    /// Whether the store has answered.
    StoreReachable(bool),
    /// The configuration as it was read, if there is one.
    Catalog(Option<Vec<u8>>),
    /// The request was refused or failed.
    Refused(ErrorKind),
    /// The job is stored.
    Accepted,
    /// The state of a job and whether any of its tasks was started; none if it is unknown.
    State(Option<(JobPhase, bool)>),
    /// The number of jobs that wait.
    Waiting(u64),
    /// The allowed workers with their proofs; none if there was no answer.
    Allowed(Option<Vec<(Name, Name)>>),
}
