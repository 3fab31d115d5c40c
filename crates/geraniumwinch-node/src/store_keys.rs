//! The keys of the system's records in the store.

use geraniumwinch_core::Name;

/// The key of the configuration's head, which names the newest revision.
pub(crate) const CONFIG_HEAD: &str = "geraniumwinch/config/head";
/// The key of the complete configuration set at the head's revision.
pub(crate) const CONFIG_CURRENT: &str = "geraniumwinch/config/current";

/// The key of the division of the teams' limits among the failure domains.
pub(crate) const ALLOWANCES: &str = "geraniumwinch/allowances";

/// Returns the key of the change that produced a revision.
pub(crate) fn config_delta(revision: u64) -> String {
    format!("geraniumwinch/config/delta/{revision:016x}")
}

/// Returns the key of the ownership record of a domain.
pub(crate) fn owner(domain: &Name) -> String {
    format!("geraniumwinch/owner/{domain}")
}

/// Returns the key that exists as long as the lease of a domain's owner.
pub(crate) fn owner_alive(domain: &Name) -> String {
    format!("geraniumwinch/alive/{domain}")
}

/// Returns the key of the members of a domain.
pub(crate) fn members(domain: &Name) -> String {
    format!("geraniumwinch/members/{domain}")
}

/// Returns the prefix of the keys of a domain's journal.
pub(crate) fn journal_prefix(domain: &Name) -> String {
    format!("geraniumwinch/journal/{domain}/")
}

/// Returns the key of a batch of a domain's journal.
pub(crate) fn journal(domain: &Name, epoch: u64, sequence: u64) -> String {
    format!("{}{epoch:016x}.{sequence:016x}", journal_prefix(domain))
}
