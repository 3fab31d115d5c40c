//! When a call to a worker that has got no response yet is repeated.
//!
//! It addresses workers, or links to them, that leave a part of the calls without a response and answer
//! the next one. Whoever waits for the timeout learns of ends seconds late, and takes capacity for used
//! that is free. Repeating at once would cost calls while all is well, so the delays follow the response
//! times and the share of lost calls that are observed.

use std::time::Duration;

use geraniumwinch_core::scaled_time;
use geraniumwinch_fleet::BootTime;

use crate::ResponseTimes;

/// The delay before a command is repeated while no response time is known; also the maximum.
const MAX_DELAY: Duration = Duration::from_millis(600);
/// The minimum delay before a call is repeated.
const MIN_DELAY: Duration = Duration::from_millis(60);
/// The time after which a call counts half in the share of lost calls.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// How many needless polls are made for one that replaces a lost poll. A poll costs far less than the
/// ends that stay unseen without it.
const NEEDLESS_POLLS: f64 = 8.0;
/// The number of lost calls below which decayed ones count as none.
const MIN_LOST_CALLS: f64 = 1e-9;

/// Decides when a call to a worker that has got no response yet is repeated.
#[derive(Debug, Default)]
pub struct RepeatTiming {
    /// How long the responses to commands take.
    times: ResponseTimes,
    /// The decayed numbers of lost calls and of all calls.
    lost: f64,
    calls: f64,
    updated: BootTime,
}

impl RepeatTiming {
    /// Records the response to a command that a worker answers at once.
    pub fn record_command(&mut self, took: Duration, now: BootTime) {
        self.times.record(took);
        self.record_response(now);
    }

    /// Records a call that got its response.
    pub fn record_response(&mut self, now: BootTime) {
        self.decay(now);
        self.calls += 1.0;
    }

    /// Records a call that got no response although its worker answered a later one.
    pub fn record_loss(&mut self, now: BootTime) {
        self.decay(now);
        self.calls += 1.0;
        self.lost += 1.0;
    }

    /// Returns the delay after which a command that a worker answers at once is repeated.
    pub fn command_delay(&self) -> Duration {
        self.times.late_after(MIN_DELAY, MAX_DELAY)
    }

    /// Returns the delay after which a poll is repeated that a worker answers as soon as a run ends, and
    /// after `wait` at the latest. `typical` is how long its responses take on average.
    ///
    /// The longer a response takes, the more likely it is lost. With exponentially distributed times,
    /// the delay is that at which [`NEEDLESS_POLLS`] of the repeated polls are needless for each lost one.
    pub fn poll_delay(&self, typical: Duration, wait: Duration) -> Duration {
        let overdue = self.overdue(wait);
        let lost = self.loss_ratio();
        if lost <= 0.0 {
            return overdue;
        }
        let odds = (1.0 - lost) / (lost * NEEDLESS_POLLS);
        let delay = scaled_time(typical, odds.ln());
        delay.clamp(self.command_delay(), overdue)
    }

    /// Returns how long a poll may take whose worker responds after `wait` at the latest.
    pub fn overdue(&self, wait: Duration) -> Duration {
        wait + self.command_delay()
    }

    /// Returns the share of the latest calls that got no response.
    pub fn loss_ratio(&self) -> f64 {
        self.lost / self.calls.max(1.0)
    }

    /// Lets the known calls count less by their age.
    fn decay(&mut self, now: BootTime) {
        let age = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        let factor = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.lost *= factor;
        self.calls *= factor;
        if self.lost < MIN_LOST_CALLS {
            self.lost = 0.0;
        }
    }
}
