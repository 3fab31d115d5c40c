//! Responses of endpoints that are forwarded to clients.

use actix_http::header::HeaderMap;
use actix_web::HttpResponse;
use actix_web::body::SizedStream;
use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::http::header::HeaderName;
use bytes::Bytes;
use tokio::sync::mpsc;

/// A response to be sent to the client.
pub(crate) enum ForwardedResponse {
    /// A small response, received completely.
    Buffered(ResponseHead, Bytes),
    /// A large response: its head, its length if known, and its chunks as they are received.
    Streamed(
        ResponseHead,
        Option<u64>,
        mpsc::Receiver<std::result::Result<Bytes, TruncatedResponse>>,
    ),
}

/// The head of a response.
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
}

/// The error that aborts the client's connection, so that a truncated response can't be taken for a
/// complete one.
#[derive(Debug)]
pub(crate) struct TruncatedResponse;

impl std::fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the endpoint's response was truncated")
    }
}

impl std::error::Error for TruncatedResponse {}

impl ForwardedResponse {
    /// Converts the response to one of the HTTP server.
    pub(crate) fn into_response(self) -> HttpResponse {
        match self {
            ForwardedResponse::Buffered(head, body) => head.build().body(body),
            ForwardedResponse::Streamed(head, length, receiver) => {
                let stream =
                    futures_util::stream::unfold(receiver, |mut receiver| async {
                        receiver.recv().await.map(|chunk| (chunk, receiver))
                    });
                let mut response = head.build();
                match length {
                    Some(length) => {
                        response.body(SizedStream::new(length, Box::pin(stream)))
                    }
                    None => response.streaming(stream),
                }
            }
        }
    }
}

impl ResponseHead {
    /// Creates a response builder with the endpoint's status and headers.
    pub(crate) fn build(&self) -> actix_web::HttpResponseBuilder {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        for (name, value) in &self.headers {
            if !is_hop_by_hop_header(name) {
                response.append_header((name.clone(), value.clone()));
            }
        }
        response
    }
}

/// Returns whether a header applies to a single connection and must not be forwarded.
pub(crate) fn is_hop_by_hop_header(name: &HeaderName) -> bool {
    const HOP_BY_HOP: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::TE,
        header::TRAILER,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ];
    HOP_BY_HOP.contains(name) || name.as_str() == "keep-alive"
}
