//! The budget of work that preemption may throw away.

use std::collections::VecDeque;
use std::time::Duration;

use crate::BootTime;

/// The time over which done and preempted work are compared.
const WINDOW: Duration = Duration::from_secs(30);
/// The length of the parts of the window.
const SLICE: Duration = Duration::from_secs(1);
/// The maximum preempted work as a share of the work that was done.
const MAX_PREEMPTED_SHARE: f64 = 0.1;

/// The work of a part of the window, in core-seconds.
#[derive(Debug, Clone, Copy, Default)]
struct WorkSlice {
    begin: BootTime,
    done: f64,
    preempted: f64,
}

/// Compares the work that was thrown away by preemption with the work that was done, over a sliding
/// window.
#[derive(Debug, Default)]
pub struct PreemptionBudget {
    slices: VecDeque<WorkSlice>,
}

impl PreemptionBudget {
    /// Adds work whose result is used, in core-seconds.
    pub fn add_done(&mut self, work: f64, now: BootTime) {
        self.slice(now).done += work;
    }

    /// Adds work that preemption throws away, in core-seconds.
    pub fn add_preempted(&mut self, work: f64, now: BootTime) {
        self.slice(now).preempted += work;
    }

    /// Returns how much work may be thrown away now, in core-seconds.
    pub fn left(&self, now: BootTime) -> f64 {
        let recent = self.slices.iter().filter(|slice| now < slice.begin + WINDOW);
        let (done, preempted) = recent.fold((0.0, 0.0), |(done, preempted), slice| {
            (done + slice.done, preempted + slice.preempted)
        });
        (done * MAX_PREEMPTED_SHARE - preempted).max(0.0)
    }

    /// Returns the current part of the window, and drops the parts that have left it.
    fn slice(&mut self, now: BootTime) -> &mut WorkSlice {
        while self.slices.front().is_some_and(|slice| slice.begin + WINDOW <= now) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.begin + SLICE <= now) {
            self.slices.push_back(WorkSlice { begin: now, ..WorkSlice::default() });
        }
        self.slices.back_mut().expect("a slice was added if there was none")
    }
}
