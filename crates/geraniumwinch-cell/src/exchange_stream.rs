//! The stream of a connection, which tells when the responses in its write buffer are written, and hands
//! out what is received in small parts.

use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::connection_exchanges::ConnectionExchanges;

/// The result of an I/O operation.
type Result<T> = std::io::Result<T>;

/// The number of bytes that a connection hands out in a turn, so that the server keeps few of them unread,
/// and few chunks of a body.
const TURN_BYTES: usize = 4 * 1024;

/// The stream of a connection.
pub(crate) struct ExchangeStream {
    stream: TcpStream,
    /// The number of bytes that were handed out in this turn.
    handed_out: usize,
    pub(crate) exchanges: Rc<ConnectionExchanges>,
}

impl ExchangeStream {
    /// Creates the stream of a connection with its exchanges.
    pub(crate) fn new(stream: TcpStream, exchanges: Rc<ConnectionExchanges>) -> Self {
        ExchangeStream { stream, handed_out: 0, exchanges }
    }
}

impl Drop for ExchangeStream {
    fn drop(&mut self) {
        self.exchanges.end_buffered();
    }
}

impl AsyncRead for ExchangeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.handed_out >= TURN_BYTES {
            self.handed_out = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let room = buffer.remaining().min(TURN_BYTES - self.handed_out);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        if read.is_pending() {
            self.handed_out = 0;
        } else {
            self.handed_out += count;
        }
        read
    }
}

impl AsyncWrite for ExchangeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    /// Flushes the stream. The HTTP service calls this only when its write buffer is empty.
    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.exchanges.end_buffered();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for ExchangeStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
