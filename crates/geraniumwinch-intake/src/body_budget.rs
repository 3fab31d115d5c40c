//! The memory that request bodies share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Poll;
use std::task::Waker;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::BodyLease;

new_key_type! {
    /// Identifies a body within a budget.
    pub(crate) struct BodyKey;
}

/// The memory that the request bodies of a process share.
///
/// A body that needs more than is left takes it from the largest one that is not complete, which is given
/// up. If none is larger, it is refused itself.
#[derive(Debug, Clone)]
pub struct BodyBudget {
    table: Arc<Mutex<BodyTable>>,
}

/// The bodies that are kept.
#[derive(Debug)]
struct BodyTable {
    /// The maximum size of all bodies together, in bytes.
    limit: usize,
    /// The maximum number of incomplete bodies.
    max_incomplete: usize,
    /// The size of all bodies but those given up, in bytes.
    used: usize,
    /// The size of the bodies that were given up and are not dropped yet, in bytes.
    leaving: usize,
    /// The number of bodies so far.
    opened: u64,
    bodies: SlotMap<BodyKey, OpenBody>,
}

/// A body that is kept.
#[derive(Debug)]
struct OpenBody {
    /// Its size so far, in bytes.
    held: usize,
    /// The position in the order of arrival.
    serial: u64,
    state: BodyState,
    /// The task that receives the body.
    waker: Option<Waker>,
    /// Whether that task waits until bodies that were given up are dropped.
    waits_for_room: bool,
}

/// The state of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// Parts of it are missing.
    Incomplete,
    /// It is complete, and its request is being served.
    Complete,
    /// It was given up for another one.
    GivenUp,
}

impl BodyBudget {
    /// Creates a budget of a number of bytes.
    pub fn new(limit: usize) -> Self {
        let bodies = SlotMap::with_key();
        let (used, leaving, opened, max_incomplete) = (0, 0, 0, usize::MAX);
        let table = BodyTable { limit, max_incomplete, used, leaving, opened, bodies };
        BodyBudget { table: Arc::new(Mutex::new(table)) }
    }

    /// Sets the maximum number of incomplete bodies. A further one takes the place of the oldest.
    pub fn with_incomplete(self, max_incomplete: usize) -> Self {
        self.lock().max_incomplete = max_incomplete;
        self
    }

    /// Begins to count a body.
    pub fn open(&self) -> BodyLease {
        BodyLease::new(self.clone(), self.lock().open())
    }

    /// Returns the size of all bodies that are kept, in bytes.
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Adds bytes to a body and returns whether there is room for them.
    pub(crate) fn grow(&self, key: BodyKey, bytes: usize) -> bool {
        self.lock().grow(key, bytes)
    }

    /// Records that a body is complete; returns whether it had not been given up.
    pub(crate) fn complete(&self, key: BodyKey) -> bool {
        let mut table = self.lock();
        let body = table.bodies.get_mut(key).filter(|body| body.is_kept());
        body.map(|body| body.state = BodyState::Complete).is_some()
    }

    /// Waits until a body is given up.
    pub(crate) fn poll_given_up(&self, key: BodyKey, waker: &Waker) -> Poll<()> {
        match self.lock().bodies.get_mut(key) {
            Some(body) if body.is_kept() => {
                body.waker = Some(waker.clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    /// Waits until the memory that a body was allowed to take is free; the result is whether the body was
    /// not given up meanwhile.
    pub(crate) fn poll_room(&self, key: BodyKey, waker: &Waker) -> Poll<bool> {
        let mut table = self.lock();
        let has_room = table.used + table.leaving <= table.limit;
        match table.bodies.get_mut(key).filter(|body| body.is_kept()) {
            Some(body) => {
                body.waits_for_room = !has_room;
                body.waker = Some(waker.clone());
                if has_room { Poll::Ready(true) } else { Poll::Pending }
            }
            None => Poll::Ready(false),
        }
    }

    /// Records that nothing of a body is kept any more.
    pub(crate) fn release(&self, key: BodyKey) {
        self.lock().release(key);
    }

    /// Ends the count of a body.
    pub(crate) fn close(&self, key: BodyKey) {
        let mut table = self.lock();
        table.release(key);
        table.bodies.remove(key);
    }

    /// Locks the table, which no panic can leave half changed.
    fn lock(&self) -> MutexGuard<'_, BodyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenBody {
    /// Returns whether the body was not given up.
    fn is_kept(&self) -> bool {
        self.state != BodyState::GivenUp
    }
}

impl BodyTable {
    /// Adds an empty body.
    fn open(&mut self) -> BodyKey {
        self.opened += 1;
        let incomplete = |body: &OpenBody| body.state == BodyState::Incomplete;
        let open = || self.bodies.iter().filter(|(_, body)| incomplete(body));
        if open().count() >= self.max_incomplete {
            let oldest = open().min_by_key(|(_, body)| body.serial).map(|(key, _)| key);
            oldest.into_iter().for_each(|key| self.give_up(key));
        }
        let (serial, state) = (self.opened, BodyState::Incomplete);
        let (waker, waits_for_room) = (None, false);
        self.bodies.insert(OpenBody { held: 0, serial, state, waker, waits_for_room })
    }

    /// Records that nothing of a body is kept any more, so that others can take its place.
    fn release(&mut self, key: BodyKey) {
        let Some(body) = self.bodies.get_mut(key) else { return };
        let held = std::mem::take(&mut body.held);
        if body.is_kept() {
            self.used -= held;
        } else {
            self.leaving -= held;
        }
        for waiting in self.bodies.values_mut().filter(|body| body.waits_for_room) {
            waiting.waits_for_room = false;
            waiting.waker.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Adds bytes to a body and returns whether there is room for them.
    fn grow(&mut self, key: BodyKey, bytes: usize) -> bool {
        let Some(body) = self.bodies.get(key).filter(|body| body.is_kept()) else {
            return false;
        };
        let wanted = body.held.saturating_add(bytes);
        while self.used.saturating_add(bytes) > self.limit {
            match self.largest_incomplete(key) {
                Some((other, held)) if held >= wanted => self.give_up(other),
                _ => return false,
            }
        }
        self.used += bytes;
        self.bodies[key].held = wanted;
        true
    }

    /// Returns the largest incomplete body but the given one, the oldest of several, and its size.
    fn largest_incomplete(&self, but: BodyKey) -> Option<(BodyKey, usize)> {
        let incomplete = |body: &OpenBody| body.state == BodyState::Incomplete;
        let others =
            self.bodies.iter().filter(|&(key, body)| key != but && incomplete(body));
        let largest =
            others.max_by_key(|(_, body)| (body.held, std::cmp::Reverse(body.serial)));
        largest.map(|(key, body)| (key, body.held))
    }

    /// Gives up a body, whose task drops it.
    fn give_up(&mut self, key: BodyKey) {
        let body = &mut self.bodies[key];
        body.state = BodyState::GivenUp;
        self.used -= body.held;
        self.leaving += body.held;
        if let Some(waker) = body.waker.take() {
            waker.wake();
        }
    }
}
