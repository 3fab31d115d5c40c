//! HTTP calls between the processes of a cell.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use bytes::Bytes;

use crate::CallClient;
use crate::CallError;
use crate::CallRequest;
use crate::HttpResponse;
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
        let body = postcard::to_stdvec(request)
            .map_err(|error| CallError::NotSent { message: error.to_string() })?;
        let response = self
            .client
            .call(CallRequest {
                method: Method::POST,
                url: format!("http://{to}{PEER_PATH}"),
                headers: Vec::new(),
                content_type: CONTENT_TYPE,
                body: body.into(),
                timeout,
            })
            .await?;
        if response.status != 200 {
            return Err(CallError::Refused { status: response.status });
        }
        postcard::from_bytes(&response.body)
            .map_err(|error| CallError::Malformed { message: error.to_string() })
    }
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
