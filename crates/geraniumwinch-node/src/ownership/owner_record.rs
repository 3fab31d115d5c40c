//! The ownership record of a domain in the store.

use geraniumwinch_core::Name;
use geraniumwinch_wire::OwnerView;
use serde::Deserialize;
use serde::Serialize;

use crate::platform_store::StoreRecord;

/// The ownership record of a domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerRecord {
    /// The owner.
    pub(crate) view: OwnerView,
    /// The random identifier of the transaction that wrote the record.
    pub(crate) change: u128,
    /// Start of the ownership as Unix time in milliseconds.
    pub(crate) since_ms: u64,
    /// The store's revision of the record.
    pub(crate) revision: i64,
}

/// The stored value of an ownership record.
#[derive(Debug, Serialize, Deserialize)]
struct OwnerValue {
    owner: OwnerView,
    change: String,
    since_ms: u64,
}

/// The stored list of a domain's processes.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct MembersValue {
    /// The names of the processes.
    pub(super) names: Vec<Name>,
    /// Their peer addresses.
    pub(super) addresses: Vec<std::net::SocketAddr>,
}

impl OwnerRecord {
    /// Decodes a stored record; returns `None` if it is malformed.
    pub(crate) fn decode(record: &StoreRecord) -> Option<OwnerRecord> {
        let value: OwnerValue = serde_json::from_slice(&record.value).ok()?;
        let change = u128::from_str_radix(&value.change, 16).ok()?;
        Some(OwnerRecord {
            view: value.owner,
            change,
            since_ms: value.since_ms,
            revision: record.mod_revision,
        })
    }

    /// Encodes the value of a record.
    pub(crate) fn encode(view: &OwnerView, change: u128, since_ms: u64) -> Vec<u8> {
        let change = format!("{change:032x}");
        let value = OwnerValue { owner: view.clone(), change, since_ms };
        serde_json::to_vec(&value).expect("a record can be written as JSON")
    }
}
