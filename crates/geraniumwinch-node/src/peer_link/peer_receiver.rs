//! Receiving messages from peers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::log_event;
use geraniumwinch_intake::BodyBudget;
use geraniumwinch_intake::BodyLimits;
use geraniumwinch_intake::VmLimits;
use geraniumwinch_intake::read_body;
use geraniumwinch_wire::MAX_MESSAGE_BYTES;
use tokio::io::AsyncReadExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::io::ReaderStream;

use crate::node_metrics;
use crate::supervised_loop::supervise;

use super::PeerLink;
use super::connection_table::ConnectionKey;
use super::connection_table::ConnectionTable;

/// The limits of a message.
const MESSAGE_LIMITS: BodyLimits = BodyLimits {
    max_bytes: MAX_MESSAGE_BYTES,
    max_pause: Duration::from_secs(5),
    max_time: Duration::from_secs(15),
};
/// The share of the connections whose messages may be incomplete.
const INCOMPLETE_SHARE: usize = 2;
/// The size of the buffer of a connection, and of the pieces in which a message is read, in bytes.
const READ_BYTES: usize = 4096;
/// Delay before another connection is accepted after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives messages from all peers.
pub(super) struct PeerReceiver {
    link: Arc<PeerLink>,
    budget: BodyBudget,
    connections: RefCell<ConnectionTable>,
}

impl PeerReceiver {
    /// Starts to receive on a listener, on the current thread and within the limits of a VM.
    pub(super) fn start(
        link: Arc<PeerLink>,
        listener: std::net::TcpListener,
        vm: &VmLimits,
    ) {
        let connections = vm.peer_connections();
        let budget = BodyBudget::new(vm.body_bytes(MAX_MESSAGE_BYTES))
            .with_incomplete(connections / INCOMPLETE_SHARE);
        let connections = RefCell::new(ConnectionTable::new(connections));
        let receiver = Rc::new(PeerReceiver { link, budget, connections });
        supervise("peer-listener", move || {
            let listener = listener.try_clone().and_then(TcpListener::from_std);
            receiver.clone().accept(listener).boxed_local()
        });
    }

    /// Accepts connections.
    async fn accept(self: Rc<Self>, listener: std::io::Result<TcpListener>) {
        let listener = match listener {
            Ok(listener) => listener,
            Err(error) => return log_event!(Error, "peer-accept-failed", error = error),
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().add(stream).await,
                Err(error) => {
                    log_event!(Warn, "peer-accept-failed", error = error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Receives from a connection, and waits until there is room for another one.
    async fn add(self: Rc<Self>, stream: TcpStream) {
        let key = self.connections.borrow_mut().open();
        let guard = ConnectionGuard { receiver: self.clone(), key };
        let task = actix_rt::spawn(self.clone().receive(stream, guard));
        self.connections.borrow_mut().set_task(key, task.abort_handle());
        while self.connections.borrow().is_crowded() {
            tokio::task::yield_now().await;
        }
    }

    /// Receives messages until the connection ends or breaks a limit.
    async fn receive(self: Rc<Self>, stream: TcpStream, guard: ConnectionGuard) {
        let mut reader = BufReader::with_capacity(READ_BYTES, stream);
        while let Ok(length) = reader.read_u32_le().await {
            match self.read_message(&mut reader, length).await {
                Ok(message) => self.link.handle_bytes(&message),
                Err(reason) => {
                    node_metrics::count_message("refused");
                    log_event!(Warn, "peer-message-refused", reason = reason);
                    break;
                }
            }
            self.connections.borrow_mut().touch(guard.key);
        }
    }

    /// Reads a message whose length is known.
    async fn read_message(
        &self,
        reader: &mut BufReader<TcpStream>,
        length: u32,
    ) -> Result<bytes::Bytes, ErrorKind> {
        let lease = self.budget.open();
        let length = u64::from(length);
        let mut pieces = ReaderStream::with_capacity(reader.take(length), READ_BYTES);
        let message =
            read_body(&mut pieces, Some(length), &MESSAGE_LIMITS, &lease).await?;
        if message.len() as u64 == length {
            Ok(message)
        } else {
            Err(ErrorKind::BodyIncomplete)
        }
    }
}

/// Removes a connection when its task ends.
struct ConnectionGuard {
    receiver: Rc<PeerReceiver>,
    key: ConnectionKey,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.receiver.connections.borrow_mut().close(self.key);
    }
}
