//! The requests and responses of the HTTP server.

use std::time::Duration;

use actix_http::header::HeaderMap;
use bytes::Bytes;

/// A request.
#[derive(Debug)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body; empty until it is received.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a header if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The content type of the body; empty if there is none.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
    /// The value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl HttpResponse {
    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        HttpResponse::new(status, "", Bytes::new())
    }

    /// Creates a response with a body.
    pub fn new(status: u16, content_type: &'static str, body: Bytes) -> Self {
        HttpResponse { status, content_type, body, retry_after: None, close: false }
    }
}
