//! An HTTP exchange with an endpoint over a new connection.
//!
//! Uses the codec of `actix-http`, on which `awc` is built, directly: `awc` reports a connection
//! that closes after the request was sent as a failure to connect, and does not distinguish a
//! truncated body from a complete one. Both distinctions are required here.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::ClientPayloadCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A request to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointRequest {
    pub(crate) method: Method,
    /// The path and the query.
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The response of an endpoint, whose body is still being received.
pub(crate) struct EndpointResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

/// The body of an endpoint's response, read incrementally.
pub(crate) enum ResponseBody {
    /// Nothing is left to read.
    Empty,
    /// The rest is read from the connection.
    Stream(Box<Framed<TcpStream, ClientPayloadCodec>>),
}

/// The result of reading from a body.
#[derive(Debug)]
pub(crate) enum BodyPart {
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// The connection ended before the body was complete.
    Truncated,
}

/// The reason why there is no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint may have executed the request.
    OutcomeUnknown,
}

/// Connects to an endpoint from a local IP address.
async fn connect(local: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request over a new connection and reads the head of the response.
///
/// `may_send` is called immediately before the first byte is sent.
pub(crate) async fn exchange(
    local: IpAddr,
    address: &str,
    request: EndpointRequest,
    may_send: impl FnOnce() -> bool,
) -> std::result::Result<EndpointResponse, ExchangeError> {
    let address: SocketAddr = address.parse().map_err(|_| ExchangeError::NotSent)?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect(local, address)).await;
    let Ok(Ok(stream)) = stream else { return Err(ExchangeError::NotSent) };
    if !may_send() {
        return Err(ExchangeError::NotSent);
    }
    let mut framed = Framed::new(stream, ClientCodec::default());
    send(&mut framed, request).await.map_err(|_| ExchangeError::OutcomeUnknown)?;
    let Some(Ok(head)) = framed.next().await else {
        return Err(ExchangeError::OutcomeUnknown);
    };
    let body = match framed.codec_ref().message_type() {
        MessageType::None => ResponseBody::Empty,
        MessageType::Payload | MessageType::Stream => ResponseBody::Stream(Box::new(
            framed.into_map_codec(|codec| codec.into_payload_codec()),
        )),
    };
    Ok(EndpointResponse {
        status: head.status.as_u16(),
        headers: head.headers.clone(),
        body,
    })
}

async fn send(
    framed: &mut Framed<TcpStream, ClientCodec>,
    request: EndpointRequest,
) -> std::io::Result<()> {
    let mut head = RequestHead::default();
    head.method = request.method;
    head.uri = request.target.parse().map_err(std::io::Error::other)?;
    head.headers = request.headers;
    head.set_connection_type(actix_http::ConnectionType::Close);
    let size = match request.body.len() {
        0 => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let head = RequestHeadType::Owned(head);
    framed.feed(Message::Item((head, size))).await?;
    if !request.body.is_empty() {
        framed.feed(Message::Chunk(Some(request.body))).await?;
        framed.feed(Message::Chunk(None)).await?;
    }
    framed.flush().await
}

impl ResponseBody {
    pub(crate) async fn next(&mut self) -> BodyPart {
        let ResponseBody::Stream(framed) = self else { return BodyPart::End };
        match framed.next().await {
            Some(Ok(Some(chunk))) => BodyPart::Chunk(chunk),
            Some(Ok(None)) => {
                *self = ResponseBody::Empty;
                BodyPart::End
            }
            Some(Err(_)) | None => BodyPart::Truncated,
        }
    }
}
