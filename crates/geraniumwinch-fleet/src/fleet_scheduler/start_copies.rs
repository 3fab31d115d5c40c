//! What is known of the copies of a run's start command.

use std::time::Duration;

use crate::BootTime;

/// The copies of a start command that its worker may still execute.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartCopies {
    /// Whether the outcome of the command is not known yet.
    awaiting_outcome: bool,
    /// When the last copy remained without a response, if any did. The worker may execute that copy
    /// later.
    unanswered_at: Option<BootTime>,
}

impl StartCopies {
    /// Returns the state of a command that is about to be sent.
    pub(super) fn pending() -> Self {
        StartCopies { awaiting_outcome: true, unanswered_at: None }
    }

    /// Records that a copy got no response.
    pub(super) fn record_unanswered(&mut self, now: BootTime) {
        self.unanswered_at = Some(now);
    }

    /// Records that all copies that were sent so far got a response.
    pub(super) fn record_answered(&mut self) {
        self.unanswered_at = None;
    }

    /// Records that the outcome of the command is known.
    pub(super) fn record_outcome(&mut self) {
        self.awaiting_outcome = false;
    }

    /// Returns whether a copy got no response.
    pub(super) fn is_unanswered(&self) -> bool {
        self.unanswered_at.is_some()
    }

    /// Returns whether a copy may be executed after the given time, if workers execute none more than
    /// `max_delay` after it got no response.
    pub(super) fn may_execute(&self, after: BootTime, max_delay: Duration) -> bool {
        self.awaiting_outcome
            || self.unanswered_at.is_some_and(|at| after < at.saturating_add(max_delay))
    }
}
