//! The time that a process works, by kind of work.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use geraniumwinch_cell::CellClock;
use geraniumwinch_cell::WorkKind;
use geraniumwinch_cell::WorkMeter;

/// The time that each reading of the clock takes.
const TICK: Duration = Duration::from_millis(1);

/// A clock that advances when it is read.
#[derive(Default)]
struct TickingClock {
    now: Cell<Duration>,
}

impl CellClock for TickingClock {
    fn now(&self) -> Duration {
        self.now.set(self.now.get() + TICK);
        self.now.get()
    }

    fn unix_time(&self) -> Duration {
        Duration::ZERO
    }
}

/// Guards against an owner that is busy with work which no log line or metric names.
#[test]
fn each_poll_of_a_task_is_counted_as_its_kind_of_work() {
    let meter = WorkMeter::new(Rc::new(TickingClock::default()));
    let mut work = meter.meter(WorkKind::Polls, std::future::pending::<()>());
    assert!((&mut work).now_or_never().is_none());
    assert!((&mut work).now_or_never().is_none());
    assert_eq!(meter.time(WorkKind::Passes, || 7), 7);
    assert_eq!(meter.take(WorkKind::Polls), TICK * 2);
    assert_eq!(meter.take(WorkKind::Passes), TICK);
    for kind in WorkKind::ALL {
        assert_eq!(meter.take(kind), Duration::ZERO, "{}", kind.as_str());
    }
}
