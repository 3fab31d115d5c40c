//! The division of the teams' limits among the failure domains.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// The division of one team's limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AllowanceRow {
    limit: u32,
    parts: BTreeMap<Name, u32>,
}

/// The division of the teams' limits among the failure domains.
///
/// A team without a row has equal parts, and so has a team whose row lists other domains than the
/// configured ones. The parts of a team never add up to more than its limit, even after the limit has
/// changed: a decrease scales every part down, and an increase is divided equally.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceTable {
    teams: BTreeMap<Name, AllowanceRow>,
}

impl AllowanceTable {
    /// Returns the part of a team's limit that is allotted to a domain.
    pub fn part(&self, team: &Name, limit: u32, domains: &[Name], domain: &Name) -> u32 {
        let Some(row) = self.teams.get(team) else {
            return equal_part(limit, domains, domain);
        };
        let same_domains = row.parts.len() == domains.len()
            && domains.iter().all(|domain| row.parts.contains_key(domain));
        if !same_domains {
            return equal_part(limit, domains, domain);
        }
        let part = row.parts.get(domain).copied().unwrap_or(0);
        if limit < row.limit {
            let scaled = u64::from(part) * u64::from(limit) / u64::from(row.limit);
            return scaled as u32;
        }
        part + equal_part(limit - row.limit, domains, domain)
    }

    /// Moves a part of a team's limit from one domain to another.
    ///
    /// The amount is capped at the source domain's part. An unknown target domain changes nothing.
    pub fn transfer(
        &mut self,
        team: &Name,
        limit: u32,
        domains: &[Name],
        transfer: &AllowanceTransfer,
    ) {
        let part =
            |domain: &Name| (domain.clone(), self.part(team, limit, domains, domain));
        let mut parts: BTreeMap<Name, u32> = domains.iter().map(part).collect();
        let held = parts.get(&transfer.from).copied().unwrap_or(0);
        let count = transfer.count.min(held);
        if !parts.contains_key(&transfer.to) {
            return;
        }
        parts.entry(transfer.from.clone()).and_modify(|part| *part -= count);
        parts.entry(transfer.to.clone()).and_modify(|part| *part += count);
        self.teams.insert(team.clone(), AllowanceRow { limit, parts });
    }
}

/// A transfer of allowance between two domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AllowanceTransfer {
    /// The domain whose part shrinks.
    pub from: Name,
    /// The domain whose part grows.
    pub to: Name,
    /// The number of tasks and requests to transfer.
    pub count: u32,
}

/// Returns a domain's part of a limit that is divided equally.
///
/// The first domains receive the remainder, so that the parts add up to the limit.
fn equal_part(limit: u32, domains: &[Name], domain: &Name) -> u32 {
    let count = domains.len().max(1) as u32;
    let position = domains.iter().position(|name| name == domain).unwrap_or(0) as u32;
    limit / count + u32::from(position < limit % count)
}
