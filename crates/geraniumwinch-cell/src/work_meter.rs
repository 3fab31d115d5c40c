//! How long a process works on what.
//!
//! The process has one thread, so the time from the begin to the end of a poll of a task is time in
//! which nothing else is done. What the runtime itself does isn't measured.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::CellClock;
use crate::WorkKind;
use crate::metered_work::MeteredWork;

/// Sums up the time that a process works, by kind of work.
pub struct WorkMeter {
    clock: Rc<dyn CellClock>,
    busy: [Cell<Duration>; WorkKind::ALL.len()],
}

impl WorkMeter {
    /// Creates a meter.
    pub fn new(clock: Rc<dyn CellClock>) -> Rc<Self> {
        Rc::new(WorkMeter { clock, busy: Default::default() })
    }

    /// Wraps a task so that the time of its polls is counted.
    pub fn meter<F: Future>(self: &Rc<Self>, kind: WorkKind, work: F) -> MeteredWork<F> {
        MeteredWork::new(Rc::clone(self), kind, work)
    }

    /// Does some work and counts its time.
    pub fn time<T>(&self, kind: WorkKind, work: impl FnOnce() -> T) -> T {
        let began = self.clock.now();
        let result = work();
        let busy = &self.busy[kind as usize];
        busy.set(busy.get() + self.clock.now().saturating_sub(began));
        result
    }

    /// Returns and clears the time spent on a kind of work.
    pub fn take(&self, kind: WorkKind) -> Duration {
        self.busy[kind as usize].take()
    }
}
