//! Taking in the bodies of requests, within the limits of the VM.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_web::Error;
use actix_web::HttpRequest;
use actix_web::body::BodySize;
use actix_web::body::BoxBody;
use actix_web::body::MessageBody;
use actix_web::dev::Payload;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::http::header;
use actix_web::middleware::Next;
use actix_web::web;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_intake::BodyBudget;
use geraniumwinch_intake::BodyLease;
use geraniumwinch_intake::BodyLimits;
use geraniumwinch_intake::VmLimits;
use geraniumwinch_intake::discard_body;
use geraniumwinch_intake::read_body;

use crate::operator_handlers::require_operator;
use crate::refusal_response::RefusalResponse;

use super::EntryState;
use super::client_team;

/// The time within which there must be a further byte of a body.
const MAX_PAUSE: Duration = Duration::from_secs(15);
/// The time in which a body must be complete.
const MAX_TIME: Duration = Duration::from_secs(60);
/// The share of the connections whose requests' bodies may be incomplete.
const INCOMPLETE_SHARE: usize = 2;

/// What the bodies of all requests of a process may take.
#[derive(Debug, Clone)]
pub(crate) struct BodyIntake {
    budget: BodyBudget,
    limits: BodyLimits,
}

impl BodyIntake {
    /// Creates the limits for bodies of at most `max_body` bytes on a VM, where a number of connections may
    /// be open.
    pub(crate) fn new(max_body: usize, vm: &VmLimits, connections: usize) -> Arc<Self> {
        let incomplete = connections / INCOMPLETE_SHARE;
        let budget = BodyBudget::new(vm.body_bytes(max_body)).with_incomplete(incomplete);
        let (max_pause, max_time) = (MAX_PAUSE, MAX_TIME);
        let limits = BodyLimits { max_bytes: max_body, max_pause, max_time };
        Arc::new(BodyIntake { budget, limits })
    }

    /// Reads a body.
    async fn read(
        &self,
        request: &HttpRequest,
        payload: &mut Payload,
        lease: &BodyLease,
    ) -> Result<web::Bytes, ErrorKind> {
        read_body(payload, announced_length(request), &self.limits, lease).await
    }

    /// Reads a body whose request is refused, and returns whether it was read to its end.
    async fn discard(
        &self,
        request: &HttpRequest,
        payload: &mut Payload,
        lease: &BodyLease,
    ) -> bool {
        let announced = announced_length(request);
        discard_body(payload, announced, &self.limits, lease).await.is_ok()
    }
}

/// Takes in the body of a request before the request is handled. A request that its head shows to be
/// refused keeps no body.
pub(super) async fn take_in_body(
    state: web::Data<EntryState>,
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> Result<ServiceResponse, Error> {
    let (request, mut payload) = request.into_parts();
    if matches!(payload, Payload::None) {
        return next.call(ServiceRequest::from_parts(request, payload)).await;
    }
    let lease = state.intake.budget.open();
    if let Err(refusal) = check_head(&state, &request) {
        let is_read = state.intake.discard(&request, &mut payload, &lease).await;
        return Ok(refuse(request, refusal, (!is_read).then_some(payload)));
    }
    match state.intake.read(&request, &mut payload, &lease).await {
        Ok(body) => {
            let request = ServiceRequest::from_parts(request, Payload::from(body));
            // What the body takes counts until the response is there.
            next.call(request).await
        }
        Err(kind) => {
            let refusal = RefusalResponse::new(kind, "");
            Ok(refuse(request, refusal, Some(payload)))
        }
    }
}

/// Refuses a request that is refused whatever its body is.
fn check_head(state: &EntryState, request: &HttpRequest) -> Result<(), RefusalResponse> {
    let mut parts = request.path().trim_start_matches('/').split('/');
    match (parts.next(), parts.next(), parts.next()) {
        (Some("v1"), Some("queues"), Some(queue)) => {
            client_team(state, request, queue).map(|_| ())
        }
        (Some("v1"), Some("configuration" | "domains"), _) => {
            require_operator(state, request)
        }
        // No other request has a use for a body.
        _ => client_team(state, request, "").map(|_| ()),
    }
}

/// Creates the response to a refused request. `unread` is the rest of its body, if it was not read to its
/// end.
fn refuse(
    request: HttpRequest,
    refusal: RefusalResponse,
    unread: Option<Payload>,
) -> ServiceResponse {
    let response = refusal.into_response();
    let response = response
        .map_body(|_, inner| BoxBody::new(RefusalBody { inner, _unread: unread }));
    ServiceResponse::new(request, response)
}

/// Returns the length of a request's body, if its head says it.
fn announced_length(request: &HttpRequest) -> Option<u64> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// The body of a refusal.
struct RefusalBody {
    inner: BoxBody,
    /// The rest of a request's body that is not read. While it exists, the server closes the connection
    /// after the response, and gives the client time to read it.
    _unread: Option<Payload>,
}

impl MessageBody for RefusalBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<web::Bytes, Self::Error>>> {
        Pin::new(&mut self.inner).poll_next(context)
    }
}
