//! HTTP calls between the processes of a cell.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;

use crate::CallClient;
use crate::CallError;
use crate::CallRequest;
use crate::CallResponse;
use crate::HttpResponse;
use crate::MAX_RESPONSE_BYTES;
use crate::Result;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;

/// The path of peer requests.
const PEER_PATH: &str = "/peer";
/// The content type of peer messages.
const CONTENT_TYPE: &str = "application/octet-stream";

/// A client for calls to peers.
#[derive(Clone)]
pub(crate) struct PeerClient {
    client: CallClient,
}

impl PeerClient {
    pub(crate) fn new(client: CallClient) -> Self {
        PeerClient { client }
    }

    /// Calls a peer and returns its reply.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply> {
        let call = peer_call(to, request, timeout)?;
        decode_reply(self.client.call(call).await?)
    }

    /// Calls a peer and returns its reply, unless `abandoned` completes before.
    pub(crate) async fn call_until(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
        abandoned: impl Future<Output = ()>,
    ) -> Result<PeerReply> {
        let call = peer_call(to, request, timeout)?;
        decode_reply(self.client.call_until(call, abandoned).await?)
    }
}

/// Creates the HTTP request for a call to a peer.
fn peer_call(
    to: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<CallRequest> {
    let body = postcard::to_stdvec(request)
        .map_err(|error| CallError::NotSent { message: error.to_string() })?;
    Ok(CallRequest {
        method: Method::POST,
        url: format!("http://{to}{PEER_PATH}"),
        headers: Vec::new(),
        content_type: CONTENT_TYPE,
        body: body.into(),
        timeout,
        max_response: MAX_RESPONSE_BYTES,
    })
}

/// Decodes a peer's reply.
fn decode_reply(response: CallResponse) -> Result<PeerReply> {
    if response.status != 200 {
        return Err(CallError::Refused { status: response.status });
    }
    postcard::from_bytes(&response.body)
        .map_err(|error| CallError::Malformed { message: error.to_string() })
}

/// Decodes the request of a peer.
pub(crate) fn decode_request(body: &Bytes) -> Option<PeerRequest> {
    postcard::from_bytes(body).ok()
}

/// Encodes a reply to a peer.
pub(crate) fn encode_reply(reply: &PeerReply) -> HttpResponse {
    match postcard::to_stdvec(reply) {
        Ok(body) => HttpResponse::new(200, CONTENT_TYPE, body.into()),
        Err(_) => HttpResponse::empty(500),
    }
}
