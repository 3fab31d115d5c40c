//! Index of the teams, queues and keys in a configuration set.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::QueuePolicy;

use crate::ConfigurationSet;
use crate::KeyHash;
use crate::ObjectKind;
use crate::ObjectName;
use crate::ObjectOptions;
use crate::set_check::split_list;

/// A team with its resolved share and limit.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogTeam {
    /// Weight of the team's share.
    pub weight: f64,
    /// Maximum number of tasks and requests of the team that run in the fleet.
    pub limit: u32,
}

/// A key of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogKey {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Team that the key belongs to.
    pub team: Name,
}

/// A queue with its resolved policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogQueue {
    /// Whether requests are accepted without a key.
    pub open: bool,
    /// Teams that may use the queue; every team if empty.
    pub teams: BTreeSet<Name>,
    /// Policy for waiting requests.
    pub policy: QueuePolicy,
}

/// Teams, queues and keys of one revision of the configuration.
#[derive(Debug, Clone, Default)]
pub struct TeamCatalog {
    /// Teams by name.
    pub teams: BTreeMap<Name, CatalogTeam>,
    /// Queues by name.
    pub queues: BTreeMap<Name, CatalogQueue>,
    keys: HashMap<KeyHash, CatalogKey>,
}

impl TeamCatalog {
    /// Builds the catalog of a valid set.
    pub fn of(set: &ConfigurationSet) -> TeamCatalog {
        let mut catalog = TeamCatalog::default();
        for (name, options) in set.of_kind(ObjectKind::Team) {
            let weight =
                referenced_number(set, options, "share", ObjectKind::Share, "weight");
            let limit =
                referenced_number(set, options, "limit", ObjectKind::Limit, "running");
            let team = CatalogTeam { weight: weight as f64, limit: limit as u32 };
            catalog.teams.insert(name.into(), team);
        }
        for (_, options) in set.of_kind(ObjectKind::Key) {
            let hash = options.get("sha256").and_then(KeyHash::from_hex);
            let Some((hash, team)) = hash.zip(options.get("team")) else { continue };
            catalog.keys.insert(hash, CatalogKey { hash, team: team.into() });
        }
        for (name, options) in set.of_kind(ObjectKind::Queue) {
            catalog.queues.insert(name.into(), build_queue(set, options));
        }
        catalog
    }

    /// Returns the team that a key belongs to, if the key is known.
    pub fn team_of(&self, key: &str) -> Option<&Name> {
        let hash = KeyHash::of(key);
        let entry = self.keys.get(&hash)?;
        entry.hash.matches(&hash).then_some(&entry.team)
    }
}

/// Builds a queue from its options.
fn build_queue(set: &ConfigurationSet, options: &ObjectOptions) -> CatalogQueue {
    let policy =
        |option| referenced_number(set, options, "policy", ObjectKind::Policy, option);
    CatalogQueue {
        open: options.get("open") == Some("yes"),
        teams: split_list(options.get("teams").unwrap_or_default())
            .map(Name::from)
            .collect(),
        policy: QueuePolicy {
            service: options.get("service").unwrap_or_default().into(),
            max_waiting: policy("max-waiting") as usize,
            default_deadline: Duration::from_millis(policy("default-deadline-ms")),
            max_deadline: Duration::from_millis(policy("max-deadline-ms")),
        },
    }
}

/// Returns a numeric option of the object that a reference names, or the default of that option.
fn referenced_number(
    set: &ConfigurationSet,
    options: &ObjectOptions,
    reference: &str,
    kind: ObjectKind,
    option: &str,
) -> u64 {
    let name = options.get(reference).unwrap_or_default().to_owned();
    let value = set.get(&ObjectName { kind, name }).and_then(|object| object.get(option));
    let schema = kind.schema().options.iter().find(|candidate| candidate.name == option);
    let default = schema.and_then(|option| option.default);
    value.or(default).and_then(|text| text.parse().ok()).unwrap_or(0)
}
