//! Forwards client requests to the owner of the cell.

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
use crate::ProcessShutdown;
use crate::SuspensionWatch;
use crate::cell_metrics;
use crate::owner_election::OwnerElection;
use crate::owner_record::OwnerRecord;
use crate::peer_message::CancelMessage;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_message::SubmitMessage;
use crate::peer_service::PeerClient;

/// How long a request waits for an owner while it has not been sent to one: a silent owner is
/// replaced within this time.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(1300);
/// The timeout of a call to the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The delay before a request is forwarded again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// The maximum time before the client's deadline at which a response is due.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// The divisor of the client's timeout that yields this margin for short timeouts.
const MARGIN_DIVISOR: u32 = 6;

/// A job submitted by a client.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSubmission {
    /// The identifier chosen by the client.
    pub id: Name,
    /// The rules of the job's queue.
    pub rules: QueueRules,
    /// The client account.
    pub account: Name,
    /// The job's description.
    pub request: JobRequest,
}

/// The state of a job as reported to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// No task has been started yet.
    Pending,
    /// At least one task has been started.
    Running,
    /// The job has ended.
    Ended(JobPhase),
}

/// The result of a client request.
pub type ForwardResult<T> = Result<T, ErrorKind>;

/// Forwards client requests to the owner of the cell.
pub struct RequestForwarder {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    election: Rc<OwnerElection>,
    peers: PeerClient,
    shutdown: Rc<ProcessShutdown>,
    suspension: Rc<SuspensionWatch>,
}

impl RequestForwarder {
    pub(crate) fn new(
        ports: CellPorts,
        settings: Rc<CellSettings>,
        election: Rc<OwnerElection>,
        peers: PeerClient,
        shutdown: Rc<ProcessShutdown>,
        suspension: Rc<SuspensionWatch>,
    ) -> Self {
        RequestForwarder { ports, settings, election, peers, shutdown, suspension }
    }

    /// Submits a job. `client_timeout` is how long the client waits for the response.
    ///
    /// # Errors
    ///
    /// The error kind tells whether the job is certain not to be stored.
    pub async fn submit(
        &self,
        submission: JobSubmission,
        client_timeout: Duration,
    ) -> ForwardResult<()> {
        let JobSubmission { id, rules, account, request } = submission;
        let began = self.ports.clock.now();
        let queue = rules.queue.clone();
        let message = SubmitMessage { id: id.clone(), rules, account, request };
        let reply = if self.suspension.may_have_waited() {
            Err(ErrorKind::RequestOutdated)
        } else {
            self.forward(PeerRequest::Submit(message), client_timeout).await
        };
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

    /// Returns the state of a job, or `None` if the job is unknown.
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

    /// Cancels a job for a client account and returns whether it is known.
    pub async fn cancel(
        &self,
        id: Name,
        account: Name,
        client_timeout: Duration,
    ) -> ForwardResult<bool> {
        let message = CancelMessage { id: id.clone(), account };
        let reply = self.forward(PeerRequest::Cancel(message), client_timeout).await;
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

    /// Returns the number of waiting jobs of a queue.
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

    /// Forwards a request to the owner, or to its successors, until there is a reply.
    ///
    /// All requests are idempotent. A request that no owner can have received is refused early
    /// unless there is a new owner to try; one that an owner may have received is retried until the
    /// client's timeout or until the process, which stops, has to respond.
    async fn forward(
        &self,
        request: PeerRequest,
        client_timeout: Duration,
    ) -> ForwardResult<PeerReply> {
        let began = self.ports.clock.now();
        let due =
            began + client_timeout - DEADLINE_MARGIN.min(client_timeout / MARGIN_DIVISOR);
        let mut maybe_received = false;
        let mut failed_epoch = None;
        loop {
            let now = self.ports.clock.now();
            let end = self.shutdown.response_deadline().map_or(due, |at| at.min(due));
            let owner = self.election.watch.current();
            let untried =
                owner.as_ref().is_some_and(|owner| Some(owner.epoch) != failed_epoch);
            let limit = if maybe_received || untried {
                end
            } else {
                end.min(began + MAX_OWNER_WAIT)
            };
            if now >= limit {
                let unknown = ErrorKind::StoreUnknown;
                return Err(if maybe_received {
                    unknown
                } else {
                    ErrorKind::DomainUnowned
                });
            }
            let Some(owner) = owner else {
                self.election.watch.await_change(RETRY_DELAY.min(limit - now)).await;
                continue;
            };
            let timeout = OWNER_TIMEOUT.min(end.saturating_sub(now));
            match self.call(&owner, &request, timeout).await {
                Ok(PeerReply::NotOwner) => {}
                // The refusal applies to this attempt; an earlier one may still be executed.
                Ok(PeerReply::Refused(_)) if maybe_received => {
                    return Err(ErrorKind::StoreUnknown);
                }
                Ok(reply) => return Ok(reply),
                Err(error) => {
                    log_event!(
                        Info,
                        "forward-failed",
                        owner = owner.name,
                        epoch = owner.epoch,
                        error = error
                    );
                    maybe_received |= !matches!(error, CallError::NotSent { .. });
                    cell_metrics::count_retry("carry");
                }
            }
            failed_epoch = Some(owner.epoch);
            if self.election.watch.current().as_ref() == Some(&owner) {
                self.election.watch.await_change(RETRY_DELAY).await;
            }
        }
    }

    /// Calls the owner, which may be this process, until it has a successor.
    async fn call(
        &self,
        owner: &OwnerRecord,
        request: &PeerRequest,
        timeout: Duration,
    ) -> crate::Result<PeerReply> {
        if owner.address != self.settings.peer_address {
            let succeeded = self.election.watch.await_successor(owner.epoch);
            let call = self.peers.call_until(owner.address, request, timeout, succeeded);
            return call.await;
        }
        let Some(dispatcher) = self.election.dispatcher() else {
            return Ok(PeerReply::NotOwner);
        };
        let reply =
            tokio::time::timeout(timeout, dispatcher.handle(request.clone())).await;
        reply.map_err(|_| CallError::NoResponse {
            message: "the local dispatcher timed out".to_owned(),
        })
    }
}

/// Converts the state of a job to the status reported to clients.
fn job_status((phase, started): (JobPhase, bool)) -> JobStatus {
    match phase {
        JobPhase::Live if started => JobStatus::Running,
        JobPhase::Live => JobStatus::Pending,
        phase => JobStatus::Ended(phase),
    }
}

/// Returns the error of a failed read: a read without a reply has changed nothing.
fn read_error(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::StoreUnknown => ErrorKind::DomainUnowned,
        kind => kind,
    }
}
