//! Requests that waited while their process was suspended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_cell::CellClock;
use geraniumwinch_cell::SuspensionWatch;
use geraniumwinch_fleet::BootTime;
use test_case::test_case;

/// The interval at which the process looks at the time.
const TICK: Duration = Duration::from_secs(1);

/// A clock that a test sets.
#[derive(Default)]
struct SetClock(Cell<BootTime>);

impl CellClock for SetClock {
    fn now(&self) -> BootTime {
        self.0.get()
    }

    fn unix_time(&self) -> Duration {
        self.0.get()
    }
}

impl SetClock {
    fn advance(&self, time: Duration) {
        self.0.set(self.0.get() + time);
    }
}

/// Guards against a submission that a process takes after its cancellation no longer counts, since the process
/// was suspended for longer (the kind of review/13, UNASKED).
#[test_case(14_900, false; "for a short time")]
#[test_case(15_000, true; "for long")]
#[test_case(3_600_000, true; "for an hour")]
fn a_request_may_have_waited_while_the_process_was_suspended(millis: u64, waited: bool) {
    let clock = Rc::new(SetClock::default());
    let watch = SuspensionWatch::new(clock.clone());
    for _ in 0..100 {
        clock.advance(TICK);
        watch.look();
        assert!(!watch.may_have_waited());
    }
    clock.advance(Duration::from_millis(millis));
    assert_eq!(watch.may_have_waited(), waited);
    assert_eq!(watch.may_have_waited(), waited, "only the first request counts");
    clock.advance(TICK);
    assert!(!watch.may_have_waited(), "requests are refused for too long");
}

#[test]
fn a_suspension_that_the_watch_sees_first_counts_for_the_requests_after_it() {
    let clock = Rc::new(SetClock::default());
    let watch = SuspensionWatch::new(clock.clone());
    clock.advance(Duration::from_secs(20));
    watch.look();
    assert!(watch.may_have_waited());
}
