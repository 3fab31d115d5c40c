//! HTTP handlers for jobs.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::web;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::JobId;
use geraniumwinch_core::JobKind;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::ResourceVector;
use geraniumwinch_core::home_domain;
use geraniumwinch_wire::JobResponse;
use geraniumwinch_wire::PeerMessage;
use serde::Deserialize;

use crate::entry_server::EntryState;
use crate::entry_server::client_team;
use crate::entry_server::idempotency_key;
use crate::entry_server::is_operator;
use crate::refusal_response::RefusalResponse;

/// How long a dispatcher may take to respond to a request about a job.
const JOB_TIMEOUT: Duration = Duration::from_millis(4000);

/// A job as submitted by a client.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobRequest {
    kind: JobKind,
    #[serde(default = "default_tasks")]
    tasks: u32,
    cpu_millis: u64,
    memory_bytes: u64,
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    run_time_ms: u64,
    #[serde(default)]
    urgent: bool,
    #[serde(default)]
    checkpointable: bool,
}

fn default_tasks() -> u32 {
    1
}

impl JobRequest {
    fn into_spec(self) -> JobSpec {
        JobSpec {
            kind: self.kind,
            tasks: self.tasks,
            size: ResourceVector {
                cpu_millis: self.cpu_millis,
                memory_bytes: self.memory_bytes,
                accelerators: self.accelerators,
            },
            run_time_ms: self.run_time_ms,
            urgent: self.urgent,
            checkpointable: self.checkpointable,
        }
    }
}

/// Handles the submission of a job.
pub(crate) async fn submit(
    state: web::Data<EntryState>,
    request: HttpRequest,
    queue: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let queue: Name = queue.into_inner().into();
    match try_submit(&state, &request, queue, &body).await {
        Ok(job) => {
            let location = format!("/v1/jobs/{job}");
            let mut response = HttpResponse::build(StatusCode::ACCEPTED);
            response.insert_header((header::LOCATION, location));
            response.json(serde_json::json!({ "job": job.to_string() }))
        }
        Err(refusal) => refusal.into_response(),
    }
}

/// Submits a job to the home domain of its idempotency key and returns the identifier.
///
/// Without a key, the domains are tried in turn, the one of this process first.
async fn try_submit(
    state: &EntryState,
    request: &HttpRequest,
    queue: Name,
    body: &[u8],
) -> Result<JobId, RefusalResponse> {
    let team = client_team(state, request, &queue)?;
    let Some(team) = team else {
        let detail = "a job needs a team; hint: send the key of one";
        return Err(RefusalResponse::new(ErrorKind::KeyMissing, detail));
    };
    let malformed =
        |detail: String| RefusalResponse::new(ErrorKind::JobMalformed, detail);
    let job: JobRequest =
        serde_json::from_slice(body).map_err(|error| malformed(error.to_string()))?;
    let spec = job.into_spec();
    if let Some(problem) = spec.problem() {
        return Err(malformed(problem));
    }
    let key = idempotency_key(request)?;
    let key = key.map(|key| {
        RecordDigest::of(&[b"job", team.as_bytes(), queue.as_bytes(), key.as_bytes()])
    });
    let domains = state.shared.settings.domain_names();
    let home = key.as_ref().and_then(|key| home_domain(key, &domains)).cloned();
    let mut targets = vec![home.clone().unwrap_or_else(|| state.shared.domain().clone())];
    if home.is_none() {
        // A job that is too large for the workers of this domain may fit those of another one.
        targets
            .extend(domains.into_iter().filter(|domain| domain != state.shared.domain()));
    }
    let unreachable = match home {
        Some(_) => ErrorKind::HomeUnreachable,
        None => ErrorKind::DomainUnowned,
    };
    let mut refusal = RefusalResponse::new(unreachable, "");
    for domain in targets {
        let message = PeerMessage::JobSubmit {
            spec: spec.clone(),
            team: team.clone(),
            queue: queue.clone(),
            key,
        };
        match call_domain(state, &domain, message, unreachable).await {
            Ok(JobResponse::Accepted(job)) => return Ok(job),
            Ok(_) => {}
            // A job that another domain is too small for still fits into the evacuated one.
            Err(other)
                if other.kind == ErrorKind::JobNeverFits
                    && refusal.kind == ErrorKind::DomainEvacuated => {}
            Err(other) if is_domain_specific(other.kind) => refusal = other,
            Err(other) => return Err(other),
        }
    }
    Err(refusal)
}

/// Returns whether another domain may accept a job that was refused for this reason.
fn is_domain_specific(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::JobNeverFits
            | ErrorKind::TeamLimit
            | ErrorKind::DomainUnowned
            | ErrorKind::DomainEvacuated
    )
}

/// Sends a request about a job to the dispatcher of a domain.
async fn call_domain(
    state: &EntryState,
    domain: &Name,
    message: PeerMessage,
    unreachable: ErrorKind,
) -> Result<JobResponse, RefusalResponse> {
    let shared = &state.shared;
    let submits = matches!(message, PeerMessage::JobSubmit { .. });
    let Some(address) = shared.dispatcher_address(domain) else {
        return Err(RefusalResponse::new(unreachable, format!("domain {domain}")));
    };
    match shared.link.call(address, message, JOB_TIMEOUT).await {
        Ok(PeerMessage::JobResponse(JobResponse::Refused {
            kind,
            retry_after_ms,
            detail,
        })) => Err(RefusalResponse::from_dispatcher(kind, retry_after_ms, &detail)),
        Ok(PeerMessage::JobResponse(response)) => Ok(response),
        _ if submits => {
            let detail = "the dispatcher did not answer; the job may have been accepted";
            Err(RefusalResponse::new(ErrorKind::StoreUnknown, detail))
        }
        _ => Err(RefusalResponse::new(unreachable, format!("domain {domain}"))),
    }
}

/// Handles a query of a job.
pub(crate) async fn query(
    state: web::Data<EntryState>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    let build = |job, team| PeerMessage::JobQuery { job, team };
    call_about_job(&state, &request, &id, build).await
}

/// Handles the cancellation of a job.
pub(crate) async fn cancel(
    state: web::Data<EntryState>,
    request: HttpRequest,
    id: web::Path<String>,
) -> HttpResponse {
    let build = |job, team| PeerMessage::JobCancel { job, team };
    call_about_job(&state, &request, &id, build).await
}

/// Authorizes a request about an existing job and sends it to the domain that accepted the job.
async fn call_about_job(
    state: &EntryState,
    request: &HttpRequest,
    id: &str,
    build: impl FnOnce(JobId, Option<Name>) -> PeerMessage,
) -> HttpResponse {
    let team = match is_operator(state, request) {
        true => None,
        false => match client_team(state, request, "") {
            Ok(Some(team)) => Some(team),
            Ok(None) => {
                return RefusalResponse::new(ErrorKind::KeyMissing, "").into_response();
            }
            Err(refusal) => return refusal.into_response(),
        },
    };
    let Ok(job) = id.parse::<JobId>() else {
        return RefusalResponse::new(ErrorKind::JobUnknown, "").into_response();
    };
    let domain = job.domain.clone();
    if !state.shared.settings.domain_names().contains(&domain) {
        return RefusalResponse::new(ErrorKind::JobUnknown, "").into_response();
    }
    let message = build(job, team);
    match call_domain(state, &domain, message, ErrorKind::DomainUnowned).await {
        Ok(JobResponse::View(view)) => HttpResponse::Ok().json(view),
        Ok(_) => RefusalResponse::new(ErrorKind::JobUnknown, "").into_response(),
        Err(refusal) => refusal.into_response(),
    }
}
