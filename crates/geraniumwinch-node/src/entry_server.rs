//! The HTTP server for clients and operators.

mod body_intake;
mod retry_budgets;

use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::body::BoxBody;
use actix_web::dev::Server;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::error::InternalError;
use actix_web::http::Method;
use actix_web::http::header;
use actix_web::http::header::HeaderMap;
use actix_web::middleware::Next;
use actix_web::middleware::from_fn;
use actix_web::web;
use geraniumwinch_config::KeyHash;
use geraniumwinch_config::NodeSettings;
use geraniumwinch_config::StalePolicy;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::home_domain;
use geraniumwinch_intake::VmLimits;
use geraniumwinch_wire::RecordKey;
use snafu::ResultExt;
use tokio::sync::mpsc;

use crate::Result;
use crate::bounded_listener::listen;
use crate::endpoint_exchange::EndpointRequest;
use crate::evacuation_handlers;
use crate::forwarded_response::is_hop_by_hop_header;
use crate::job_handlers;
use crate::node_error::HttpListenSnafu;
use crate::node_shared::NodeShared;
use crate::operator_handlers;
use crate::publish_request::PublishRequest;
use crate::refusal_response::RefusalResponse;
use crate::request_forwarder::ForwardedRequest;
use crate::request_forwarder::forward;
use crate::slot_client::SlotRequirements;

use self::body_intake::BodyIntake;
use self::body_intake::take_in_body;
use self::retry_budgets::RetryBudgets;

/// Number of threads of the HTTP server.
const HTTP_THREADS: usize = 2;
/// Maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;
/// The header with the timeout of a request in milliseconds from its arrival.
const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";
/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// The timeout for receiving request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// What a connection counts beside the body of its request, in bytes: buffers of the
/// server and of the system.
const CONNECTION_BYTES: u64 = 256 * 1024;
/// How long a connection stays open after a response to a request whose body is not read to its end, so
/// that the client can read the response.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// How long the server waits beyond the stop limit for the last responses to be written.
const LAST_RESPONSES_TIME: Duration = Duration::from_secs(2);

/// The state that the HTTP handlers share.
#[derive(Clone)]
pub(crate) struct EntryState {
    pub(crate) shared: Arc<NodeShared>,
    /// The channel to the publisher.
    pub(crate) publisher: mpsc::UnboundedSender<PublishRequest>,
    /// The budgets for retries.
    pub(crate) budgets: Arc<RetryBudgets>,
    /// What request bodies may take.
    pub(crate) intake: Arc<BodyIntake>,
}

impl EntryState {
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        publisher: mpsc::UnboundedSender<PublishRequest>,
    ) -> Self {
        let budgets = Arc::new(RetryBudgets::default());
        let settings = &shared.settings;
        let vm = vm_limits(settings);
        let connections = vm.connections(CONNECTION_BYTES);
        let intake = BodyIntake::new(settings.max_body, &vm, connections);
        EntryState { shared, publisher, budgets, intake }
    }
}

/// Starts the server on the address in the settings.
pub(crate) fn start(state: EntryState) -> Result<Server> {
    let address = state.shared.settings.http;
    let limit = state.shared.settings.stop_limit;
    let vm = vm_limits(&state.shared.settings);
    let connections = vm.connections(CONNECTION_BYTES);
    let listener = listen(address).context(HttpListenSnafu { address })?;
    let server = HttpServer::new(move || build_app(state.clone()))
        .workers(HTTP_THREADS)
        .max_connections(connections / HTTP_THREADS)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEADER_TIMEOUT)
        .client_disconnect_timeout(LINGER_TIME)
        .disable_signals()
        .shutdown_timeout((limit + LAST_RESPONSES_TIME).as_secs())
        .listen(listener)
        .context(HttpListenSnafu { address })?;
    Ok(server.run())
}

/// Returns the limits of the VM, which the system says where the settings don't.
pub(crate) fn vm_limits(settings: &NodeSettings) -> VmLimits {
    VmLimits::detect(settings.memory_mb, settings.descriptors)
}

/// Builds the application of one server thread.
fn build_app(
    state: EntryState,
) -> App<
    impl actix_web::dev::ServiceFactory<
        ServiceRequest,
        Config = (),
        Response = ServiceResponse,
        Error = actix_web::Error,
        InitError = (),
    >,
