//! The messages that wait to be sent to a peer.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use geraniumwinch_wire::MAX_MESSAGE_BYTES;
use tokio::sync::mpsc;

/// Maximum number of messages that wait for a peer; further ones are dropped.
const MAX_MESSAGES: usize = 2048;
/// Maximum size of the messages that wait for a peer, in bytes.
const MAX_BYTES: usize = 2 * MAX_MESSAGE_BYTES;

/// The end of a queue at which messages for a peer are added.
#[derive(Debug)]
pub(super) struct PeerQueue {
    sender: mpsc::Sender<Vec<u8>>,
    bytes: Arc<AtomicUsize>,
    used: Instant,
}

/// The end of a queue from which messages for a peer are sent.
#[derive(Debug)]
pub(super) struct QueuedMessages {
    receiver: mpsc::Receiver<Vec<u8>>,
    bytes: Arc<AtomicUsize>,
}

impl PeerQueue {
    /// Creates an empty queue.
    pub(super) fn open() -> (PeerQueue, QueuedMessages) {
        let (sender, receiver) = mpsc::channel(MAX_MESSAGES);
        let bytes = Arc::new(AtomicUsize::new(0));
        let queue = PeerQueue { sender, bytes: bytes.clone(), used: Instant::now() };
        (queue, QueuedMessages { receiver, bytes })
    }

    /// Adds a message if there is space for it, and returns whether there was.
    pub(super) fn push(&mut self, message: Vec<u8>) -> bool {
        self.used = Instant::now();
        let size = message.len();
        if self.bytes.fetch_add(size, Ordering::Relaxed) + size <= MAX_BYTES
            && self.sender.try_send(message).is_ok()
        {
            return true;
        }
        self.bytes.fetch_sub(size, Ordering::Relaxed);
        false
    }

    /// Returns when the last message was added.
    pub(super) fn used(&self) -> Instant {
        self.used
    }
}

impl QueuedMessages {
    /// Waits for a message, or returns `None` once the queue is closed and empty.
    pub(super) async fn next(&mut self) -> Option<Vec<u8>> {
        let message = self.receiver.recv().await;
        self.subtract(message)
    }

    /// Returns a message if one waits.
    pub(super) fn try_next(&mut self) -> Option<Vec<u8>> {
        let message = self.receiver.try_recv().ok();
        self.subtract(message)
    }

    /// Returns whether no further messages will be added.
    pub(super) fn is_closed(&self) -> bool {
        self.receiver.is_closed()
    }

    fn subtract(&self, message: Option<Vec<u8>>) -> Option<Vec<u8>> {
        let size = message.as_ref().map_or(0, Vec::len);
        self.bytes.fetch_sub(size, Ordering::Relaxed);
        message
    }
}
