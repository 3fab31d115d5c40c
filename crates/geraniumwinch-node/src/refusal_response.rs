//! HTTP responses for refused requests.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header;
use geraniumwinch_core::ErrorKind;
use serde::Serialize;

use crate::node_metrics;

/// A refusal with its details.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RefusalResponse {
    /// The reason.
    pub(crate) kind: ErrorKind,
    /// How long the client should wait before a retry.
    pub(crate) retry_after: Option<Duration>,
    /// Human-readable details.
    pub(crate) detail: String,
}

/// The body of a refusal response.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    run: &'a str,
    retry_after_ms: Option<u64>,
    detail: &'a str,
}

impl RefusalResponse {
    /// Creates a refusal with the default retry delay of its kind.
    pub(crate) fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        RefusalResponse {
            kind,
            retry_after: kind.response().retry_after,
            detail: detail.into(),
        }
    }

    /// Creates a refusal from the response of a dispatcher.
    pub(crate) fn from_dispatcher(
        kind: ErrorKind,
        retry_after_ms: Option<u64>,
        detail: &str,
    ) -> Self {
        let retry_after = retry_after_ms.map(Duration::from_millis);
        RefusalResponse { kind, retry_after, detail: detail.to_owned() }
    }

    /// Counts the refusal and converts it to an HTTP response.
    pub(crate) fn into_response(self) -> HttpResponse {
        node_metrics::count_refusal(self.kind);
        let kind_response = self.kind.response();
        let status = StatusCode::from_u16(kind_response.status)
            .expect("the table holds valid codes");
        let mut response = HttpResponse::build(status);
        if let Some(time) = self.retry_after {
            // The header is in whole seconds; the body has the delay in milliseconds.
            let seconds = time.as_micros().div_ceil(1_000_000);
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        response.json(RefusalBody {
            error: kind_response.name,
            run: kind_response.run.as_str(),
            retry_after_ms: self.retry_after.map(|time| time.as_millis() as u64),
            detail: &self.detail,
        })
    }
}
