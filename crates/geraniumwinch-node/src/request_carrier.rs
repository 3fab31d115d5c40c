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

use crate::endpoint_exchange::AnswerHead;
use crate::endpoint_exchange::BodyPart;
use crate::endpoint_exchange::EndpointRequest;
use crate::endpoint_exchange::ExchangeFailure;
use crate::endpoint_exchange::exchange;
use crate::entry_server::EntryState;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::ready_answer::AnswerParts;
use crate::ready_answer::ReadyAnswer;
use crate::ready_answer::TruncatedAnswer;
use crate::refusal_answer::RefusalAnswer;
use crate::slot_client::SlotEnd;
use crate::slot_client::SlotLease;
use crate::slot_client::SlotWish;
use crate::slot_client::obtain_slot;

/// The greatest answer in bytes that is kept with an idempotency record.
const MAX_STORED_ANSWER: usize = 4096;
/// The chunks that wait for a slow caller.
const STREAM_BUFFER: usize = 16;
/// The greatest number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// The wait before a repeated attempt: at first at most, and ever at most.
const BACKOFF: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(500));

/// A request that is ready to be carried.
#[derive(Debug, Clone)]
pub(crate) struct CarriedRequest {
    /// The identifier in the logs.
    pub(crate) id: u128,
    /// What goes to the endpoint.
    pub(crate) request: EndpointRequest,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// What slot it needs.
    pub(crate) wish: SlotWish,
    /// When it arrived.
    pub(crate) arrived: Instant,
}

/// The end of one attempt.
enum AttemptEnd {
    Answer(HttpResponse),
    Failed(RefusalAnswer, Name),
    Final(RefusalAnswer),
}

/// Carries a request, repeating what may be repeated within the deadline and the budget.
pub(crate) async fn carry(
    state: &EntryState,
    mut carried: CarriedRequest,
) -> HttpResponse {
    let shared = &state.shared;
    let account = carried.wish.team.clone().unwrap_or_else(|| "open".into());
    let budget = (carried.wish.queue.clone(), account);
    state.budgets.earn(&budget);
    let backoff = RetryBackoff::new(BACKOFF.0, BACKOFF.1);
    let mut attempt = 0;
    let mut maybe_ran: Option<RefusalAnswer> = None;
    loop {
        let (refusal, endpoint) = match attempt_once(state, &carried).await {
            AttemptEnd::Answer(response) => {
                node_metrics::count_request(shared.now() - carried.arrived);
                return response;
            }
            // An earlier attempt may have run, which a later one that did not can't take back.
            AttemptEnd::Final(refusal) => {
                return refuse(&carried, maybe_ran.unwrap_or(refusal));
            }
            AttemptEnd::Failed(refusal, endpoint) => (refusal, endpoint),
        };
        let not_run = refusal.kind.response().run == geraniumwinch_core::RunState::NotRun;
        if !not_run {
            maybe_ran = Some(refusal.clone());
        }
        let told = maybe_ran.clone().unwrap_or_else(|| refusal.clone());
        attempt += 1;
        let repeatable = carried.idempotent || not_run;
        if !repeatable || attempt >= MAX_ATTEMPTS || !state.budgets.spend(&budget) {
            return refuse(&carried, told);
        }
        let delay = backoff.delay(attempt, &mut rand::rng());
        if shared.now() + delay >= carried.wish.deadline {
            return refuse(&carried, told);
        }
        node_metrics::count_retry(refusal.kind);
        tokio::time::sleep(delay).await;
        carried.wish.excluded.push(endpoint);
    }
}

/// Refuses a request.
fn refuse(carried: &CarriedRequest, refusal: RefusalAnswer) -> HttpResponse {
    log_event!(
        Debug,
        "request-refused",
        request = format!("{:032x}", carried.id),
        queue = carried.wish.queue,
        reason = refusal.kind,
    );
    refusal.into_response()
}

/// Obtains a slot and exchanges the request once.
async fn attempt_once(state: &EntryState, carried: &CarriedRequest) -> AttemptEnd {
    let shared = &state.shared;
    let lease = match obtain_slot(shared, &carried.wish).await {
        SlotEnd::Granted(lease) => lease,
        SlotEnd::Known(known) => return answer_known(known),
        SlotEnd::Refused(refusal) => return AttemptEnd::Final(refusal),
    };
    let endpoint = lease.offer.endpoint.clone();
    let (sender, receiver) = oneshot::channel();
    // The exchange goes on when the caller leaves, so that its end is known to the dispatcher.
    actix_rt::spawn(run_exchange(shared.clone(), carried.clone(), lease, sender));
    match receiver.await {
        Ok(Ok(response)) => AttemptEnd::Answer(response.into_response()),
        Ok(Err(kind)) => AttemptEnd::Failed(RefusalAnswer::new(kind, ""), endpoint),
        Err(_) => AttemptEnd::Final(RefusalAnswer::new(ErrorKind::EndpointFailed, "")),
    }
}

