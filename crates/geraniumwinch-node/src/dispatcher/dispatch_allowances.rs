//! The allowances of teams in this domain, and their transfer to other domains.

use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::AllowanceTable;
use geraniumwinch_core::Name;

use super::Dispatcher;

/// How long a team that was limited by its allowance is reported to other domains.
const DENIED_TEAM_TTL: Duration = Duration::from_millis(2000);

impl Dispatcher {
    /// Records the teams that have been limited by their allowance since the last call.
    pub(super) fn record_denied_teams(&mut self, now: Instant) {
        for team in self.ledger.take_denied() {
            self.denied_teams.insert(team, now);
        }
        self.denied_teams.retain(|_, denied_at| {
            now.saturating_duration_since(*denied_at) < DENIED_TEAM_TTL
        });
    }

    /// Applies the allowances read from the store, which include every release made so far.
    pub(super) fn apply_allowances(&mut self, table: AllowanceTable) {
        let released = std::mem::take(&mut self.pending_releases);
        if !released.is_empty() || table != self.allowances {
            self.allowances = table;
            self.apply_catalog();
        }
    }

    /// Lowers a team's allowance by half of its unused part, for a transfer to another domain.
    ///
    /// Releases nothing while the team itself was limited by its allowance recently, or while an
    /// earlier release has not been settled by a read of the store.
    pub(super) fn release_allowance(&mut self, team: &Name) -> u32 {
        if self.denied_teams.contains_key(team)
            || self.pending_releases.contains_key(team)
        {
            return 0;
        }
        let key = self.ledger.key_of(team);
        let count = self.ledger.unused_allowance(key).div_ceil(2);
        if count > 0 {
            self.pending_releases.insert(team.clone(), count);
            self.apply_catalog();
        }
        count
    }
}
