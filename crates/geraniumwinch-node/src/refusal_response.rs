//! Refusals as HTTP answers.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use geraniumwinch_core::ErrorKind;
use serde::Serialize;

use crate::node_metrics;

/// A refusal with its particulars.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RefusalResponse {
    /// Why.
    pub(crate) kind: ErrorKind,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
    /// The particulars for a person.
    pub(crate) detail: String,
}

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    run: &'a str,
    retry_after_ms: Option<u64>,
    detail: &'a str,
}

impl RefusalResponse {
    /// Creates a refusal with the kind's usual time to come back.
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        RefusalResponse {
            kind,
            retry_after: kind.response().retry_after,
            detail: detail.into(),
        }
    }

    /// Creates a refusal that a dispatcher has sent.
    pub(crate) fn from_dispatcher(
        kind: ErrorKind,
        retry_after_ms: Option<u64>,
        detail: &str,
    ) -> Self {
        let retry_after = retry_after_ms.map(Duration::from_millis);
        RefusalResponse { kind, retry_after, detail: detail.to_owned() }
    }

    /// Counts the refusal and turns it into an answer.
    pub(crate) fn into_response(self) -> HttpResponse {
        node_metrics::count_refusal(self.kind);
        let answer = self.kind.response();
        let status =
            StatusCode::from_u16(answer.status).expect("the table holds valid codes");
        let mut response = HttpResponse::build(status);
        if let Some(time) = self.retry_after {
            // The header has whole seconds; the body tells the time more exactly.
            let seconds = time.as_millis().div_ceil(1000).max(1);
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        response.json(RefusalBody {
            error: answer.name,
            run: answer.run.as_str(),
            retry_after_ms: self.retry_after.map(|time| time.as_millis() as u64),
            detail: &self.detail,
        })
    }
}
