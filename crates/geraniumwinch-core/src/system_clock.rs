//! The clock that is passed to every part that needs the time.

use std::time::Instant;
use std::time::SystemTime;

/// A source of monotonic and calendar time.
pub trait NodeClock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the calendar time.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl NodeClock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
