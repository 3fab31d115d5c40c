//! A configuration set in the form in which processes use it.

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

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct CatalogTeam {
    /// The weight of its share.
    pub weight: f64,
    /// The greatest number of tasks and requests that run in the fleet.
    pub limit: u32,
}

/// A key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogKey {
    /// The hash of the key.
    pub hash: KeyHash,
    /// The team of the key.
    pub team: Name,
}

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogQueue {
    /// Whether callers need no key.
    pub open: bool,
    /// The teams that may use it; all of them if empty.
    pub teams: BTreeSet<Name>,
    /// How requests wait.
    pub policy: QueuePolicy,
}

/// The objects of one revision.
#[derive(Debug, Clone, Default)]
pub struct TeamCatalog {
    /// The teams by name.
    pub teams: BTreeMap<Name, CatalogTeam>,
    /// The queues by name.
    pub queues: BTreeMap<Name, CatalogQueue>,
    keys: HashMap<KeyHash, CatalogKey>,
}

impl TeamCatalog {
    /// Builds the catalogue of a checked set.
    pub fn of(set: &ConfigurationSet) -> TeamCatalog {
        let mut catalog = TeamCatalog::default();
        for (name, options) in set.of_kind(ObjectKind::Team) {
            let weight =
                related_number(set, options, "share", ObjectKind::Share, "weight");
            let limit =
                related_number(set, options, "limit", ObjectKind::Limit, "running");
            let team = CatalogTeam { weight: weight as f64, limit: limit as u32 };
            catalog.teams.insert(name.into(), team);
        }
        for (_, options) in set.of_kind(ObjectKind::Key) {
            let hash = options.get("sha256").and_then(KeyHash::from_hex);
            let Some((hash, team)) = hash.zip(options.get("team")) else { continue };
            catalog.keys.insert(hash, CatalogKey { hash, team: team.into() });
        }
        for (name, options) in set.of_kind(ObjectKind::Queue) {
            catalog.queues.insert(name.into(), queue(set, options));
        }
        catalog
    }

    /// Returns the team that a key belongs to.
    pub fn team_of(&self, key: &str) -> Option<&Name> {
        let hash = KeyHash::of(key);
        let entry = self.keys.get(&hash)?;
        entry.hash.matches(&hash).then_some(&entry.team)
    }
}

/// Builds a queue.
fn queue(set: &ConfigurationSet, options: &ObjectOptions) -> CatalogQueue {
    let policy =
        |option| related_number(set, options, "policy", ObjectKind::Policy, option);
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

/// Returns a number of the object that an option refers to, or its default.
fn related_number(
    set: &ConfigurationSet,
    options: &ObjectOptions,
    reference: &str,
    kind: ObjectKind,
    option: &str,
) -> u64 {
    let name = options.get(reference).unwrap_or_default().to_owned();
    let given = set.get(&ObjectName { kind, name }).and_then(|object| object.get(option));
    let schema = kind.schema().options.iter().find(|known| known.name == option);
    let default = schema.and_then(|known| known.default);
    given.or(default).and_then(|text| text.parse().ok()).unwrap_or(0)
}
