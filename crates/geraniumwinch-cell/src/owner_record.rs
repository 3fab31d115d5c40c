//! The store's record of who owns the cell.

use std::net::SocketAddr;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::WorkerRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::StoreTransaction;
use crate::StoreWrite;
use crate::VmSize;

/// The key of the record; it ends with the owner's lease.
pub(crate) const OWNER_KEY: &str = "cell/owner";
/// The key of the last epoch.
pub(crate) const EPOCH_KEY: &str = "cell/epoch";
/// The prefix of the keys that the owner's transactions rewrite, so that no late one is carried out.
pub(crate) const SEAL_PREFIX: &str = "cell/seal/";
/// The key of the workers where tasks may run.
pub(crate) const WORKERS_KEY: &str = "cell/workers";
/// The prefix of the jobs' keys.
pub(crate) const JOB_PREFIX: &str = "job/";

/// Who owns the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    /// The epoch.
    pub(crate) epoch: u64,
    /// The owner's name.
    pub(crate) name: Name,
    /// The number that the owner's process drew when it started.
    pub(crate) process: u64,
    /// The owner's address for peers.
    pub(crate) address: SocketAddr,
    /// The size of the owner's VM.
    pub(crate) size: VmSize,
    /// The store's lease of the record.
    pub(crate) lease: u64,
}

impl OwnerRecord {
    /// Encodes the record.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the record has a fixed form")
    }

    /// Decodes a record.
    pub(crate) fn decode(bytes: &[u8]) -> Option<OwnerRecord> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The last epoch, which stays when its owner is gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochRecord {
    /// The number of the epoch.
    pub(crate) epoch: u64,
    /// The size of its owner's VM.
    pub(crate) size: VmSize,
}

impl EpochRecord {
    /// Encodes the record.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the record has a fixed form")
    }

    /// Decodes a record.
    pub(crate) fn decode(bytes: &[u8]) -> Option<EpochRecord> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The value of the key that each transaction rewrites.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SealRecord {
    /// The owner's epoch.
    pub(crate) epoch: u64,
    /// The number of the transaction within the epoch.
    pub(crate) batch: u64,
}

impl SealRecord {
    /// Encodes the record.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the record has a fixed form")
    }

    /// Decodes a record.
    pub(crate) fn decode(bytes: &[u8]) -> Option<SealRecord> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Returns the key of the seal of a lane of transactions.
pub(crate) fn seal_key(lane: usize) -> String {
    format!("{SEAL_PREFIX}{lane}")
}

/// Encodes the workers where tasks may run.
pub(crate) fn encode_workers(workers: &[WorkerRecord]) -> Vec<u8> {
    postcard::to_stdvec(workers).expect("records have a fixed form")
}

/// Decodes the workers where tasks may run.
pub(crate) fn decode_workers(bytes: &[u8]) -> Option<Vec<WorkerRecord>> {
    postcard::from_bytes(bytes).ok()
}

/// Creates the transaction that takes the ownership.
pub(crate) fn claim_batch(record: &OwnerRecord, epoch_revision: u64) -> StoreTransaction {
    let write = |key: &str, value: Vec<u8>, lease: Option<u64>| StoreWrite {
        key: key.to_owned(),
        value,
        lease,
    };
    let epoch = EpochRecord { epoch: record.epoch, size: record.size };
    StoreTransaction {
        expected: vec![(OWNER_KEY.to_owned(), 0), (EPOCH_KEY.to_owned(), epoch_revision)],
        writes: vec![
            write(OWNER_KEY, record.encode(), Some(record.lease)),
            write(EPOCH_KEY, epoch.encode(), None),
        ],
        removals: Vec::new(),
    }
}
