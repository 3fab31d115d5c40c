//! The body of a response, which keeps its exchange open until the response is buffered.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use actix_http::Payload;
use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use bytes::Bytes;

use crate::connection_exchanges::OpenExchange;

/// The body of a response.
pub(crate) struct ExchangeBody {
    bytes: Bytes,
    _exchange: OpenExchange,
    /// The rest of a request's body that is not read. While it exists, the server closes the connection
    /// after the response, and gives the client time to read it.
    _unread: Option<Payload>,
}

impl ExchangeBody {
    /// Creates the body of an exchange's response.
    pub(crate) fn new(
        bytes: Bytes,
        exchange: OpenExchange,
        unread: Option<Payload>,
    ) -> Self {
        ExchangeBody { bytes, _exchange: exchange, _unread: unread }
    }
}

impl MessageBody for ExchangeBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}
