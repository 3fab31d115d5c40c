//! When calls to workers are repeated.

use std::time::Duration;

use geraniumwinch_cell::RepeatTiming;

/// How long a worker may wait for a run to end before it responds.
const WAIT: Duration = Duration::from_millis(1000);
/// How long responses of a busy worker take on average.
const TYPICAL: Duration = Duration::from_millis(250);

/// Defines tests that each get a new timing.
macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident($timing:ident) $body:block)*) => {
        $($(#[doc = $doc])* #[test]
        fn $name() {
            #[allow(unused_mut, reason = "some cases only read the timing")]
            let mut $timing = RepeatTiming::default();
            $body
        })*
    };
}

/// Records a second of calls, of which one in `period` gets no response.
fn record_second(timing: &mut RepeatTiming, second: u64, period: u64) {
    for call in 0..200 {
        let now = Duration::from_millis(second * 1000 + call * 5);
        if period > 0 && call % period == 0 {
            timing.record_loss(now);
        } else {
            timing.record_command(Duration::from_millis(4 + call % 3), now);
        }
    }
}

cases! {
    /// The load: workers leave one call in twenty without a response. Guards against ends that stay
    /// unseen until a poll's timeout.
    a_poll_is_repeated_soon_while_calls_get_lost(timing) {
        record_second(&mut timing, 1, 20);
        let delay = timing.poll_delay(TYPICAL, WAIT);
        assert!(delay < TYPICAL, "{delay:?}");
    }

    /// Guards against polls that double the calls on a day without losses.
    a_poll_is_repeated_only_when_overdue_while_all_is_well(timing) {
        record_second(&mut timing, 1, 0);
        assert!(timing.poll_delay(TYPICAL, WAIT) > WAIT);
    }

    /// Guards against delays that stay short after the losses are over.
    losses_are_forgotten(timing) {
        record_second(&mut timing, 1, 20);
        for second in 2..60 {
            record_second(&mut timing, second, 0);
        }
        assert!(timing.poll_delay(TYPICAL, WAIT) > WAIT * 9 / 10, "{timing:?}");
        assert!(timing.loss_ratio() < 0.001);
    }

    /// Guards against a panic of all loops that poll workers, 85 minutes after the last lost call: the
    /// share of lost calls decayed until the delay was infinite (issue 47).
    a_loss_is_forgotten_for_good(timing) {
        const INTERVAL_MS: u64 = 20;
        const DAY_MS: u64 = 24 * 60 * 60 * 1000;
        timing.record_loss(Duration::ZERO);
        for step in 1..=DAY_MS / INTERVAL_MS {
            timing.record_command(Duration::from_millis(5), Duration::from_millis(step * INTERVAL_MS));
            if step % 50 == 0 {
                let delay = timing.poll_delay(TYPICAL, WAIT);
                assert!(delay <= timing.overdue(WAIT), "{delay:?}");
            }
        }
        assert_eq!(timing.loss_ratio(), 0.0);
        assert_eq!(timing.poll_delay(TYPICAL, WAIT), timing.overdue(WAIT));
    }

    /// Guards against a panic where responses take extremely long.
    a_delay_is_bounded_for_any_response_time(timing) {
        record_second(&mut timing, 1, 20);
        assert_eq!(timing.poll_delay(Duration::MAX, WAIT), timing.overdue(WAIT));
        timing.record_command(Duration::MAX, Duration::from_secs(3));
        assert_eq!(timing.command_delay(), Duration::from_millis(600));
    }

    /// Guards against polling workers with few runs as often as busy ones.
    a_worker_that_answers_rarely_is_polled_later(timing) {
        record_second(&mut timing, 1, 20);
        assert!(timing.poll_delay(TYPICAL * 3, WAIT) > timing.poll_delay(TYPICAL, WAIT));
    }

    /// Guards against starts that wait for their timeout where responses take milliseconds.
    a_command_is_repeated_soon_after_its_response_is_due(timing) {
        assert_eq!(timing.command_delay(), Duration::from_millis(600));
        record_second(&mut timing, 1, 0);
        assert_eq!(timing.command_delay(), Duration::from_millis(60));
    }

    /// Guards against repeating every command while a busy owner or a slow link delays all responses.
    slow_responses_delay_the_repetition(timing) {
        for call in 0..100 {
            let took = Duration::from_millis(90 + call % 5 * 20);
            timing.record_command(took, Duration::from_millis(call * 100));
        }
        let delay = timing.command_delay();
        assert!(delay > Duration::from_millis(170), "{delay:?}");
    }
}
