//! The assignment of idempotency keys to failure domains.

use sha2::Digest;
use sha2::Sha256;

use crate::Name;
use crate::RecordDigest;

/// Returns the home domain of a record, which is chosen by rendezvous hashing.
///
/// Adding a domain moves only records whose new home it becomes, and removing one moves only records
/// whose home it was. Returns `None` if there are no domains.
pub fn home_domain<'a>(digest: &RecordDigest, domains: &'a [Name]) -> Option<&'a Name> {
    domains.iter().max_by_key(|domain| weight(digest, domain))
}

/// Returns the rendezvous weight of a domain for a record.
fn weight(digest: &RecordDigest, domain: &Name) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(digest.as_bytes());
    hasher.update(domain.as_bytes());
    let hash = hasher.finalize();
    u64::from_be_bytes(hash[..8].try_into().expect("a SHA-256 hash has 32 bytes"))
}
