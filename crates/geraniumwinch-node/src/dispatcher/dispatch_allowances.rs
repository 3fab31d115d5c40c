//! The teams' allowances in this domain.

use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::Name;

use super::Dispatcher;

/// The time for which a denied team is told to other domains.
const WISH_KEPT: Duration = Duration::from_millis(2000);

impl Dispatcher {
    /// Notes which teams were denied something by their allowance.
    pub(super) fn note_wishes(&mut self, now: Instant) {
        for team in self.ledger.take_denied() {
            self.wishes.insert(team, now);
        }
        self.wishes.retain(|_, noted| now.saturating_duration_since(*noted) < WISH_KEPT);
    }

    /// Takes over the allowances in the store, which hold all that was given.
    pub(super) fn take_allowances(&mut self, table: AllowanceTable) {
        let settled = std::mem::take(&mut self.pending_releases);
        if !settled.is_empty() || table != self.allowances {
            self.allowances = table;
            self.apply_catalog();
        }
    }

    /// Lowers a team's allowance by half of what it does not use, to be given away.
    ///
    /// Nothing is released while the team wants more itself, or twice before the store has told what
    /// became of the first release.
    pub(super) fn release_allowance(&mut self, team: &Name) -> u32 {
        if self.wishes.contains_key(team) || self.pending_releases.contains_key(team) {
            return 0;
        }
        let key = self.ledger.key_of(team);
        let count = self.ledger.spare(key).div_ceil(2);
        if count > 0 {
            self.pending_releases.insert(team.clone(), count);
            self.apply_catalog();
        }
        count
    }
}
