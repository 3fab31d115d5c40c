//! Calls to peers that wait for their answers.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use geraniumwinch_wire::PeerMessage;
use tokio::sync::oneshot;

use crate::shared_lock::lock;

/// Calls that wait for their answers, by a correlation identifier that is never reused.
#[derive(Debug)]
pub(crate) struct PendingCalls {
    instance: u64,
    next: AtomicU64,
    waiting: Mutex<HashMap<u128, oneshot::Sender<PeerMessage>>>,
}

impl PendingCalls {
    /// Creates a table whose identifiers carry a random number of this process instance.
    pub(crate) fn new() -> Self {
        PendingCalls {
            instance: rand::random(),
            next: AtomicU64::new(1),
            waiting: Mutex::new(HashMap::new()),
        }
    }

    /// Returns an identifier that no other call has.
    pub(crate) fn next_id(&self) -> u128 {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        (u128::from(self.instance) << 64) | u128::from(next)
    }

    /// Registers a call.
    pub(crate) fn register(&self, id: u128) -> oneshot::Receiver<PeerMessage> {
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        receiver
    }

    /// Forgets a call whose answer nobody waits for any more.
    pub(crate) fn remove(&self, id: u128) {
        self.lock().remove(&id);
    }

    /// Delivers an answer, or hands it back if nobody waits for it.
    pub(crate) fn deliver(&self, id: u128, response: PeerMessage) -> Option<PeerMessage> {
        let Some(sender) = self.lock().remove(&id) else { return Some(response) };
        sender.send(response).err()
    }

    /// Locks the table.
    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<u128, oneshot::Sender<PeerMessage>>> {
        lock(&self.waiting)
    }
}
