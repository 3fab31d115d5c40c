//! Carries a caller's request to an endpoint and its answer back.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use bytes::Bytes;
use bytes::BytesMut;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::RetryBackoff;
use geraniumwinch_core::StoredResponse;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::ReleaseOutcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::endpoint_exchange::BodyPart;
use crate::endpoint_exchange::EndpointRequest;
use crate::endpoint_exchange::EndpointResponse;
use crate::endpoint_exchange::ExchangeError;
use crate::endpoint_exchange::exchange;
use crate::entry_server::EntryState;
use crate::forwarded_response::ForwardedResponse;
use crate::forwarded_response::ResponseHead;
use crate::forwarded_response::TruncatedResponse;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::refusal_response::RefusalResponse;
use crate::slot_client::SlotAcquisition;
use crate::slot_client::SlotGuard;
use crate::slot_client::SlotRequirements;
use crate::slot_client::obtain_slot;

/// The greatest answer in bytes that is kept with an idempotency record.
const MAX_STORED_RESPONSE: usize = 4096;
/// The chunks that wait for a slow caller.
const STREAM_BUFFER: usize = 16;
/// The greatest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// The wait before a repeated attempt: at first at most, and ever at most.
const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(500));

/// A request that is ready to be carried.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    /// The identifier in the logs.
    pub(crate) id: u128,
    /// What goes to the endpoint.
    pub(crate) outgoing: EndpointRequest,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// What slot it needs.
    pub(crate) slot: SlotRequirements,
    /// When it arrived.
    pub(crate) arrived: Instant,
}

/// The end of one attempt.
enum AttemptOutcome {
    Answer(HttpResponse),
    Failed(RefusalResponse, Name),
    Final(RefusalResponse),
}

/// Carries a request, repeating what may be repeated within the deadline and the budget.
pub(crate) async fn forward(
    state: &EntryState,
    mut request: ForwardedRequest,
) -> HttpResponse {
    let shared = &state.shared;
    let account = request.slot.team.clone().unwrap_or_else(|| "open".into());
    let budget = (request.slot.queue.clone(), account);
    state.budgets.earn(&budget);
    let backoff = RetryBackoff::new(BACKOFF.0, BACKOFF.1);
    let mut attempt = 0;
    let mut maybe_ran: Option<RefusalResponse> = None;
    loop {
        let (refusal, endpoint) = match forward_once(state, &request).await {
            AttemptOutcome::Answer(response) => {
                node_metrics::count_request(shared.now() - request.arrived);
                return response;
            }
            // An earlier attempt may have run, which a later one that did not can't take back.
            AttemptOutcome::Final(refusal) => {
                return refuse(&request, maybe_ran.unwrap_or(refusal));
            }
            AttemptOutcome::Failed(refusal, endpoint) => (refusal, endpoint),
        };
        let not_run = refusal.kind.response().run == geraniumwinch_core::RunState::NotRun;
        if !not_run {
            maybe_ran = Some(refusal.clone());
        }
        let told = maybe_ran.clone().unwrap_or_else(|| refusal.clone());
        attempt += 1;
        let repeatable = request.idempotent || not_run;
        if !repeatable || attempt >= MAX_ATTEMPTS || !state.budgets.spend(&budget) {
            return refuse(&request, told);
        }
        let delay = backoff.delay(attempt, &mut rand::rng());
        if shared.now() + delay >= request.slot.deadline {
            return refuse(&request, told);
        }
        node_metrics::count_retry(refusal.kind);
        tokio::time::sleep(delay).await;
        request.slot.excluded.push(endpoint);
    }
}

/// Refuses a request.
fn refuse(request: &ForwardedRequest, refusal: RefusalResponse) -> HttpResponse {
    log_event!(
        Debug,
        "request-refused",
        request = format!("{:032x}", request.id),
        queue = request.slot.queue,
        reason = refusal.kind,
    );
    refusal.into_response()
}

/// Obtains a slot and exchanges the request once.
async fn forward_once(state: &EntryState, request: &ForwardedRequest) -> AttemptOutcome {
    let shared = &state.shared;
    let guard = match obtain_slot(shared, &request.slot).await {
        SlotAcquisition::Granted(guard) => guard,
        SlotAcquisition::Known(known) => return respond_from_record(known),
        SlotAcquisition::Refused(refusal) => return AttemptOutcome::Final(refusal),
    };
    let endpoint = guard.offer.endpoint.clone();
    let (sender, receiver) = oneshot::channel();
    // The exchange goes on when the caller leaves, so that its end is known to the dispatcher.
    actix_rt::spawn(run_exchange(shared.clone(), request.clone(), guard, sender));
    match receiver.await {
        Ok(Ok(response)) => AttemptOutcome::Answer(response.into_response()),
        Ok(Err(kind)) => AttemptOutcome::Failed(RefusalResponse::new(kind, ""), endpoint),
        Err(_) => {
            AttemptOutcome::Final(RefusalResponse::new(ErrorKind::EndpointFailed, ""))
        }
    }
}