> {
    let limit = state.shared.settings.max_body;
    let payload = web::PayloadConfig::new(limit);
    App::new()
        .app_data(web::Data::new(state))
        .app_data(payload)
        .wrap(from_fn(take_in_body))
        .wrap(from_fn(respond_before_exit))
        .route("/healthz", web::get().to(health))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/status", web::get().to(operator_handlers::status))
        .route("/v1/configuration", web::get().to(operator_handlers::show_configuration))
        .route(
            "/v1/configuration",
            web::put().to(operator_handlers::publish_configuration),
        )
        .route(
            "/v1/configuration/check",
            web::post().to(operator_handlers::check_configuration),
        )
        .route(
            "/v1/domains/{domain}/evacuation",
            web::put().to(evacuation_handlers::request_evacuation),
        )
        .route(
            "/v1/domains/{domain}/evacuation",
            web::delete().to(evacuation_handlers::take_back),
        )
        .route("/v1/queues/{queue}/jobs", web::post().to(job_handlers::submit))
        .route("/v1/jobs/{job}", web::get().to(job_handlers::query))
        .route("/v1/jobs/{job}", web::delete().to(job_handlers::cancel))
        .route("/v1/queues/{queue}/requests", web::route().to(forward_request))
        .route("/v1/queues/{queue}/requests/{path:.*}", web::route().to(forward_request))
        .default_service(web::route().to(unknown_path))
}

/// Responds to a request that outlasts the stop limit, whose connection would end without a response.
async fn respond_before_exit(
    state: web::Data<EntryState>,
    request: ServiceRequest,
    next: Next<BoxBody>,
) -> std::result::Result<ServiceResponse, actix_web::Error> {
    tokio::select! {
        // A response that is ready is delivered, also at the cutoff.
        biased;
        response = next.call(request) => response,
        () = state.shared.await_stop_cutoff() => {
            let detail = "the process stops";
            let refusal = RefusalResponse::new(ErrorKind::AnswerLate, detail);
            Err(InternalError::from_response(detail, refusal.into_response()).into())
        }
    }
}

/// Responds to the health check of the platform's load balancer.
///
/// A process that has just started can serve requests only once it has both a configuration and
/// contact with the owner of its domain.
async fn health(state: web::Data<EntryState>) -> HttpResponse {
    if state.shared.stopping() {
        return RefusalResponse::new(ErrorKind::ProcessStopping, "").into_response();
    }
    if !state.shared.catalog.is_known() || !state.shared.joined() {
        return RefusalResponse::new(ErrorKind::ProcessStarting, "").into_response();
    }
    HttpResponse::Ok().body("ok\n")
}

/// Renders the metrics in the text format of Prometheus.
async fn metrics(state: web::Data<EntryState>) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((header::CONTENT_TYPE, "text/plain; version=0.0.4"))
        .body(state.shared.metrics.render())
}

/// Responds to a request for an unknown path.
async fn unknown_path() -> HttpResponse {
    let detail = "hint: see docs/protocols.md for the paths";
    RefusalResponse::new(ErrorKind::QueueUnknown, detail).into_response()
}

/// Forwards a client request to an endpoint.
async fn forward_request(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: std::result::Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    match prepare(&state, &request, body) {
        Ok(request) => forward(&state, request).await,
        Err(refusal) => refusal.into_response(),
    }
}

/// Validates a client request and prepares it for forwarding.
fn prepare(
    state: &EntryState,
    request: &HttpRequest,
    body: std::result::Result<web::Bytes, actix_web::Error>,
) -> std::result::Result<ForwardedRequest, RefusalResponse> {
    let shared = &state.shared;
    let arrived = shared.now();
    let queue: Name = request.match_info().get("queue").unwrap_or_default().into();
    let team = client_team(state, request, &queue)?;
    let body = body.map_err(|error| read_body_error(&error))?;
    let deadline = arrived + request_timeout(state, request, &queue)?;
    let method = request.method().clone();
    let declared_idempotent =
        request.headers().get("Idempotent").is_some_and(|value| value == "true");
    let idempotent_method = matches!(
        method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    );
    let idempotent = idempotent_method || declared_idempotent;
    let path = request.match_info().get("path").unwrap_or_default();
    let target = match request.query_string() {
        "" => format!("/{path}"),
        query => format!("/{path}?{query}"),
    };
    let key = idempotency_key(request)?;
    let record = match key {
        Some(key) if !idempotent => {
            let record = record_key(&team, &queue, &key, &method, &target, &body);
            let domains = shared.settings.domain_names();
            let home = home_domain(&record.digest, &domains).cloned();
            home.map(|home| (record, home))
        }
        _ => None,
    };
    let mut headers = forwarded_headers(request.headers());
    let id = shared.link.next_id();
    let id_value = format!("{id:032x}").parse().expect("digits are a valid header");
    headers.insert("Request-Id".parse().expect("the name is valid"), id_value);
    Ok(ForwardedRequest {
        id,
        outgoing: EndpointRequest { method, target, headers, body },
        idempotent,
        slot: SlotRequirements { queue, team, deadline, excluded: Vec::new(), record },
        arrived,
    })
}

