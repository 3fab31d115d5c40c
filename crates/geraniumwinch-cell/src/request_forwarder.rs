//! Carries callers' requests to the owner of the cell.

use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRequest;
use geraniumwinch_fleet::QueueRules;

use crate::CallError;
use crate::CellPorts;
use crate::CellSettings;
use crate::cell_metrics;
use crate::cell_owner::CellOwner;
use crate::owner_record::OwnerRecord;
use crate::peer_message::JobOrder;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_service::PeerClient;

/// How long a request that was not sent to any owner waits for one.
const OWNER_WAIT: Duration = Duration::from_millis(600);
/// The longest time in which an owner has to answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The wait before an owner that was not reached is tried again.
const RETRY: Duration = Duration::from_millis(40);
/// How much sooner than the caller's deadline an answer is due, at most.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// The part of the caller's patience that the margin takes of a short one.
const MARGIN_DIVISOR: u32 = 6;

/// The job that a caller hands in.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSubmission {
    /// The identifier that the caller chose.
    pub id: Name,
    /// The rules of its queue.
    pub rules: QueueRules,
    /// The client account.
    pub account: Name,
    /// What is to be run.
    pub request: JobRequest,
}

/// The state of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// No task was started yet.
    Pending,
    /// A task was started.
    Running,
    /// The job has ended.
    Ended(JobPhase),
}

/// The result of a caller's request.
pub type ForwardResult<T> = Result<T, ErrorKind>;

/// Carries callers' requests to the owner of the cell.
pub struct RequestForwarder {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    owner: Rc<CellOwner>,
    peers: PeerClient,
}

impl RequestForwarder {
    /// Creates a desk.
    pub(crate) fn new(
        ports: CellPorts,
        settings: Rc<CellSettings>,
        owner: Rc<CellOwner>,
        peers: PeerClient,
    ) -> Self {
        RequestForwarder { ports, settings, owner, peers }
    }

    /// Has a job stored; `patience` is the time that the caller waits.
    ///
    /// # Errors
    ///
    /// The kind tells whether the job was certainly not stored.
    pub async fn submit(
        &self,
        caller: JobSubmission,
        patience: Duration,
    ) -> ForwardResult<()> {
        let JobSubmission { id, rules, account, request } = caller;
        let began = self.ports.clock.now();
        let queue = rules.queue.clone();
        let order = JobOrder { id: id.clone(), rules, account, request };
        let reply = self.carry(PeerRequest::Submit(order), patience).await;
        let result = match reply {
            Ok(PeerReply::Accepted) => Ok(()),
            Ok(PeerReply::Refused(kind)) | Err(kind) => Err(kind),
            Ok(_) => Err(ErrorKind::StoreUnknown),
        };
        let took = self.ports.clock.now().saturating_sub(began);
        cell_metrics::record_accept(took);
        let outcome =
            result.as_ref().map_or_else(ToString::to_string, |()| "accepted".into());
        log_event!(
            Info,
            "submit",
            job = id,
            queue = queue,
            outcome = outcome,
            ms = took.as_millis()
        );
        result.inspect_err(|&kind| cell_metrics::count_refusal(kind))
    }

    /// Returns the state of a job, or nothing if there is no such job.
    pub async fn query(
        &self,
        id: Name,
        patience: Duration,
    ) -> ForwardResult<Option<JobStatus>> {
        match self.carry(PeerRequest::Query(id), patience).await {
            Ok(PeerReply::State(state)) => Ok(state.map(view)),
            Ok(PeerReply::Refused(kind)) | Err(kind) => Err(not_changing(kind)),
            Ok(_) => Err(ErrorKind::DomainUnowned),
        }
    }

    /// Cancels a job and returns whether it is known.
    pub async fn cancel(&self, id: Name, patience: Duration) -> ForwardResult<bool> {
        let reply = self.carry(PeerRequest::Cancel(id.clone()), patience).await;
        let result = match reply {
            Ok(PeerReply::State(state)) => Ok(state.is_some()),
            Ok(PeerReply::Refused(kind)) | Err(kind) => Err(kind),
            Ok(_) => Err(ErrorKind::StoreUnknown),
        };
        let outcome = match &result {
            Ok(true) => "cancelled".to_owned(),
            Ok(false) => "unknown-job".to_owned(),
            Err(kind) => kind.to_string(),
        };
        log_event!(Info, "cancel", job = id, outcome = outcome);
        result
    }

    /// Returns the number of a queue's jobs that wait.
    pub async fn waiting(&self, queue: Name, patience: Duration) -> ForwardResult<u64> {
        match self.carry(PeerRequest::Waiting(queue), patience).await {
            Ok(PeerReply::Waiting(count)) => Ok(count),
            Ok(PeerReply::Refused(kind)) | Err(kind) => Err(not_changing(kind)),
            Ok(_) => Err(ErrorKind::DomainUnowned),
        }
    }

    /// Carries a request to the owner, also to a later one, until it is answered.
    ///
    /// All requests are idempotent. One that no owner can have got is given up soon; one that an
    /// owner may have got is repeated until the caller's patience ends.
    async fn carry(
        &self,
        request: PeerRequest,
        patience: Duration,
    ) -> ForwardResult<PeerReply> {
        let began = self.ports.clock.now();
        let end = began + patience - DEADLINE_MARGIN.min(patience / MARGIN_DIVISOR);
        let mut maybe_received = false;
        loop {
            let now = self.ports.clock.now();
            let limit = if maybe_received { end } else { end.min(began + OWNER_WAIT) };
            if now >= limit {
                let unknown = ErrorKind::StoreUnknown;
                return Err(if maybe_received {
                    unknown
                } else {
                    ErrorKind::DomainUnowned
                });
            }
            let Some(owner) = self.owner.watch.current() else {
                self.owner.watch.await_change(RETRY.min(limit - now)).await;
                continue;
            };
            let timeout = OWNER_TIMEOUT.min(end.saturating_sub(now));
            match self.call(&owner, &request, timeout).await {
                Ok(PeerReply::NotOwner) => {}
                // The refusal holds for this attempt, not for an earlier one on its way.
                Ok(PeerReply::Refused(_)) if maybe_received => {
                    return Err(ErrorKind::StoreUnknown);
                }
                Ok(reply) => return Ok(reply),
                Err(CallError::NotSent { .. }) => {}
                Err(_) => {
                    maybe_received = true;
                    cell_metrics::count_retry("carry");
                }
            }
            self.owner.watch.await_change(RETRY).await;
        }
    }

    /// Calls the owner, which may be this process.
    async fn call(
        &self,
        owner: &OwnerRecord,
        request: &PeerRequest,
        timeout: Duration,
    ) -> crate::Result<PeerReply> {
        if owner.address != self.settings.peer_address {
            return self.peers.call(owner.address, request, timeout).await;
        }
        let Some(active) = self.owner.active() else { return Ok(PeerReply::NotOwner) };
        let answer = tokio::time::timeout(timeout, active.handle(request.clone())).await;
        answer.map_err(|_| CallError::NoResponse { message: "no answer here".to_owned() })
    }
}

/// Returns the state of a job as callers see it.
fn view((phase, started): (JobPhase, bool)) -> JobStatus {
    match phase {
        JobPhase::Live if started => JobStatus::Running,
        JobPhase::Live => JobStatus::Pending,
        phase => JobStatus::Ended(phase),
    }
}

/// Returns the reason for a failed read: a read that got no answer has changed nothing.
fn not_changing(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::StoreUnknown => ErrorKind::DomainUnowned,
        kind => kind,
    }
}
