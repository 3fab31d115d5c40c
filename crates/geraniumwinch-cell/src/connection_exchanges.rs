//! The exchanges of a connection: requests whose response is not written yet.

use std::cell::Cell;
use std::rc::Rc;

use crate::ProcessShutdown;
use crate::connection_table::ConnectionPhase;
use crate::connection_table::ConnectionPlace;

/// The exchanges of a connection.
pub(crate) struct ConnectionExchanges {
    shutdown: Rc<ProcessShutdown>,
    /// The connection's place among those of the listener.
    pub(crate) place: ConnectionPlace,
    /// The number of responses that are in the write buffer.
    buffered: Cell<u64>,
}

impl ConnectionExchanges {
    /// Creates the exchanges of a new connection.
    pub(crate) fn new(shutdown: Rc<ProcessShutdown>, place: ConnectionPlace) -> Rc<Self> {
        Rc::new(ConnectionExchanges { shutdown, place, buffered: Cell::new(0) })
    }

    /// Begins an exchange.
    pub(crate) fn begin(self: &Rc<Self>) -> OpenExchange {
        self.shutdown.exchange_started();
        self.place.set_phase(ConnectionPhase::Serving);
        OpenExchange { connection: Rc::clone(self) }
    }

    /// Ends the exchanges whose responses are in the write buffer: it was written, or the connection
    /// has ended.
    pub(crate) fn end_buffered(&self) {
        let ended = self.buffered.take();
        for _ in 0..ended {
            self.shutdown.exchange_ended();
        }
        if ended > 0 {
            self.place.set_phase(ConnectionPhase::Idle);
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

impl OpenExchange {
    /// Records that the rest of the request's body is awaited, or that the request is complete.
    pub(crate) fn set_receiving(&self, receiving: bool) {
        let phase =
            if receiving { ConnectionPhase::Receiving } else { ConnectionPhase::Serving };
        self.connection.place.set_phase(phase);
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        // From now on, the client may keep the process waiting by not reading.
        self.connection.place.set_phase(ConnectionPhase::Idle);
        let buffered = &self.connection.buffered;
        buffered.set(buffered.get() + 1);
    }
}
