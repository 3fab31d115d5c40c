//! A request body that records whether a connection has taken it.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_http::body::BodySize;
use actix_http::body::MessageBody;
use bytes::Bytes;

/// A request body that records whether a connection has taken it.
///
/// Until then the receiver can't have got the complete request. An empty body counts as taken, since
/// the request is complete without it.
pub(crate) struct TrackedBody {
    bytes: Bytes,
    taken: Rc<Cell<bool>>,
}

impl TrackedBody {
    /// Creates a body, and the flag that tells whether it was taken.
    pub(crate) fn new(bytes: Bytes) -> (Self, Rc<Cell<bool>>) {
        let taken = Rc::new(Cell::new(bytes.is_empty()));
        (TrackedBody { bytes, taken: Rc::clone(&taken) }, taken)
    }
}

impl MessageBody for TrackedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        self.taken.set(true);
        let bytes = std::mem::take(&mut self.bytes);
        Poll::Ready((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}
