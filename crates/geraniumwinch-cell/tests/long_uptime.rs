//! Averages of a process that runs for weeks.

use std::time::Duration;

use geraniumwinch_cell::AcceptDelay;
use geraniumwinch_cell::CallUsage;
use geraniumwinch_cell::OwnerContact;
use geraniumwinch_cell::PassPacing;

/// The times between two events, which follow one another again and again.
const GAPS: [Duration; 4] = [
    Duration::from_millis(3),
    Duration::from_secs(2),
    Duration::from_secs(5_100),
    Duration::from_secs(5 * 24 * 3600),
];
/// The number of events.
const EVENTS: usize = 200;
/// The maximum delay of an accepted job, call or heartbeat.
const MAX_TIME: Duration = Duration::from_millis(400);

/// Calls a function with the times of events, which take half a year in all.
fn for_each_event(mut event: impl FnMut(Duration)) {
    let mut now = Duration::ZERO;
    for number in 0..EVENTS {
        now += GAPS[number % GAPS.len()];
        event(now);
    }
}

/// Guards against a delay that no job is admitted with, or that is no number, after weeks (issue 47).
#[test]
fn the_delay_of_accepted_jobs_stays_bounded() {
    let mut delay = AcceptDelay::default();
    for_each_event(|now| {
        assert!(delay.expected(now) <= MAX_TIME);
        delay.record(MAX_TIME, now);
        assert!(delay.expected(now) > Duration::ZERO);
    });
}

/// Guards against VMs that seem to be in use for ever, or to be more than there are (issue 47).
#[test]
fn the_use_of_vms_stays_bounded() {
    let mut usage = CallUsage::default();
    for_each_event(|now| {
        for priority in 0..3 {
            usage.record(priority, MAX_TIME, now);
            let available = usage.available(priority, 4, now);
            assert!((0.0..=4.0).contains(&available), "{available}");
        }
    });
}

/// Guards against an owner that is missed at once, or never, after weeks (issue 47).
#[test]
fn the_timeout_of_heartbeats_stays_bounded() {
    let mut contact = OwnerContact::default();
    for_each_event(|now| {
        contact.record_response(1, now, Duration::from_millis(2));
        let timeout = contact.timeout(1);
        assert!(timeout >= Duration::from_millis(200), "{timeout:?}");
        assert!(timeout <= Duration::from_millis(400), "{timeout:?}");
        assert!(!contact.responded_within(MAX_TIME, now + Duration::from_secs(9)));
    });
}

/// Guards against passes that are paced by one that took extremely long (issue 47).
#[test]
fn a_pass_that_took_a_day_delays_the_next_one_by_a_second() {
    let mut pacing = PassPacing::default();
    let gap = pacing.record(Duration::from_secs(24 * 3600));
    assert!(gap <= Duration::from_secs(1));
    assert!(pacing.report_gap() <= Duration::from_millis(100));
}
