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
