//! HTTP handlers for evacuations of failure domains, and what the status says of them.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use geraniumwinch_config::EvacuationProblem;
use geraniumwinch_config::EvacuationSet;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_wire::DomainDrain;
use geraniumwinch_wire::EvacuationReport;
use geraniumwinch_wire::PeerMessage;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::entry_server::EntryState;
use crate::node_shared::NodeShared;
use crate::operator_handlers::require_operator;
use crate::publish_request::EvacuationChange;
use crate::publish_request::EvacuationOutcome;
use crate::publish_request::PublishRequest;
use crate::refusal_response::RefusalResponse;

/// The parameters of a request to evacuate a domain.
#[derive(Debug, Deserialize)]
pub(crate) struct EvacuationParameters {
    /// Whether the domain may be the last one that is not evacuated.
    #[serde(default)]
    last: bool,
}

/// The evacuation of a domain in a status response.
#[derive(Debug, Serialize)]
pub(crate) struct EvacuationStatus {
    /// The revision whose evacuations are in force at the domain's dispatcher.
    revision: Option<u64>,
    /// Whether the dispatcher starts nothing; `None` if it did not respond.
    in_force: Option<bool>,
    /// When the evacuation was requested, as Unix time in milliseconds.
    since_ms: Option<u64>,
    /// The work that is left, and whether there is none.
    drain: Option<DomainDrain>,
    empty: Option<bool>,
}

/// Handles a request to evacuate a domain.
pub(crate) async fn request_evacuation(
    state: web::Data<EntryState>,
    request: HttpRequest,
    domain: web::Path<String>,
    parameters: web::Query<EvacuationParameters>,
) -> HttpResponse {
    let domain = domain.into_inner().into();
    let change = EvacuationChange { domain, evacuates: true, last: parameters.last };
    publish(&state, &request, change).await
}

/// Handles a request to take an evacuated domain back.
pub(crate) async fn take_back(
    state: web::Data<EntryState>,
    request: HttpRequest,
    domain: web::Path<String>,
) -> HttpResponse {
    let domain = domain.into_inner().into();
    let change = EvacuationChange { domain, evacuates: false, last: false };
    publish(&state, &request, change).await
}

/// Publishes a change if it comes from an operator, and responds once the store has it.
async fn publish(
    state: &EntryState,
    request: &HttpRequest,
    change: EvacuationChange,
) -> HttpResponse {
    if let Err(refusal) = require_operator(state, request) {
        return refusal.into_response();
    }
    let (done, outcome) = oneshot::channel();
    let _ = state.publisher.send(PublishRequest::Evacuation { change, done });
    match outcome.await {
        Ok(EvacuationOutcome::Stored { revision, evacuation }) => HttpResponse::Ok()
            .json(serde_json::json!({
                "revision": revision,
                "since_ms": evacuation.map(|evacuation| evacuation.since_ms),
            })),
        Ok(EvacuationOutcome::Refused(problem)) => {
            let kind = match problem {
                EvacuationProblem::UnknownDomain { .. } => ErrorKind::DomainUnknown,
                EvacuationProblem::LastDomain { .. } => ErrorKind::DomainLast,
            };
            RefusalResponse::new(kind, problem.to_string()).into_response()
        }
        Ok(EvacuationOutcome::Unknown) | Err(_) => {
            let detail =
                "hint: repeat the request, which changes nothing if it was stored";
            RefusalResponse::new(ErrorKind::PublishUnknown, detail).into_response()
        }
    }
}

/// Fetches the evacuations that are in force at the dispatcher of a domain.
pub(crate) async fn fetch_report(
    shared: &NodeShared,
    domain: &Name,
    timeout: Duration,
) -> Option<EvacuationReport> {
    let address = shared.dispatcher_address(domain)?;
    match shared.link.call(address, PeerMessage::EvacuationRequest, timeout).await {
        Ok(PeerMessage::EvacuationResponse(report)) => Some(*report),
        _ => None,
    }
}

/// Combines the reports of all domains; what the newest one says is evacuated holds for the others.
pub(crate) fn combine_reports(
    shared: &NodeShared,
    reports: &BTreeMap<Name, Option<EvacuationReport>>,
) -> BTreeMap<Name, EvacuationStatus> {
    let (known, own) = shared.evacuations.view();
    let reported = reports.values().flatten();
    let newest = reported.max_by_key(|report| report.revision);
    let evacuated = match newest {
        Some(report) if report.revision >= known => &report.evacuated,
        _ => &*own,
    };
    let status = |(domain, report): (&Name, &Option<EvacuationReport>)| {
        (domain.clone(), domain_status(domain, report.as_ref(), evacuated))
    };
    reports.iter().map(status).collect()
}

/// Returns what the status says of a domain.
fn domain_status(
    domain: &Name,
    report: Option<&EvacuationReport>,
    evacuated: &EvacuationSet,
) -> EvacuationStatus {
    EvacuationStatus {
        revision: report.map(|report| report.revision),
        in_force: report.map(|report| report.evacuated.get(domain).is_some()),
        since_ms: evacuated.get(domain).map(|evacuation| evacuation.since_ms),
        drain: report.map(|report| report.drain),
        empty: report.map(|report| report.drain.is_empty()),
    }
}
