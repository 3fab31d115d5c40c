//! HTTP handlers for operators.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::header;
use actix_web::web;
use geraniumwinch_config::ConfigProblem;
use geraniumwinch_config::ConfigurationSet;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_wire::PeerMessage;
use geraniumwinch_wire::StatusReport;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::entry_server::EntryState;
use crate::entry_server::is_operator;
use crate::evacuation_handlers::EvacuationStatus;
use crate::evacuation_handlers::combine_reports;
use crate::evacuation_handlers::fetch_report;
use crate::publish_request::PublishOutcome;
use crate::publish_request::PublishRequest;
use crate::refusal_response::RefusalResponse;

/// How long a dispatcher may take to report the state of its domain.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1000);
/// The file name of a published set in its problems.
const SET_NAME: &str = "set";

/// The state of a domain.
#[derive(Debug, Serialize)]
struct DomainStatus {
    domain: Name,
    reachable: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    report: Option<Box<StatusReport>>,
    evacuation: Option<EvacuationStatus>,
}

/// The body of a status response.
#[derive(Debug, Serialize)]
struct StatusBody {
    process: Name,
    domain: Name,
    revision: u64,
    fresh_age_ms: Option<u64>,
    owner: Option<geraniumwinch_wire::OwnerView>,
    held_slots: usize,
    stopping: bool,
    domains: Vec<DomainStatus>,
}

/// Refuses a request that is not authenticated with the operators' key.
pub(crate) fn require_operator(
    state: &EntryState,
    request: &HttpRequest,
) -> Result<(), RefusalResponse> {
    if is_operator(state, request) {
        return Ok(());
    }
    let detail = "hint: send `Authorization: Bearer` with the operators' key";
    Err(RefusalResponse::new(ErrorKind::OperatorKey, detail))
}

/// Handles a request for the configuration in force in this process.
pub(crate) async fn show_configuration(
    state: web::Data<EntryState>,
    request: HttpRequest,
) -> HttpResponse {
    if let Err(refusal) = require_operator(&state, &request) {
        return refusal.into_response();
    }
    let view = state.shared.catalog.view();
    HttpResponse::Ok()
        .insert_header((header::ETAG, format!("\"{}\"", view.revision)))
        .insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(view.set.to_ini())
}

/// Handles a request to check a set without publishing it.
pub(crate) async fn check_configuration(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if let Err(refusal) = require_operator(&state, &request) {
        return refusal.into_response();
    }
    match read_set(&body) {
        Ok(set) => HttpResponse::Ok().json(serde_json::json!({ "objects": set.len() })),
        Err(problems) => refuse_set(&problems),
    }
}

/// Handles a request to publish a set that is based on the revision in `If-Match`.
pub(crate) async fn publish_configuration(
    state: web::Data<EntryState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    if let Err(refusal) = require_operator(&state, &request) {
        return refusal.into_response();
    }
    let Some(base) = base_revision(&request) else {
        let detail =
            "hint: send `If-Match` with the revision that the set is based on, or 0";
        return RefusalResponse::new(ErrorKind::HeaderMalformed, detail).into_response();
    };
    let set = match read_set(&body) {
        Ok(set) => set,
        Err(problems) => return refuse_set(&problems),
    };
    let (done, outcome) = oneshot::channel();
    let publish_request = PublishRequest::Set { base, set, done };
    let sent = state.publisher.send(publish_request).is_ok();
    match outcome.await {
        Ok(PublishOutcome::Published(revision)) if sent => HttpResponse::Ok()
            .insert_header((header::ETAG, format!("\"{revision}\"")))
            .json(serde_json::json!({ "revision": revision })),
        Ok(PublishOutcome::Conflict(newest)) => {
            let detail =
                format!("the newest revision is {newest}; hint: rebase the set on it");
            let mut response =
                RefusalResponse::new(ErrorKind::RevisionConflict, detail).into_response();
            let tag = format!("\"{newest}\"").parse().expect("a number is a valid tag");
            response.headers_mut().insert(header::ETAG, tag);
            response
        }
        _ => RefusalResponse::new(ErrorKind::PublishUnknown, "").into_response(),
    }
}

/// Parses and checks a set.
fn read_set(body: &[u8]) -> Result<ConfigurationSet, Vec<ConfigProblem>> {
    let text = std::str::from_utf8(body).map_err(|_| {
        vec![ConfigProblem {
            file: SET_NAME.to_owned(),
            line: 0,
            section: String::new(),
            message: "the set is not UTF-8 text".to_owned(),
            hint: "send an INI text".to_owned(),
        }]
    })?;
    ConfigurationSet::parse(SET_NAME, text)
}

/// Refuses a set and lists all its problems.
fn refuse_set(problems: &[ConfigProblem]) -> HttpResponse {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    RefusalResponse::new(ErrorKind::SetInvalid, lines.join("\n")).into_response()
}

/// Returns the revision in `If-Match`.
fn base_revision(request: &HttpRequest) -> Option<u64> {
    let value = request.headers().get(header::IF_MATCH)?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok()
}

/// Handles a request for the state of the system, as far as this process knows it.
pub(crate) async fn status(
    state: web::Data<EntryState>,
    request: HttpRequest,
) -> HttpResponse {
    if let Err(refusal) = require_operator(&state, &request) {
        return refusal.into_response();
    }
    let shared = &state.shared;
    let calls = shared.settings.domain_names().into_iter().map(|domain| async {
        let status = fetch_status(&state, &domain);
        let evacuations = fetch_report(shared, &domain, STATUS_TIMEOUT);
        let (status, evacuations) = futures_util::future::join(status, evacuations).await;
        (domain, status, evacuations)
    });
    let reports = futures_util::future::join_all(calls).await;
    let evacuations = reports.iter().map(|row| (row.0.clone(), row.2.clone())).collect();
    let mut evacuations = combine_reports(shared, &evacuations);
    let domains = reports.into_iter().map(|(domain, report, _)| DomainStatus {
        reachable: report.is_some(),
        report,
        evacuation: evacuations.remove(&domain),
        domain,
    });
    let domains = domains.collect();
    let fresh = shared.catalog.fresh_age(shared.now());
    HttpResponse::Ok().json(StatusBody {
        process: shared.settings.name.clone(),
        domain: shared.domain().clone(),
        revision: shared.catalog.view().revision,
        fresh_age_ms: fresh.map(|age| age.as_millis() as u64),
        owner: shared.live_owner(),
        held_slots: shared.held_slots.len(),
        stopping: shared.stopping(),
        domains,
    })
}

/// Fetches the state of a domain from its dispatcher.
async fn fetch_status(state: &EntryState, domain: &Name) -> Option<Box<StatusReport>> {
    let address = state.shared.dispatcher_address(domain)?;
    let call =
        state.shared.link.call(address, PeerMessage::StatusRequest, STATUS_TIMEOUT);
    match call.await {
        Ok(PeerMessage::StatusResponse(report)) => Some(report),
        _ => None,
    }
}