/// Returns the refusal for an error of reading the body.
fn read_body_error(error: &actix_web::Error) -> RefusalResponse {
    let status = error.as_response_error().status_code();
    let kind = match status.as_u16() {
        413 => ErrorKind::BodyTooLarge,
        _ => ErrorKind::BodyIncomplete,
    };
    RefusalResponse::new(kind, error.to_string())
}

/// Returns the record key of a request with an idempotency key.
fn record_key(
    team: &Option<Name>,
    queue: &Name,
    key: &str,
    method: &Method,
    target: &str,
    body: &[u8],
) -> RecordKey {
    let team = team.as_deref().unwrap_or_default();
    let digest = RecordDigest::of(&[team.as_bytes(), queue.as_bytes(), key.as_bytes()]);
    let method = method.as_str().as_bytes();
    let fingerprint = RecordDigest::of(&[method, target.as_bytes(), body]);
    RecordKey { digest, fingerprint }
}

/// Returns the headers to forward: all but the client's key and those of the connection.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if *name != header::AUTHORIZATION
            && *name != header::EXPECT
            && !is_hop_by_hop_header(name)
        {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the timeout that the client chose for a request, or the queue's default.
///
/// Refuses a malformed timeout, and one that is zero or above the queue's maximum.
fn request_timeout(
    state: &EntryState,
    request: &HttpRequest,
    queue: &Name,
) -> std::result::Result<Duration, RefusalResponse> {
    let view = state.shared.catalog.view();
    let Some(queue) = view.catalog.queues.get(queue) else {
        return Err(RefusalResponse::new(ErrorKind::QueueUnknown, ""));
    };
    let Some(value) = request.headers().get(TIMEOUT_HEADER) else {
        return Ok(queue.policy.default_deadline);
    };
    let given = value.to_str().ok().and_then(|text| text.parse().ok());
    let max = queue.policy.max_deadline;
    match given.map(Duration::from_millis) {
        Some(time) if !time.is_zero() && time <= max => Ok(time),
        _ => {
            let detail = format!(
                "`{TIMEOUT_HEADER}` is out of range; hint: give 1 to {} ms",
                max.as_millis()
            );
            Err(RefusalResponse::new(ErrorKind::HeaderMalformed, detail))
        }
    }
}

/// Returns the idempotency key of a request, if it has one.
pub(crate) fn idempotency_key(
    request: &HttpRequest,
) -> std::result::Result<Option<String>, RefusalResponse> {
    let Some(value) = request.headers().get("Idempotency-Key") else { return Ok(None) };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY => {
            Ok(Some(key.to_owned()))
        }
        _ => {
            let detail =
                "`Idempotency-Key` is out of range; hint: give 1 to 256 characters";
            Err(RefusalResponse::new(ErrorKind::HeaderMalformed, detail))
        }
    }
}

/// Returns the bearer token of a request.
fn bearer(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Returns whether a request is authenticated with the operators' key.
pub(crate) fn is_operator(state: &EntryState, request: &HttpRequest) -> bool {
    let own = &state.shared.settings.operator_key;
    bearer(request).is_some_and(|key| KeyHash::of(key).matches(own))
}

/// Authenticates a client and returns its team, or `None` if it sent no key to an open queue.
///
/// An empty queue name stands for requests that do not belong to a queue; these always require a
/// key.
pub(crate) fn client_team(
    state: &EntryState,
    request: &HttpRequest,
    queue: &str,
) -> std::result::Result<Option<Name>, RefusalResponse> {
    let shared = &state.shared;
    if !shared.catalog.is_known() {
        return Err(RefusalResponse::new(ErrorKind::ProcessStarting, ""));
    }
    let view = shared.catalog.view();
    let policy = view.catalog.queues.get(queue);
    if policy.is_none() && !queue.is_empty() {
        return Err(RefusalResponse::new(ErrorKind::QueueUnknown, ""));
    }
    let Some(key) = bearer(request) else {
        if policy.is_some_and(|queue| queue.open) {
            return Ok(None);
        }
        let detail = "hint: send `Authorization: Bearer` with a key of a team";
        return Err(RefusalResponse::new(ErrorKind::KeyMissing, detail));
    };
    let fresh = shared
        .catalog
        .fresh_age(shared.now())
        .is_some_and(|age| age <= shared.settings.stale_after);
    if !fresh && shared.settings.stale_policy == StalePolicy::Refuse {
        let detail = "the configuration is not known to be fresh";
        return Err(RefusalResponse::new(ErrorKind::KeysStale, detail));
    }
    let Some(team) = view.catalog.team_of(key) else {
        return Err(RefusalResponse::new(ErrorKind::KeyUnknown, ""));
    };
    let allowed =
        policy.is_none_or(|queue| queue.teams.is_empty() || queue.teams.contains(team));
    if !allowed {
        return Err(RefusalResponse::new(ErrorKind::TeamForbidden, ""));
    }
    Ok(Some(team.clone()))
}
