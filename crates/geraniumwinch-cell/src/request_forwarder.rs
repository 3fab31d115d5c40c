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
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_message::SubmitMessage;
use crate::peer_service::PeerClient;

/// How long a request that was not sent to any owner waits for one.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(600);
/// The longest time in which an owner has to answer.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The wait before an owner that was not reached is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// How much sooner than the caller's deadline an answer is due, at most.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// The part of the caller's client_timeout that the margin takes of a short one.
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

    /// Has a job stored; `client_timeout` is the time that the caller waits.
    ///
    /// # Errors
    ///
    /// The kind tells whether the job was certainly not stored.
    pub async fn submit(
        &self,
        submission: JobSubmission,
        client_timeout: Duration,
    ) -> ForwardResult<()> {
        let JobSubmission { id, rules, account, request } = submission;
        let began = self.ports.clock.now();
        let queue = rules.queue.clone();
        let message = SubmitMessage { id: id.clone(), rules, account, request };
        let reply = self.forward(PeerRequest::Submit(message), client_timeout).await;
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
        client_timeout: Duration,
    ) -> ForwardResult<Option<JobStatus>> {
        match self.forward(PeerRequest::Query(id), client_timeout).await {
            Ok(PeerReply::State(state)) => Ok(state.map(job_status)),
            Ok(PeerReply::Refused(kind)) | Err(kind) => Err(read_error(kind)),
            Ok(_) => Err(ErrorKind::DomainUnowned),
        }
    }

    /// Cancels a job and returns whether it is known.
    pub async fn cancel(
        &self,
        id: Name,
        client_timeout: Duration,
    ) -> ForwardResult<bool> {
        let reply = self.forward(PeerRequest::Cancel(id.clone()), client_timeout).await;
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
    pub async fn waiting(
        &self,
        queue: Name,
        client_timeout: Duration,
    ) -> ForwardResult<u64> {
        match self.forward(PeerRequest::Waiting(queue), client_timeout).await {
            Ok(PeerReply::Waiting(count)) => Ok(count),
            Ok(PeerReply::Refused(kind)) | Err(kind) => Err(read_error(kind)),
            Ok(_) => Err(ErrorKind::DomainUnowned),
        }
    }

    /// Carries a request to the owner, also to a later one, until it is answered.
    ///
    /// All requests are idempotent. One that no owner can have got is given up soon; one that an
    /// owner may have got is repeated until the caller's client_timeout ends.
    async fn forward(
        &self,
        request: PeerRequest,
        client_timeout: Duration,
    ) -> ForwardResult<PeerReply> {
        let began = self.ports.clock.now();
        let end =
            began + client_timeout - DEADLINE_MARGIN.min(client_timeout / MARGIN_DIVISOR);
        let mut maybe_received = false;
        loop {
            let now = self.ports.clock.now();
            let limit =
                if maybe_received { end } else { end.min(began + MAX_OWNER_WAIT) };
            if now >= limit {
                let unknown = ErrorKind::StoreUnknown;
                return Err(if maybe_received {
                    unknown
                } else {
                    ErrorKind::DomainUnowned
                });
            }
            let Some(owner) = self.owner.watch.current() else {
                self.owner.watch.await_change(RETRY_DELAY.min(limit - now)).await;
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
            self.owner.watch.await_change(RETRY_DELAY).await;
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
        let Some(dispatcher) = self.owner.dispatcher() else {
            return Ok(PeerReply::NotOwner);
        };
        let answer =
            tokio::time::timeout(timeout, dispatcher.handle(request.clone())).await;
        answer.map_err(|_| CallError::NoResponse {
            message: "the local dispatcher timed out".to_owned(),
        })
    }
}

/// Returns the state of a job as callers see it.
fn job_status((phase, started): (JobPhase, bool)) -> JobStatus {
    match phase {
        JobPhase::Live if started => JobStatus::Running,
        JobPhase::Live => JobStatus::Pending,
        phase => JobStatus::Ended(phase),
    }
}

/// Returns the reason for a failed read: a read that got no answer has changed nothing.
fn read_error(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::StoreUnknown => ErrorKind::DomainUnowned,
        kind => kind,
    }
}
