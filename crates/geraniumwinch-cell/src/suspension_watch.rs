//! Notices that the process was suspended, so that what its clients had sent may be long out of date.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;

use crate::CellClock;

/// The interval at which the process looks at the time.
const TICK: Duration = Duration::from_secs(1);
/// The time without a look from which on the process counts as suspended. Clients have left after that, and
/// their cancellations count for longer.
const MAX_GAP: Duration = Duration::from_secs(15);
/// How long after a suspension requests that were received before or during it may still be read.
const CATCH_UP_TIME: Duration = Duration::from_secs(1);

/// Notices that the process was suspended.
pub struct SuspensionWatch {
    clock: Rc<dyn CellClock>,
    /// When the process looked at the time last.
    seen_at: Cell<BootTime>,
    /// When the last suspension was noticed.
    resumed_at: Cell<Option<BootTime>>,
}

impl SuspensionWatch {
    /// Creates the watch of a process that starts now.
    pub fn new(clock: Rc<dyn CellClock>) -> Rc<Self> {
        let seen_at = Cell::new(clock.now());
        Rc::new(SuspensionWatch { clock, seen_at, resumed_at: Cell::new(None) })
    }

    /// Looks at the time periodically.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            self.look();
            tokio::time::sleep(TICK).await;
        }
    }

    /// Returns whether a request that is read now may have waited while the process was suspended.
    pub fn may_have_waited(&self) -> bool {
        let now = self.look();
        self.resumed_at.get().is_some_and(|resumed| now < resumed + CATCH_UP_TIME)
    }

    /// Looks at the time and returns it.
    pub fn look(&self) -> BootTime {
        let now = self.clock.now();
        let gap = now.saturating_sub(self.seen_at.replace(now));
        if gap >= MAX_GAP {
            log_event!(Warn, "process-resumed", suspended_ms = gap.as_millis());
            self.resumed_at.set(Some(now));
        }
        now
    }
}
