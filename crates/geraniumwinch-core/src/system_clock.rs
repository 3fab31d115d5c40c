//! The clock of a process, injected wherever the current time is needed.

use std::time::Instant;
use std::time::SystemTime;

/// A source of monotonic and wall-clock time.
pub trait NodeClock: Send + Sync {
    /// Returns the current monotonic time.
    fn now(&self) -> Instant;

    /// Returns the current wall-clock time.
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
