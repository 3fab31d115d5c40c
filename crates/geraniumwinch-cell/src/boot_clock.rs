//! The clocks of a cell process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use geraniumwinch_fleet::BootTime;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// A source of monotonic and calendar time.
pub trait CellClock {
    /// Returns the time since boot, including the time that the VM was suspended.
    fn now(&self) -> BootTime;

    /// Returns the time since the Unix epoch, the start of 1970.
    fn unix_time(&self) -> Duration;
}

/// The clocks of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl CellClock for BootClock {
    fn now(&self) -> BootTime {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
            .expect("the system has a monotonic clock");
        Duration::from(time)
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
