//! What is known of the copies of a run's start command.

use std::time::Duration;

use crate::BootTime;
use crate::StartEffect;

use super::delayed_starts::MAX_COMMAND_DELAY;

/// The copies of a start command that its worker may still execute.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartCopies {
    /// Whether the outcome of the command is not known yet.
    awaiting_outcome: bool,
    /// When the last copy remained without a response, if any did. The worker may execute that copy
    /// later.
    unanswered_at: Option<BootTime>,
    /// How long the ticket in the copies is valid, if they carry one that workers check. It keeps other
    /// incarnations of the worker from executing a copy later.
    ticket_validity: Option<Duration>,
    /// The number of copies that were sent and whose effect is not known yet.
    open: u8,
    /// Whether a copy was executed or has got no response for good.
    begun: bool,
    /// Whether the command is a former owner's and the time for which it may be delayed has not begun.
    is_undated: bool,
}

impl StartCopies {
    /// Returns the state of a command that is about to be sent, with a ticket of the given validity if
    /// it carries one.
    pub(super) fn pending(ticket_validity: Option<Duration>) -> Self {
        StartCopies { awaiting_outcome: true, ticket_validity, ..StartCopies::default() }
    }

    /// Returns the state of a former owner's command, of which a copy without a ticket may be executed later.
    pub(super) fn inherited() -> Self {
        StartCopies { is_undated: true, ..StartCopies::pending(None) }
    }

    /// Begins the time for which a former owner's command may be delayed, at the first call.
    pub(super) fn begin_inherited(&mut self, now: BootTime) {
        if std::mem::take(&mut self.is_undated) {
            self.record_outcome();
            self.record_unanswered(now);
        }
    }

    /// Returns whether the copies carry a ticket that workers check.
    pub(super) fn has_ticket(&self) -> bool {
        self.ticket_validity.is_some()
    }

    /// Adapts to changed rules of the queue: workers check tickets as long as it requires permission,
    /// whose validity may have changed.
    pub(super) fn update_ticket(&mut self, validity: Option<Duration>) {
        self.ticket_validity = self.ticket_validity.zip(validity).map(|(a, b)| a.max(b));
    }

    /// Records that a copy is about to be sent.
    pub(super) fn record_sent(&mut self) {
        self.open = self.open.saturating_add(1);
    }

    /// Records the effect of a copy that was sent. If none of them has had any, no copy is unanswered.
    pub(super) fn record_effect(&mut self, effect: StartEffect) {
        self.open = self.open.saturating_sub(1);
        self.begun |= effect != StartEffect::None;
        if self.open == 0 && !self.begun {
            self.unanswered_at = None;
        }
    }

    /// Returns whether the worker may have begun the run: a copy was sent, and neither a failed connection
    /// nor a refusal proves that nothing has come of it.
    pub(super) fn may_have_begun(&self) -> bool {
        self.open > 0 || self.begun || self.is_unanswered()
    }

    /// Records that a copy has got no response so far.
    pub(super) fn record_unanswered(&mut self, now: BootTime) {
        self.unanswered_at = Some(now);
        self.begun |= self.open == 0;
    }

    /// Records that all copies that were sent so far got a response.
    pub(super) fn record_answered(&mut self) {
        self.unanswered_at = None;
    }

    /// Records that the outcome of the command is known.
    pub(super) fn record_outcome(&mut self) {
        self.awaiting_outcome = false;
    }

    /// Returns whether a copy was sent that has got no response so far.
    pub(super) fn is_open(&self) -> bool {
        self.open > 0 || self.is_unanswered()
    }

    /// Returns whether a copy got no response.
    pub(super) fn is_unanswered(&self) -> bool {
        self.unanswered_at.is_some()
    }

    /// Returns whether another incarnation of the worker may execute a copy after the given time.
    pub(super) fn may_execute(&self, after: BootTime) -> bool {
        let delay = self
            .ticket_validity
            .map_or(MAX_COMMAND_DELAY, |validity| validity.min(MAX_COMMAND_DELAY));
        self.awaiting_outcome
            || self.unanswered_at.is_some_and(|at| after < at.saturating_add(delay))
    }
}
