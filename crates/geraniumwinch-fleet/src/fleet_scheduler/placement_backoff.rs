//! Delays of placement attempts on a full cell.
//!
//! It addresses a backlog that grows beyond what the cell can start: without a delay, each pass would
//! search workers for every waiting step, and the passes would leave no processor time for worker
//! reports and client requests, so that still less could start.

use std::time::Duration;

/// The number of waiting steps up to which each of them is attempted in every pass.
const PROMPT_UNITS: usize = 50;
/// The additional delay for each waiting step beyond them.
const DELAY_PER_UNIT: Duration = Duration::from_micros(500);
/// The maximum delay of an attempt.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// The delay before another attempt to place a step that got nothing, from the number of steps that
/// waited in the last pass.
#[derive(Debug, Default)]
pub(super) struct PlacementBackoff {
    /// The number of waiting steps in the last pass.
    last: usize,
    /// The number of waiting steps in this pass so far.
    current: usize,
}

impl PlacementBackoff {
    /// Begins a pass.
    pub(super) fn begin_pass(&mut self) {
        self.last = std::mem::take(&mut self.current);
    }

    /// Counts a waiting step.
    pub(super) fn count_unit(&mut self) {
        self.current += 1;
    }

    /// Returns whether a waiting step was counted in this pass.
    pub(super) fn has_waiting_units(&self) -> bool {
        self.current > 0
    }

    /// Returns the delay before the next attempt of a step that got nothing.
    pub(super) fn delay(&self) -> Duration {
        let excess = self.last.saturating_sub(PROMPT_UNITS) as u32;
        (DELAY_PER_UNIT * excess).min(MAX_DELAY)
    }
}
