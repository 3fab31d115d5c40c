//! The message transport between the system's own processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::log_event;
use geraniumwinch_wire::MAX_MESSAGE_BYTES;
use geraniumwinch_wire::PeerEnvelope;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::RecvMaxSize;
use nng::options::SendBufferSize;
use snafu::ResultExt;

use crate::NodeError;
use crate::Result;
use crate::node_error::PeerListenSnafu;
use crate::node_metrics;
use crate::pending_calls::PendingCalls;
use crate::shared_lock::lock;

/// Number of messages that are buffered until a peer is connected; further ones are dropped.
const SEND_BUFFER_MESSAGES: i32 = 2048;
/// Minimum and maximum interval between two attempts to connect to a peer.
const RECONNECT: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(250));
/// How long the connection to a peer is kept open after the last message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles a received message.
pub(crate) type EnvelopeHandler = Box<dyn Fn(PeerEnvelope) + Send + Sync>;

/// The outgoing connection to a peer, with the time of its last use.
struct PeerConnection {
    socket: Socket,
    used: Instant,
}

/// Sends messages to peers and receives messages from them.
///
/// Each process listens on one socket of the Pull protocol and opens one socket of the Push
/// protocol per peer. A message is delivered at most once, since neither protocol resends.
pub(crate) struct PeerLink {
    identity: PeerIdentity,
    local: SocketAddr,
    connections: Mutex<HashMap<SocketAddr, PeerConnection>>,
    calls: PendingCalls,
    handler: OnceLock<EnvelopeHandler>,
}

impl PeerLink {
    /// Creates a link that will listen on `local`.
    pub(crate) fn new(identity: PeerIdentity, local: SocketAddr) -> Arc<Self> {
        Arc::new(PeerLink {
            identity,
            local,
            connections: Mutex::new(HashMap::new()),
            calls: PendingCalls::new(),
            handler: OnceLock::new(),
        })
    }

    /// Starts to receive; `handler` is called with every message except awaited responses.
    pub(crate) fn listen(self: &Arc<Self>, handler: EnvelopeHandler) -> Result<()> {
        let address = self.local;
        let context = || PeerListenSnafu { address };
        let socket = Socket::new(Protocol::Pull0).with_context(|_| context())?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES).with_context(|_| context())?;
        socket.listen(&format!("tcp://{address}")).with_context(|_| context())?;
        if self.handler.set(handler).is_err() {
            unreachable!("the link listens once");
        }
        let link = Arc::clone(self);
        std::thread::spawn(move || link.receive(&socket));
        Ok(())
    }

    /// Receives messages until the process ends.
    fn receive(&self, socket: &Socket) {
        loop {
            match socket.recv() {
                Ok(message) => self.handle_bytes(&message),
                Err(nng::Error::Closed) => return,
                Err(error) => log_event!(Warn, "peer-receive-failed", error = error),
            }
        }
    }

    /// Decodes a message and routes it.
    fn handle_bytes(&self, message: &[u8]) {
        match PeerEnvelope::decode(message) {
            Ok(envelope) => self.route(envelope),
            Err(error) => {
                node_metrics::count_message("refused");
                log_event!(Warn, "peer-message-refused", error = error);
            }
        }
    }

    /// Delivers a response to the waiting call, and any other message to the handler.
    fn route(&self, envelope: PeerEnvelope) {
        let PeerEnvelope { from, correlation, is_response, body } = envelope;
        let body =
            if is_response { self.calls.deliver(correlation, body) } else { Some(body) };
        let Some(body) = body else { return };
        if let Some(handler) = self.handler.get() {
            handler(PeerEnvelope { from, correlation, is_response, body });
        }
    }

    /// Returns the identity of this process.
    pub(crate) fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Returns a unique identifier for a call or a request.
    pub(crate) fn next_id(&self) -> u128 {
        self.calls.next_id()
    }

    /// Sends a message that expects no response.
    pub(crate) fn send(&self, to: SocketAddr, body: PeerMessage) {
        self.send_envelope(to, 0, false, body);
    }

    /// Responds to a call.
    pub(crate) fn respond(&self, to: SocketAddr, correlation: u128, body: PeerMessage) {
        self.send_envelope(to, correlation, true, body);
    }

    /// Calls a peer and waits for the response.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        body: PeerMessage,
        timeout: Duration,
    ) -> Result<PeerMessage> {
        let id = self.next_id();
        let receiver = self.calls.register(id);
        let guard = CallGuard { link: self, id };
        self.send_envelope(to, id, false, body);
        let response = tokio::time::timeout(timeout, receiver).await;
        drop(guard);
        match response {
            Ok(Ok(response)) => Ok(response),
            _ => Err(NodeError::PeerTimeout { address: to }),
        }
    }

    /// Sends a message, or routes it directly if it is addressed to this process.
    fn send_envelope(
        &self,
        to: SocketAddr,
        correlation: u128,
        is_response: bool,
        body: PeerMessage,
    ) {
        let envelope =
            PeerEnvelope { from: self.identity.clone(), correlation, is_response, body };
        if to == self.identity.address {
            self.route(envelope);
            return;
        }
        let bytes = match envelope.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log_event!(Error, "peer-encode-failed", error = error);
                return;
            }
        };
        node_metrics::count_sent(bytes.len());
        if let Err(error) = self.send_bytes(to, &bytes) {
            node_metrics::count_message("dropped");
            log_event!(Debug, "peer-send-failed", peer = to, error = error);
        }
    }

    /// Sends bytes over the connection to a peer, which is opened if there is none.
    fn send_bytes(
        &self,
        to: SocketAddr,
        bytes: &[u8],
    ) -> std::result::Result<(), nng::Error> {
        let mut connections = lock(&self.connections);
        let now = Instant::now();
        let connection = match connections.entry(to) {
            std::collections::hash_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::hash_map::Entry::Vacant(entry) => {
                let socket = self.connect(to)?;
                entry.insert(PeerConnection { socket, used: now })
            }
        };
        connection.used = now;
        connection.socket.try_send(bytes).map_err(|(_, error)| error)
    }

    /// Opens a connection to a peer from the IP address of this process.
    fn connect(&self, to: SocketAddr) -> std::result::Result<Socket, nng::Error> {
        let socket = Socket::new(Protocol::Push0)?;
        socket.set_opt::<SendBufferSize>(SEND_BUFFER_MESSAGES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT.0))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT.1))?;
        socket.dial_async(&format!("tcp://{};{to}", self.local.ip()))?;
        Ok(socket)
    }

    /// Closes the connections that have been idle for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&self, now: Instant) {
        let mut connections = lock(&self.connections);
        connections.retain(|_, connection| {
            now.saturating_duration_since(connection.used) < IDLE_TIMEOUT
        });
    }
}

/// Removes a pending call when its future completes or is dropped.
struct CallGuard<'a> {
    link: &'a PeerLink,
    id: u128,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.link.calls.remove(self.id);
    }
}
