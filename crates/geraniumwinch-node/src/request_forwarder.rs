//! Forwards client requests to endpoints, with retries.

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

/// Maximum size in bytes of a response that is stored with an idempotency record.
const MAX_STORED_RESPONSE: usize = 4096;
/// Number of chunks that are buffered for a slow client.
const STREAM_BUFFER: usize = 16;
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;
/// Base, which doubles with each retry, and maximum of the randomized delay before a retry.
const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(500));

/// A validated request that is ready to be forwarded.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    /// The identifier in logs.
    pub(crate) id: u128,
    /// The request to the endpoint.
    pub(crate) outgoing: EndpointRequest,
    /// Whether the endpoint may execute it more than once.
    pub(crate) idempotent: bool,
    /// The slot that it requires.
    pub(crate) slot: SlotRequirements,
    /// When it was received.
    pub(crate) arrived: Instant,
}

/// The outcome of an attempt.
enum AttemptOutcome {
    /// A response for the client.
    Response(HttpResponse),
    /// A failure at this endpoint, after which a retry may be allowed.
    Failed(RefusalResponse, Name),
    /// A refusal that is not retried.
    Final(RefusalResponse),
}

/// Forwards a request and retries if that is safe and allowed by the deadline and the retry budget.
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
    let mut possibly_run: Option<RefusalResponse> = None;
    loop {
        let (refusal, endpoint) = match forward_once(state, &request).await {
            AttemptOutcome::Response(response) => {
                node_metrics::count_request(shared.now() - request.arrived);
                return response;
            }
            // If an earlier attempt may have run, the client must learn that even if a later
            // one did not run.
            AttemptOutcome::Final(refusal) => {
                return refuse(&request, possibly_run.unwrap_or(refusal));
            }
            AttemptOutcome::Failed(refusal, endpoint) => (refusal, endpoint),
        };
        let not_run = refusal.kind.response().run == geraniumwinch_core::RunState::NotRun;
        if !not_run {
            possibly_run = Some(refusal.clone());
        }
        let reported = possibly_run.clone().unwrap_or_else(|| refusal.clone());
        attempt += 1;
        let retryable = request.idempotent || not_run;
        if !retryable || attempt >= MAX_ATTEMPTS || !state.budgets.spend(&budget) {
            return refuse(&request, reported);
        }
        let delay = backoff.delay(attempt, &mut rand::rng());
        if shared.now() + delay >= request.slot.deadline {
            return refuse(&request, reported);
        }
        node_metrics::count_retry(refusal.kind);
        tokio::time::sleep(delay).await;
        request.slot.excluded.push(endpoint);
    }
}

/// Logs a refusal and converts it to a response.
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

/// Obtains a slot and sends the request to its endpoint once.
async fn forward_once(state: &EntryState, request: &ForwardedRequest) -> AttemptOutcome {
    let shared = &state.shared;
    let guard = match obtain_slot(shared, &request.slot).await {
        SlotAcquisition::Granted(guard) => guard,
        SlotAcquisition::Known(known) => return respond_from_record(known),
        SlotAcquisition::Refused(refusal) => return AttemptOutcome::Final(refusal),
    };
    let endpoint = guard.offer.endpoint.clone();
    let (sender, receiver) = oneshot::channel();
    // The exchange continues if the client disconnects, so that the dispatcher learns its outcome.
    actix_rt::spawn(run_exchange(shared.clone(), request.clone(), guard, sender));
    match receiver.await {
        Ok(Ok(response)) => AttemptOutcome::Response(response.into_response()),
        Ok(Err(kind)) => AttemptOutcome::Failed(RefusalResponse::new(kind, ""), endpoint),
        Err(_) => {
            AttemptOutcome::Final(RefusalResponse::new(ErrorKind::EndpointFailed, ""))
        }
    }
}

/// Responds to a request whose idempotency key has been used before.
fn respond_from_record(known: RecordState) -> AttemptOutcome {
    let kind = match known {
        RecordState::Ended(Some(stored)) => {
            return AttemptOutcome::Response(replay(stored));
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

/// Replays a stored response.
fn replay(stored: StoredResponse) -> HttpResponse {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    if let Some(kind) = stored.content_type {
        response.insert_header((header::CONTENT_TYPE, kind));
    }
    response.insert_header(("Idempotency-Replayed", "true"));
    response.body(stored.body)
}

/// Sends a request to the endpoint of a slot, forwards the response and releases the slot.
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

/// Forwards the body of a response: in one piece if it is small, as a stream if it is large.
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
        let read = tokio::time::timeout(remaining, body.next()).await;
        match read {
            Ok(BodyPart::Chunk(chunk)) => match &stream {
                Some(stream) => {
                    let _ = stream.send(Ok(chunk)).await;
                }
                None => {
                    buffer.extend_from_slice(&chunk);
                    if buffer.len() > shared.settings.max_buffer {
                        let head = head.take().expect("the head is sent once");
                        let sender = sender.take().expect("the head is sent once");
                        stream =
                            Some(start_stream(head, buffer.split().freeze(), sender));
                    }
                }
            },
            Ok(BodyPart::End) => {
                let Some(head) = head else { return ReleaseOutcome::Responded(None) };
                let body = buffer.freeze();
                let stored = stored_response(&head, &body);
                if let Some(sender) = sender {
                    let _ = sender.send(Ok(ForwardedResponse::Buffered(head, body)));
                }
                return ReleaseOutcome::Responded(stored);
            }
            Ok(BodyPart::Truncated) | Err(_) => {
                let kind = match read {
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

/// Starts to stream a response to the client.
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

/// Returns the response to store for replays, if it is small enough.
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
