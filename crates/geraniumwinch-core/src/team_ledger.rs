//! Usage, shares and allowances of the teams in a failure domain.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::HashMap;

use slotmap::SlotMap;

use crate::Name;
use crate::ResourceVector;

slotmap::new_key_type! {
    /// The key of a team in a [`TeamLedger`].
    pub struct TeamKey;
}

/// The configured share and allowance of a team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamPolicy {
    /// The weight of the team in fair sharing.
    pub weight: f64,
    /// The maximum number of tasks and requests that the team may run in this domain.
    pub allowance: u32,
}

/// The resources and slots that a team uses in the domain.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TeamUsage {
    /// The number of running tasks and requests.
    pub running: u32,
    /// The resources booked by running tasks.
    pub booked: ResourceVector,
}

/// The policy and usage of a team.
#[derive(Debug, Clone)]
struct TeamEntry {
    name: Name,
    policy: TeamPolicy,
    usage: TeamUsage,
    denied: Cell<bool>,
}

/// The usage of all teams of a failure domain, checked against their allowances.
///
/// A team keeps its key for the lifetime of the ledger, so that queued work of a team that is removed
/// from the configuration can continue if the team is added again.
#[derive(Debug, Default)]
pub struct TeamLedger {
    teams: SlotMap<TeamKey, TeamEntry>,
    by_name: HashMap<Name, TeamKey>,
}

impl TeamLedger {
    /// The policy of a team that is not in the configuration.
    const NO_POLICY: TeamPolicy = TeamPolicy { weight: 1.0, allowance: 0 };

    /// Replaces the policies.
    ///
    /// A team that is no longer configured keeps its usage and loses its allowance.
    pub fn set_policies(&mut self, policies: &BTreeMap<Name, TeamPolicy>) {
        for entry in self.teams.values_mut() {
            entry.policy = policies.get(&entry.name).copied().unwrap_or(Self::NO_POLICY);
        }
        for (name, policy) in policies {
            let key = self.key_of(name);
            self.teams[key].policy = *policy;
        }
    }

    /// Returns the key of a team, adding the team without an allowance if it is unknown.
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

    /// Returns whether a team may run `count` more tasks or requests, and records a denial.
    pub fn allows(&self, key: TeamKey, count: u32) -> bool {
        let entry = &self.teams[key];
        let allowed = entry.usage.running.saturating_add(count) <= entry.policy.allowance;
        entry.denied.set(entry.denied.get() | !allowed);
        allowed
    }

    /// Returns whether a team's allowance covers `count` tasks at once if nothing else runs, and records
    /// a denial.
    pub fn ever_allows(&self, key: TeamKey, count: u32) -> bool {
        let entry = &self.teams[key];
        let allowed = count <= entry.policy.allowance;
        entry.denied.set(entry.denied.get() | !allowed);
        allowed
    }

    /// Returns the teams that were denied tasks or requests since the last call.
    pub fn take_denied(&self) -> Vec<Name> {
        let denied = self.teams.values().filter(|entry| entry.denied.take());
        denied.map(|entry| entry.name.clone()).collect()
    }

    /// Returns the unused part of a team's allowance.
    pub fn unused_allowance(&self, key: TeamKey) -> u32 {
        let entry = &self.teams[key];
        entry.policy.allowance.saturating_sub(entry.usage.running)
    }

    /// Books one task or request of a team; the size of a request is zero.
    pub fn book(&mut self, key: TeamKey, size: &ResourceVector) {
        let usage = &mut self.teams[key].usage;
        usage.running += 1;
        usage.booked.add(size);
    }

    /// Releases one task or request that was booked with [`book`](Self::book).
    pub fn release(&mut self, key: TeamKey, size: &ResourceVector) {
        let usage = &mut self.teams[key].usage;
        usage.running = usage.running.saturating_sub(1);
        usage.booked.subtract(size);
    }

    /// Returns the dominant share of a team's booked resources, divided by the team's weight.
    pub fn weighted_share(&self, key: TeamKey, total: &ResourceVector) -> f64 {
        let entry = &self.teams[key];
        entry.usage.booked.dominant_share(total) / entry.policy.weight
    }

    /// Returns the number of a team's running tasks and requests, divided by the team's weight.
    pub fn weighted_running(&self, key: TeamKey) -> f64 {
        let entry = &self.teams[key];
        f64::from(entry.usage.running) / entry.policy.weight
    }

    /// Returns the name, policy and usage of all teams.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &TeamPolicy, &TeamUsage)> {
        self.teams.values().map(|entry| (&entry.name, &entry.policy, &entry.usage))
    }
}
