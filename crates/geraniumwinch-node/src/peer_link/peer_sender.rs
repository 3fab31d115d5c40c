//! Sending messages to one peer.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumwinch_core::log_event;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::TcpUserTimeout;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::node_metrics;

use super::FrameBatch;
use super::peer_queue::QueuedMessages;

/// Minimum and maximum interval between two attempts to reach a peer.
const RECONNECT: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(250));
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long the system may take to accept a batch for sending.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the system waits for a peer to acknowledge what was sent, in milliseconds.
const ACKNOWLEDGE_TIMEOUT_MS: u32 = 5000;

/// Sends the messages of a queue to a peer, in batches and over one connection at a time.
pub(super) struct PeerSender {
    local: IpAddr,
    peer: SocketAddr,
    queue: QueuedMessages,
    /// A message that didn't fit into the last batch.
    carried: Option<Vec<u8>>,
    connection: Option<TcpStream>,
}

impl PeerSender {
    /// Creates a sender that connects from a local address.
    pub(super) fn new(local: IpAddr, peer: SocketAddr, queue: QueuedMessages) -> Self {
        PeerSender { local, peer, queue, carried: None, connection: None }
    }

    /// Sends messages until the queue is closed.
    pub(super) async fn run(mut self) {
        while let Some(batch) = self.next_batch().await {
            if !self.deliver(&batch).await {
                let messages = batch.messages();
                node_metrics::count_dropped(messages);
                log_event!(
                    Debug,
                    "peer-batch-dropped",
                    peer = self.peer,
                    messages = messages
                );
            }
        }
    }

    /// Waits for messages, and returns as many of them as fit into a batch.
    async fn next_batch(&mut self) -> Option<FrameBatch> {
        let first = match self.carried.take() {
            Some(message) => message,
            None => self.queue.next().await?,
        };
        let mut batch = FrameBatch::default();
        batch.push(&first);
        while let Some(message) = self.queue.try_next() {
            if !batch.push(&message) {
                self.carried = Some(message);
                break;
            }
        }
        Some(batch)
    }

    /// Sends a batch once, as soon as the peer can be reached; returns whether it was sent.
    async fn deliver(&mut self, batch: &FrameBatch) -> bool {
        let Some(mut connection) = self.connect().await else { return false };
        let written = timeout(WRITE_TIMEOUT, connection.write_all(batch.bytes())).await;
        let sent = matches!(written, Ok(Ok(())));
        // A part of a message may have been written, so the connection is of no further use.
        self.connection = sent.then_some(connection);
        sent
    }

    /// Returns the open connection or a new one, or `None` once the queue is closed.
    async fn connect(&mut self) -> Option<TcpStream> {
        if let Some(connection) = self.connection.take().filter(is_open) {
            return Some(connection);
        }
        let (mut pause, longest) = RECONNECT;
        loop {
            match timeout(CONNECT_TIMEOUT, open(self.local, self.peer)).await {
                Ok(Ok(connection)) => return Some(connection),
                _ if self.queue.is_closed() => return None,
                _ => tokio::time::sleep(pause).await,
            }
            pause = (pause * 2).min(longest);
        }
    }
}

/// Opens a connection from a local address.
async fn open(local: IpAddr, peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local, 0))?;
    let connection = socket.connect(peer).await?;
    connection.set_nodelay(true)?;
    // A system without this notices later that a peer is gone.
    let _ = setsockopt(&connection, TcpUserTimeout, &ACKNOWLEDGE_TIMEOUT_MS);
    Ok(connection)
}

/// Returns whether a connection is open. Peers send nothing on it, so a byte is an error, too.
fn is_open(connection: &TcpStream) -> bool {
    let read = connection.try_read(&mut [0]);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
