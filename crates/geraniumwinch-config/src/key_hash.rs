//! Hashes of keys, which settings and configuration sets contain instead of the keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// SHA-256 hash of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses a hash from 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(KeyHash(bytes))
    }

    /// Formats the hash in hexadecimal digits.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }

    /// Compares two hashes in constant time, so that the duration reveals nothing about them.
    pub fn matches(&self, other: &KeyHash) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Conceals the hash, so that it does not get into logs.
impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}