/// Answers a request whose idempotency key is known.
fn answer_known(known: RecordState) -> AttemptEnd {
    let kind = match known {
        RecordState::Ended(Some(answer)) => {
            return AttemptEnd::Answer(replay(answer));
        }
        RecordState::Ended(None) => ErrorKind::AlreadyRan,
        RecordState::Intent => ErrorKind::StillRunning,
        RecordState::Unknown => ErrorKind::OutcomeUnknown,
    };
    AttemptEnd::Final(RefusalAnswer::new(kind, "an earlier request had the same key"))
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
    carried: CarriedRequest,
    lease: SlotLease,
    sender: oneshot::Sender<std::result::Result<ReadyAnswer, ErrorKind>>,
) {
    let deadline = carried.wish.deadline;
    let remaining = deadline.saturating_duration_since(shared.now());
    let local = shared.settings.peer.ip();
    let address = lease.offer.address.clone();
    let clock = shared.clock.clone();
    let in_time = move || clock.now() < deadline;
    let call = exchange(local, &address, carried.request.clone(), in_time);
    let head = match tokio::time::timeout(remaining, call).await {
        Ok(Ok(head)) => head,
        Ok(Err(ExchangeFailure::NotSent)) => {
            lease.release(ReleaseOutcome::NotSent);
            let _ = sender.send(Err(ErrorKind::EndpointConnect));
            return;
        }
        Ok(Err(ExchangeFailure::Lost)) => {
            lease.release(ReleaseOutcome::Unknown);
            let _ = sender.send(Err(ErrorKind::EndpointFailed));
            return;
        }
        Err(_) => {
            lease.release(ReleaseOutcome::Unknown);
            let _ = sender.send(Err(ErrorKind::AnswerLate));
            return;
        }
    };
    let outcome = pass_body(&shared, head, deadline, sender).await;
    lease.release(outcome);
}

/// Passes the body of an answer on: whole if it is small, as a stream if it is large.
async fn pass_body(
    shared: &NodeShared,
    head: AnswerHead,
    deadline: Instant,
    sender: oneshot::Sender<std::result::Result<ReadyAnswer, ErrorKind>>,
) -> ReleaseOutcome {
    let AnswerHead { status, headers, mut body } = head;
    let parts = AnswerParts { status, headers };
    let mut buffer = BytesMut::new();
    let mut sender = Some(sender);
    let mut stream: Option<mpsc::Sender<std::result::Result<Bytes, TruncatedAnswer>>> =
        None;
    let mut parts = Some(parts);
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
                        let parts = parts.take().expect("the head is passed on once");
                        let sender = sender.take().expect("the head is passed on once");
                        stream =
                            Some(begin_stream(parts, buffer.split().freeze(), sender));
                    }
                }
            },
            Ok(BodyPart::End) => {
                let Some(parts) = parts else { return ReleaseOutcome::Answered(None) };
                let body = buffer.freeze();
                let stored = store_answer(&parts, &body);
                if let Some(sender) = sender {
                    let _ = sender.send(Ok(ReadyAnswer::Whole(parts, body)));
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
                    let _ = stream.send(Err(TruncatedAnswer)).await;
                }
                return ReleaseOutcome::Unknown;
            }
        }
    }
}

/// Begins to stream an answer to the caller.
fn begin_stream(
    parts: AnswerParts,
    first: Bytes,
    sender: oneshot::Sender<std::result::Result<ReadyAnswer, ErrorKind>>,
) -> mpsc::Sender<std::result::Result<Bytes, TruncatedAnswer>> {
    let (stream, receiver) = mpsc::channel(STREAM_BUFFER);
    let _ = stream.try_send(Ok(first));
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let _ = sender.send(Ok(ReadyAnswer::Streamed(parts, length, receiver)));
    stream
}

/// Keeps an answer for replay if it is small.
fn store_answer(parts: &AnswerParts, body: &Bytes) -> Option<StoredResponse> {
    if body.len() > MAX_STORED_ANSWER {
        return None;
    }
    let content_type = parts.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Some(StoredResponse {
        status: parts.status,
        content_type: content_type.map(str::to_owned),
        body: body.to_vec(),
    })
}
