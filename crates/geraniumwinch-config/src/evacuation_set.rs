//! The failure domains that operators have evacuated.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// An evacuated failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDomain {
    /// When the evacuation was requested, as Unix time in milliseconds.
    pub since_ms: u64,
}

/// The reason why an evacuation can't be requested or taken back.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum EvacuationProblem {
    /// No domain of the fleet has the name.
    #[snafu(display(
        "no failure domain is called `{domain}`; hint: name one of {known}"
    ))]
    UnknownDomain {
        /// The given name.
        domain: Name,
        /// The names of all domains, separated by commas.
        known: String,
    },
    /// Nothing could be started anywhere.
    #[snafu(display(
        "`{domain}` is the last failure domain that is not evacuated; hint: take another one back \
         first, or request it with `--last`"
    ))]
    LastDomain {
        /// The domain.
        domain: Name,
    },
}

/// The failure domains in which nothing is started, as of one revision of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EvacuationSet {
    domains: BTreeMap<Name, EvacuatedDomain>,
}

impl EvacuationSet {
    /// Returns the evacuation of a domain, if it is evacuated.
    pub fn get(&self, domain: &str) -> Option<EvacuatedDomain> {
        self.domains.get(domain).copied()
    }

    /// Iterates over the evacuated domains, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &EvacuatedDomain)> {
        self.domains.iter()
    }

    /// Returns whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Adds a domain, and returns whether that changes the set; `known` are the domains of the fleet.
    ///
    /// The last domain that is not evacuated is only added if `last` says so.
    pub fn request(
        &mut self,
        domain: &Name,
        known: &[Name],
        last: bool,
        unix_time: Duration,
    ) -> Result<bool, EvacuationProblem> {
        check_known(domain, known)?;
        if self.domains.contains_key(domain) {
            return Ok(false);
        }
        let is_left = |other: &&Name| *other != domain && self.get(other).is_none();
        if !last && !known.iter().any(|other| is_left(&other)) {
            return LastDomainSnafu { domain: domain.clone() }.fail();
        }
        let since_ms = unix_time.as_millis() as u64;
        self.domains.insert(domain.clone(), EvacuatedDomain { since_ms });
        Ok(true)
    }

    /// Removes a domain, and returns whether that changes the set.
    ///
    /// A domain that has left the fleet may be removed too.
    pub fn take_back(
        &mut self,
        domain: &Name,
        known: &[Name],
    ) -> Result<bool, EvacuationProblem> {
        if self.domains.remove(domain).is_some() {
            return Ok(true);
        }
        check_known(domain, known)?;
        Ok(false)
    }
}

/// Reports a name that no domain of the fleet has.
fn check_known(domain: &Name, known: &[Name]) -> Result<(), EvacuationProblem> {
    if known.contains(domain) {
        return Ok(());
    }
    UnknownDomainSnafu { domain: domain.clone(), known: known.join(", ") }.fail()
}
