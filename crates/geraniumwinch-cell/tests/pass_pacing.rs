//! Pacing of the owner's passes under load.

use std::time::Duration;

use geraniumwinch_cell::PassPacing;
use test_case::test_case;

/// Load: a backlog that makes each pass long. Guards against passes that take all of the owner's
/// processor, so that reports and requests wait and still less can start.
#[test_case(1)]
#[test_case(30)]
#[test_case(200)]
#[test_case(450)]
fn passes_take_a_third_of_the_time(millis: u64) {
    let took = Duration::from_millis(millis);
    let mut pacing = PassPacing::default();
    let gap = pacing.record(took);
    assert!(took <= (took + gap) / 3, "{took:?} before a gap of {gap:?}");
    assert_eq!(pacing.take(), (1, took));
    assert_eq!(pacing.take(), (0, Duration::ZERO));
}

/// Load: passes become rare, and each report costs the owner time. Guards against reports of each single
/// end, of which the next pass uses many at once, and against delays at the usual load.
#[test_case(1, 15; "at the usual load")]
#[test_case(30, 60; "until the next pass")]
#[test_case(400, 100; "but no longer than the end of a job may wait")]
fn workers_report_about_once_a_pass(millis: u64, gap_millis: u64) {
    let mut pacing = PassPacing::default();
    pacing.record(Duration::from_millis(millis));
    assert_eq!(pacing.report_gap(), Duration::from_millis(gap_millis));
}
