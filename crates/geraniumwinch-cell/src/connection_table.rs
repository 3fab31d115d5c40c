//! The open connections of a listener.
//!
//! Callers may open connections and never use them, or never finish a request. While the maximum number
//! is open, a new connection takes the place of the one that has kept the process waiting the longest; one
//! whose request is being served is never closed for another.

use std::cell::RefCell;
use std::rc::Rc;

use actix_rt::task::JoinHandle;
use geraniumwinch_fleet::BootTime;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;

use crate::CellClock;
use crate::ListenerLimits;
use crate::cell_metrics;

new_key_type! {
    /// Identifies a connection within a table.
    struct ConnectionKey;
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionPhase {
    /// A request is being served.
    Serving,
    /// The client has to read a response or to send a request.
    Idle,
    /// The client has to send the rest of a request's body.
    Receiving,
}

/// An open connection.
struct TableEntry {
    phase: ConnectionPhase,
    /// Since when it is in the phase.
    since: BootTime,
    /// The task that serves it; `None` until it is spawned.
    task: Option<JoinHandle<()>>,
}

/// The open connections of a listener.
pub(crate) struct ConnectionTable {
    clock: Rc<dyn CellClock>,
    /// The maximum number of connections.
    max: usize,
    /// Whether idle connections are not closed for others.
    keeps_idle: bool,
    entries: RefCell<SlotMap<ConnectionKey, TableEntry>>,
    /// Notified when a connection has ended, or waits for its client from now on.
    changed: Notify,
}

/// The place of a connection in the table, until it is dropped.
pub(crate) struct ConnectionPlace {
    table: Rc<ConnectionTable>,
    key: ConnectionKey,
}

impl ConnectionTable {
    /// Creates the table of a listener.
    pub(crate) fn new(clock: Rc<dyn CellClock>, limits: &ListenerLimits) -> Rc<Self> {
        Rc::new(ConnectionTable {
            clock,
            max: limits.connections,
            keeps_idle: limits.keeps_idle,
            entries: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Waits until another connection may be accepted. While the maximum number is open, that is only if
    /// one of them can be closed for it.
    pub(crate) async fn await_room(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.is_full() || self.longest_waiting().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Adds a connection. If the maximum number is open, it takes the place of one that waits for its
    /// client.
    pub(crate) fn open(self: &Rc<Self>) -> ConnectionPlace {
        if self.is_full() {
            self.close_longest_waiting();
        }
        let (phase, since) = (ConnectionPhase::Idle, self.clock.now());
        let entry = TableEntry { phase, since, task: None };
        let key = self.entries.borrow_mut().insert(entry);
        ConnectionPlace { table: Rc::clone(self), key }
    }

    /// Returns whether the maximum number of connections is open.
    fn is_full(&self) -> bool {
        self.entries.borrow().len() >= self.max
    }

    /// Closes the connection that has waited the longest for its client, if any waits.
    fn close_longest_waiting(&self) {
        let victim = self.longest_waiting();
        let entry = victim.and_then(|key| self.entries.borrow_mut().remove(key));
        if let Some(task) = entry.and_then(|entry| entry.task) {
            cell_metrics::count_closed_connection();
            task.abort();
        }
    }

    /// Returns the connection to close for another one: of those whose clients owe the rest of a request,
    /// else of the idle ones, that which has waited the longest.
    fn longest_waiting(&self) -> Option<ConnectionKey> {
        let entries = self.entries.borrow();
        let waits = |phase| match phase {
            ConnectionPhase::Serving => false,
            ConnectionPhase::Idle => !self.keeps_idle,
            ConnectionPhase::Receiving => true,
        };
        let waiting = entries
            .iter()
            .filter(|(_, entry)| waits(entry.phase) && entry.task.is_some());
        let longest = waiting
            .max_by_key(|(_, entry)| (entry.phase, std::cmp::Reverse(entry.since)));
        longest.map(|(key, _)| key)
    }
}

impl ConnectionPlace {
    /// Records the task that serves the connection.
    pub(crate) fn set_task(&self, task: JoinHandle<()>) {
        if let Some(entry) = self.table.entries.borrow_mut().get_mut(self.key) {
            entry.task = Some(task);
        }
    }

    /// Records what the connection waits for.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        let now = self.table.clock.now();
        if let Some(entry) = self.table.entries.borrow_mut().get_mut(self.key) {
            entry.phase = phase;
            entry.since = now;
        }
        if phase != ConnectionPhase::Serving {
            self.table.changed.notify_one();
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.table.entries.borrow_mut().remove(self.key);
        self.table.changed.notify_one();
    }
}
