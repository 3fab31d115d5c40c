//! The message transport between the system's own processes.

mod connection_table;
mod frame_batch;
mod peer_queue;
mod peer_receiver;
mod peer_sender;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use actix_rt::Arbiter;
use geraniumwinch_core::log_event;
use geraniumwinch_intake::VmLimits;
use geraniumwinch_wire::PeerEnvelope;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;
use snafu::ResultExt;

use crate::NodeError;
use crate::Result;
use crate::bounded_listener::listen;
use crate::node_error::PeerListenSnafu;
use crate::node_metrics;
use crate::pending_calls::PendingCalls;
use crate::shared_lock::lock;

use self::frame_batch::FrameBatch;
use self::peer_queue::PeerQueue;
use self::peer_receiver::PeerReceiver;
use self::peer_sender::PeerSender;

/// How long the connection to a peer is kept open after the last message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Handles a received message.
pub(crate) type EnvelopeHandler = Box<dyn Fn(PeerEnvelope) + Send + Sync>;

/// Sends messages to peers and receives messages from them.
///
/// Each process accepts connections from its peers and opens one to each peer that it sends to. A message
/// is delivered at most once, since it is written only once.
pub(crate) struct PeerLink {
    identity: PeerIdentity,
    local: SocketAddr,
    /// The thread that sends and receives.
    thread: Arbiter,
    queues: Mutex<HashMap<SocketAddr, PeerQueue>>,
    calls: PendingCalls,
    handler: OnceLock<EnvelopeHandler>,
}

impl PeerLink {
    /// Creates a link that will listen on `local`.
    pub(crate) fn new(identity: PeerIdentity, local: SocketAddr) -> Arc<Self> {
        Arc::new(PeerLink {
            identity,
            local,
            thread: Arbiter::new(),
            queues: Mutex::new(HashMap::new()),
            calls: PendingCalls::new(),
            handler: OnceLock::new(),
        })
    }

    /// Starts to receive on a VM; `handler` is called with every message except awaited responses.
    pub(crate) fn listen(
        self: &Arc<Self>,
        vm: &VmLimits,
        handler: EnvelopeHandler,
    ) -> Result<()> {
        if self.handler.set(handler).is_err() {
            unreachable!("the link listens once");
        }
        let address = self.local;
        let listener = listen(address).context(PeerListenSnafu { address })?;
        let (link, vm) = (self.clone(), *vm);
        self.thread.spawn_fn(move || PeerReceiver::start(link, listener, &vm));
        Ok(())
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
        if !self.enqueue(to, bytes) {
            node_metrics::count_message("dropped");
            log_event!(Debug, "peer-queue-full", peer = to);
        }
    }

    /// Queues an encoded message for a peer, and returns whether there was space for it.
    fn enqueue(&self, to: SocketAddr, bytes: Vec<u8>) -> bool {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(to).or_insert_with(|| {
            let (queue, messages) = PeerQueue::open();
            let local = self.local.ip();
            self.thread.spawn_fn(move || {
                actix_rt::spawn(PeerSender::new(local, to, messages).run());
            });
            queue
        });
        queue.push(bytes)
    }

    /// Ends the senders that have been idle for [`IDLE_TIMEOUT`].
    pub(crate) fn close_idle(&self, now: Instant) {
        let mut queues = lock(&self.queues);
        queues.retain(|_, queue| {
            now.saturating_duration_since(queue.used()) < IDLE_TIMEOUT
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
