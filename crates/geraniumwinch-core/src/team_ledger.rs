//! What each team runs in a failure domain, its share and its allowance.

use std::collections::BTreeMap;

use crate::Name;
use crate::ResourceVector;

/// The configured share and allowance of a team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamPolicy {
    /// The weight of the team's share.
    pub weight: f64,
    /// The greatest number of tasks and requests that may run in this domain.
    pub allowance: u32,
}

/// What a team runs in the domain.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUse {
    /// Running tasks and requests.
    pub running: u32,
    /// Resources booked by running tasks.
    pub booked: ResourceVector,
}

/// The teams of a failure domain.
#[derive(Debug, Default)]
pub struct TeamLedger {
    teams: BTreeMap<Name, (TeamPolicy, TeamUse)>,
}

impl TeamLedger {
    /// Replaces the policies; a team that has gone keeps its use and gets no further allowance.
    pub fn set_policies(&mut self, policies: &BTreeMap<Name, TeamPolicy>) {
        for (name, (policy, _)) in &mut self.teams {
            if !policies.contains_key(name) {
                policy.allowance = 0;
            }
        }
        for (name, policy) in policies {
            self.teams.entry(name.clone()).or_insert((*policy, TeamUse::default())).0 =
                *policy;
        }
        self.teams
            .retain(|name, (_, usage)| policies.contains_key(name) || usage.running > 0);
    }

    /// Returns whether a team may run `count` more tasks or requests.
    pub fn allows(&self, team: &Name, count: u32) -> bool {
        let Some((policy, usage)) = self.teams.get(team) else { return false };
        usage.running.saturating_add(count) <= policy.allowance
    }

    /// Returns whether a team's allowance could ever cover `count` tasks at once.
    pub fn ever_allows(&self, team: &Name, count: u32) -> bool {
        self.teams.get(team).is_some_and(|(policy, _)| count <= policy.allowance)
    }

    /// Books one task or request of a team; a request books no resources.
    pub fn book(&mut self, team: &Name, size: &ResourceVector) {
        let idle = TeamPolicy { weight: 1.0, allowance: 0 };
        let (_, usage) =
            self.teams.entry(team.clone()).or_insert((idle, TeamUse::default()));
        usage.running += 1;
        usage.booked.add(size);
    }

    /// Releases what `book` booked.
    pub fn release(&mut self, team: &Name, size: &ResourceVector) {
        let Some((_, usage)) = self.teams.get_mut(team) else { return };
        usage.running = usage.running.saturating_sub(1);
        usage.booked.subtract(size);
    }

    /// Returns the weighted dominant share of a team's booked resources.
    pub fn weighted_share(&self, team: &Name, total: &ResourceVector) -> f64 {
        let Some((policy, usage)) = self.teams.get(team) else { return f64::MAX };
        usage.booked.dominant_share(total) / policy.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the number of a team's running tasks and requests, divided by its weight.
    pub fn weighted_running(&self, team: &Name) -> f64 {
        let Some((policy, usage)) = self.teams.get(team) else { return f64::MAX };
        f64::from(usage.running) / policy.weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the policy and the use of every team, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &TeamPolicy, &TeamUse)> {
        self.teams.iter().map(|(name, (policy, usage))| (name, policy, usage))
    }
}
