//! The exchanges of a connection: requests whose response is not written yet.

use std::cell::Cell;
use std::rc::Rc;

use crate::ProcessShutdown;

/// The exchanges of a connection.
pub(crate) struct ConnectionExchanges {
    shutdown: Rc<ProcessShutdown>,
    /// The number of responses that are in the write buffer.
    buffered: Cell<u64>,
}

impl ConnectionExchanges {
    /// Creates the exchanges of a new connection.
    pub(crate) fn new(shutdown: Rc<ProcessShutdown>) -> Rc<Self> {
        Rc::new(ConnectionExchanges { shutdown, buffered: Cell::new(0) })
    }

    /// Begins an exchange.
    pub(crate) fn begin(self: &Rc<Self>) -> OpenExchange {
        self.shutdown.exchange_started();
        OpenExchange { connection: Rc::clone(self) }
    }

    /// Ends the exchanges whose responses are in the write buffer: it was written, or the connection
    /// has ended.
    pub(crate) fn end_buffered(&self) {
        for _ in 0..self.buffered.take() {
            self.shutdown.exchange_ended();
        }
    }
}

impl Drop for ConnectionExchanges {
    fn drop(&mut self) {
        self.end_buffered();
    }
}

/// An exchange whose response is not in the write buffer yet.
///
/// It is dropped when the response is buffered, or when the connection ends.
pub(crate) struct OpenExchange {
    connection: Rc<ConnectionExchanges>,
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        let buffered = &self.connection.buffered;
        buffered.set(buffered.get() + 1);
    }
}
