//! The time that the owner takes to accept a job.

use std::time::Duration;

use geraniumwinch_cell::AcceptDelay;
use geraniumwinch_fleet::BootTime;

/// The time at which each test begins.
const BEGIN: BootTime = Duration::from_secs(100);
/// The time between two jobs.
const INTERVAL: Duration = Duration::from_millis(5);

/// Records that many jobs in a row took a time each, and returns the time after them.
fn record_many(delay: &mut AcceptDelay, took: Duration, count: u32) -> BootTime {
    (0..count).for_each(|index| delay.record(took, BEGIN + INTERVAL * index));
    BEGIN + INTERVAL * count
}

/// Guards against urgent jobs that are stored by an owner that is seconds behind, and end too late.
#[test]
fn an_owner_that_falls_behind_is_noticed() {
    let mut delay = AcceptDelay::default();
    let now = record_many(&mut delay, Duration::from_millis(1_600), 60);
    assert!(delay.expected(now) > Duration::from_millis(1_200));
}

/// A single slow write does not make the owner refuse jobs.
#[test]
fn one_slow_acceptance_counts_little() {
    let mut delay = AcceptDelay::default();
    let now = record_many(&mut delay, Duration::from_millis(20), 60);
    delay.record(Duration::from_millis(1_600), now);
    assert!(delay.expected(now) < Duration::from_millis(250));
}

/// Guards against an owner that goes on refusing since it accepts nothing that would show its speed.
#[test]
fn delays_are_forgotten_while_nothing_is_accepted() {
    let mut delay = AcceptDelay::default();
    let now = record_many(&mut delay, Duration::from_millis(1_600), 60);
    assert!(delay.expected(now + Duration::from_secs(2)) < Duration::from_millis(250));
}
