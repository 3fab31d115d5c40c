//! What each team runs in a failure domain, its share and its allowance.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::SlotMap;

use crate::Name;
use crate::ResourceVector;

slotmap::new_key_type! {
    /// The key of a team in its ledger.
    pub struct TeamKey;
}

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
pub struct TeamUsage {
    /// Running tasks and requests.
    pub running: u32,
    /// Resources booked by running tasks.
    pub booked: ResourceVector,
}

/// A team in the ledger.
#[derive(Debug, Clone)]
struct TeamEntry {
    name: Name,
    policy: TeamPolicy,
    usage: TeamUsage,
    denied: Cell<bool>,
}

/// The teams of a failure domain.
///
/// A team keeps its key for as long as the ledger lives, so that waiting work of a team that is
/// removed and added again goes on.
#[derive(Debug, Default)]
pub struct TeamLedger {
    teams: SlotMap<TeamKey, TeamEntry>,
    by_name: HashMap<Name, TeamKey>,
}

impl TeamLedger {
    /// The policy of a team that is not configured.
    const NO_POLICY: TeamPolicy = TeamPolicy { weight: 1.0, allowance: 0 };

    /// Replaces the policies; a team that has gone keeps its use and gets no further allowance.
    pub fn set_policies(&mut self, policies: &BTreeMap<Name, TeamPolicy>) {
        for entry in self.teams.values_mut() {
            entry.policy = policies.get(&entry.name).copied().unwrap_or(Self::NO_POLICY);
        }
        for (name, policy) in policies {
            let key = self.key_of(name);
            self.teams[key].policy = *policy;
        }
    }

    /// Returns the key of a team; a team that is not configured has no allowance.
    pub fn key_of(&mut self, name: &Name) -> TeamKey {
        if let Some(&key) = self.by_name.get(name) {
            return key;
        }
        let usage = TeamUsage::default();
        let key = self.teams.insert(TeamEntry {
            name: name.clone(),
            policy: Self::NO_POLICY,
            usage,
            denied: Cell::new(false),
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Returns the name of a team.
    pub fn name(&self, key: TeamKey) -> &Name {
        &self.teams[key].name
    }

    /// Returns whether a team may run `count` more tasks or requests.
    pub fn allows(&self, key: TeamKey, count: u32) -> bool {
        let entry = &self.teams[key];
        let allowed = entry.usage.running.saturating_add(count) <= entry.policy.allowance;
        entry.denied.set(entry.denied.get() | !allowed);
        allowed
    }

    /// Returns whether a team's allowance could ever cover `count` tasks at once.
    pub fn ever_allows(&self, key: TeamKey, count: u32) -> bool {
        let entry = &self.teams[key];
        let allowed = count <= entry.policy.allowance;
        entry.denied.set(entry.denied.get() | !allowed);
        allowed
    }

    /// Returns the teams that were denied something since the last call.
    pub fn take_denied(&self) -> Vec<Name> {
        let denied = self.teams.values().filter(|entry| entry.denied.take());
        denied.map(|entry| entry.name.clone()).collect()
    }

    /// Returns how much of its allowance a team does not use.
    pub fn unused_allowance(&self, key: TeamKey) -> u32 {
        let entry = &self.teams[key];
        entry.policy.allowance.saturating_sub(entry.usage.running)
    }

    /// Books one task or request of a team; a request books no resources.
    pub fn book(&mut self, key: TeamKey, size: &ResourceVector) {
        let usage = &mut self.teams[key].usage;
        usage.running += 1;
        usage.booked.add(size);
    }

    /// Releases what `book` booked.
    pub fn release(&mut self, key: TeamKey, size: &ResourceVector) {
        let usage = &mut self.teams[key].usage;
        usage.running = usage.running.saturating_sub(1);
        usage.booked.subtract(size);
    }

    /// Returns the weighted dominant share of a team's booked resources.
    pub fn weighted_share(&self, key: TeamKey, total: &ResourceVector) -> f64 {
        let entry = &self.teams[key];
        entry.usage.booked.dominant_share(total) / entry.policy.weight
    }

    /// Returns the number of a team's running tasks and requests, divided by its weight.
    pub fn weighted_running(&self, key: TeamKey) -> f64 {
        let entry = &self.teams[key];
        f64::from(entry.usage.running) / entry.policy.weight
    }

    /// Returns the policy and the use of every team.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &TeamPolicy, &TeamUsage)> {
        self.teams.values().map(|entry| (&entry.name, &entry.policy, &entry.usage))
    }
}