/// Answers a request whose idempotency key is known.
fn respond_from_record(known: RecordState) -> AttemptOutcome {
    let kind = match known {
        RecordState::Ended(Some(answer)) => {
            return AttemptOutcome::Answer(replay(answer));
        }
        RecordState::Ended(None) => ErrorKind::AlreadyRan,
        RecordState::Intent => ErrorKind::StillRunning,
        RecordState::Unknown => ErrorKind::OutcomeUnknown,
    };
    AttemptOutcome::Final(RefusalResponse::new(
        kind,
        "an earlier request had the same key",
    ))
}

/// Gives a kept answer again.
fn replay(answer: StoredResponse) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    if let Some(kind) = answer.content_type {
        response.insert_header((header::CONTENT_TYPE, kind));
    }
    response.insert_header(("Idempotency-Replayed", "true"));
    response.body(answer.body)
}

/// Exchanges a request over a slot, passes the answer on and gives the slot back.
async fn run_exchange(
    shared: Arc<NodeShared>,
    request: ForwardedRequest,
    guard: SlotGuard,
    sender: oneshot::Sender<std::result::Result<ForwardedResponse, ErrorKind>>,
) {
    let deadline = request.slot.deadline;
    let remaining = deadline.saturating_duration_since(shared.now());
    let local = shared.settings.peer.ip();
    let address = guard.offer.address.clone();
    let clock = shared.clock.clone();
    let in_time = move || clock.now() < deadline;
    let call = exchange(local, &address, request.outgoing.clone(), in_time);
    let head = match tokio::time::timeout(remaining, call).await {
        Ok(Ok(head)) => head,
        Ok(Err(ExchangeError::NotSent)) => {
            guard.release(ReleaseOutcome::NotSent);
            let _ = sender.send(Err(ErrorKind::EndpointConnect));
            return;
        }
        Ok(Err(ExchangeError::OutcomeUnknown)) => {
            guard.release(ReleaseOutcome::Unknown);
            let _ = sender.send(Err(ErrorKind::EndpointFailed));
            return;
        }
        Err(_) => {
            guard.release(ReleaseOutcome::Unknown);
            let _ = sender.send(Err(ErrorKind::AnswerLate));
            return;
        }
    };
    let outcome = forward_body(&shared, head, deadline, sender).await;
    guard.release(outcome);
}

/// Passes the body of an answer on: whole if it is small, as a stream if it is large.
async fn forward_body(
    shared: &NodeShared,
    head: EndpointResponse,
    deadline: Instant,
    sender: oneshot::Sender<std::result::Result<ForwardedResponse, ErrorKind>>,
) -> ReleaseOutcome {
    let EndpointResponse { status, headers, mut body } = head;
    let head = ResponseHead { status, headers };
    let mut buffer = BytesMut::new();
    let mut sender = Some(sender);
    let mut stream: Option<mpsc::Sender<std::result::Result<Bytes, TruncatedResponse>>> =
        None;
    let mut head = Some(head);
    loop {
        let remaining = deadline.saturating_duration_since(shared.now());
        let part = tokio::time::timeout(remaining, body.next()).await;
        match part {
            Ok(BodyPart::Chunk(chunk)) => match &stream {
                Some(stream) => {
                    let _ = stream.send(Ok(chunk)).await;
                }
                None => {
                    buffer.extend_from_slice(&chunk);
                    if buffer.len() > shared.settings.max_buffer {
                        let head = head.take().expect("the head is passed on once");
                        let sender = sender.take().expect("the head is passed on once");
                        stream =
                            Some(start_stream(head, buffer.split().freeze(), sender));
                    }
                }
            },
            Ok(BodyPart::End) => {
                let Some(head) = head else { return ReleaseOutcome::Answered(None) };
                let body = buffer.freeze();
                let stored = stored_response(&head, &body);
                if let Some(sender) = sender {
                    let _ = sender.send(Ok(ForwardedResponse::Whole(head, body)));
                }
                return ReleaseOutcome::Answered(stored);
            }
            Ok(BodyPart::Truncated) | Err(_) => {
                let kind = match part {
                    Ok(_) => ErrorKind::AnswerTruncated,
                    Err(_) => ErrorKind::AnswerLate,
                };
                if let Some(sender) = sender {
                    let _ = sender.send(Err(kind));
                }
                if let Some(stream) = stream {
                    node_metrics::count_refusal(kind);
                    let _ = stream.send(Err(TruncatedResponse)).await;
                }
                return ReleaseOutcome::Unknown;
            }
        }
    }
}

/// Begins to stream an answer to the caller.
fn start_stream(
    head: ResponseHead,
    first: Bytes,
    sender: oneshot::Sender<std::result::Result<ForwardedResponse, ErrorKind>>,
) -> mpsc::Sender<std::result::Result<Bytes, TruncatedResponse>> {
    let (stream, receiver) = mpsc::channel(STREAM_BUFFER);
    let _ = stream.try_send(Ok(first));
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let _ = sender.send(Ok(ForwardedResponse::Streamed(head, length, receiver)));
    stream
}

/// Keeps an answer for replay if it is small.
fn stored_response(head: &ResponseHead, body: &Bytes) -> Option<StoredResponse> {
    if body.len() > MAX_STORED_RESPONSE {
        return None;
    }
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Some(StoredResponse {
        status: head.status,
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    })
}
