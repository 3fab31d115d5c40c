//! Calls to peers that wait for a response.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use geraniumwinch_wire::PeerMessage;
use tokio::sync::oneshot;

use crate::shared_lock::lock;

/// Calls that wait for a response, by a correlation identifier that is never reused.
#[derive(Debug)]
pub(crate) struct PendingCalls {
    instance: u64,
    next: AtomicU64,
    waiting: Mutex<HashMap<u128, oneshot::Sender<PeerMessage>>>,
}

impl PendingCalls {
    /// Creates a table whose identifiers contain a random number, so that they differ from those of
    /// earlier instances of the process.
    pub(crate) fn new() -> Self {
        PendingCalls {
            instance: rand::random(),
            next: AtomicU64::new(1),
            waiting: Mutex::new(HashMap::new()),
        }
    }

    /// Returns a unique identifier.
    pub(crate) fn next_id(&self) -> u128 {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        (u128::from(self.instance) << 64) | u128::from(next)
    }

    /// Registers a call and returns the receiver of its response.
    pub(crate) fn register(&self, id: u128) -> oneshot::Receiver<PeerMessage> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        receiver
    }

    /// Removes a call that no longer waits for its response.
    pub(crate) fn remove(&self, id: u128) {
        self.lock().remove(&id);
    }

    /// Delivers a response, or returns it if no call waits for it.
    pub(crate) fn deliver(&self, id: u128, response: PeerMessage) -> Option<PeerMessage> {
        let Some(sender) = self.lock().remove(&id) else { return Some(response) };
        sender.send(response).err()
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<u128, oneshot::Sender<PeerMessage>>> {
        lock(&self.waiting)
    }
}
