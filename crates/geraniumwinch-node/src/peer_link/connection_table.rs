//! The connections over which messages are received.

use std::time::Instant;

use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::task::AbortHandle;

new_key_type! {
    /// Identifies a connection.
    pub(super) struct ConnectionKey;
}

/// The connections over which messages are received, up to a maximum number.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    limit: usize,
    connections: SlotMap<ConnectionKey, OpenConnection>,
    /// The number of connections whose tasks have not ended, also of those that were given up.
    running: usize,
}

/// A connection.
#[derive(Debug)]
struct OpenConnection {
    /// When it was opened or the last message received.
    used: Instant,
    /// The task that receives from it.
    task: Option<AbortHandle>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub(super) fn new(limit: usize) -> Self {
        ConnectionTable { limit, connections: SlotMap::with_key(), running: 0 }
    }

    /// Returns whether connections that were given up still have to end before another one is accepted.
    pub(super) fn is_crowded(&self) -> bool {
        self.running > self.limit
    }

    /// Adds a connection. If there is no room, the one that has been silent for the longest time is given
    /// up.
    pub(super) fn open(&mut self) -> ConnectionKey {
        self.running += 1;
        if self.connections.len() >= self.limit {
            let oldest = self.connections.iter().min_by_key(|(_, open)| open.used);
            if let Some(key) = oldest.map(|(key, _)| key)
                && let Some(open) = self.connections.remove(key)
                && let Some(task) = open.task
            {
                task.abort();
            }
        }
        self.connections.insert(OpenConnection { used: Instant::now(), task: None })
    }

    /// Sets the task of a connection, which is aborted to give it up.
    pub(super) fn set_task(&mut self, key: ConnectionKey, task: AbortHandle) {
        if let Some(open) = self.connections.get_mut(key) {
            open.task = Some(task);
        }
    }

    /// Records that a message has been received.
    pub(super) fn touch(&mut self, key: ConnectionKey) {
        if let Some(open) = self.connections.get_mut(key) {
            open.used = Instant::now();
        }
    }

    /// Removes a connection whose task has ended.
    pub(super) fn close(&mut self, key: ConnectionKey) {
        self.running -= 1;
        self.connections.remove(key);
    }
}
