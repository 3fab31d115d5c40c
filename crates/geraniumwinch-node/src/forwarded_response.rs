//! Answers of endpoints on their way to callers.

use actix_http::header::HeaderMap;
use actix_web::HttpResponse;
use actix_web::body::SizedStream;
use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::http::header::HeaderName;
use bytes::Bytes;
use tokio::sync::mpsc;

/// An answer that is ready for the caller.
pub(crate) enum ForwardedResponse {
    /// The whole of a small answer.
    Whole(ResponseHead, Bytes),
    /// The head of a large answer, its length if it is known, and its parts as they come.
    Streamed(
        ResponseHead,
        Option<u64>,
        mpsc::Receiver<std::result::Result<Bytes, TruncatedResponse>>,
    ),
}

/// The head of an answer.
pub(crate) struct ResponseHead {
    /// The status code.
    pub(crate) status: u16,
    /// The headers.
    pub(crate) headers: HeaderMap,
}

/// Breaks the caller's connection, so that a truncated answer can't be taken for a whole one.
#[derive(Debug)]
pub(crate) struct TruncatedResponse;

impl std::fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the endpoint's answer ended before it was whole")
    }
}

impl std::error::Error for TruncatedResponse {}

impl ForwardedResponse {
    /// Turns the answer into a response.
    pub(crate) fn into_response(self) -> HttpResponse {
        match self {
            ForwardedResponse::Whole(head, body) => head.build().body(body),
            ForwardedResponse::Streamed(head, length, receiver) => {
                let stream =
                    futures_util::stream::unfold(receiver, |mut receiver| async {
                        receiver.recv().await.map(|part| (part, receiver))
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
    /// Begins a response with the endpoint's status and headers.
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

/// Returns whether a header belongs to one connection only.
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
