//! Records of the ownership, the epoch, the journal's fences and the workers in the store.

use std::net::SocketAddr;

use geraniumwinch_core::Name;
use geraniumwinch_fleet::WorkerRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::StoreTransaction;
use crate::StoreWrite;
use crate::VmSize;

/// The key of the owner record, which is attached to the owner's lease.
pub(crate) const OWNER_KEY: &str = "cell/owner";
/// The key of the last epoch.
pub(crate) const EPOCH_KEY: &str = "cell/epoch";
/// The prefix of the fence keys, which the owner's transactions rewrite so that delayed
/// transactions have no effect.
pub(crate) const FENCE_PREFIX: &str = "cell/seal/";
/// The key of the workers on which tasks may run.
pub(crate) const WORKERS_KEY: &str = "cell/workers";
/// The prefix of job keys.
pub(crate) const JOB_PREFIX: &str = "job/";
/// The prefix of the keys of cancellations of jobs that were not known. The value is the client account.
pub(crate) const WITHDRAWN_PREFIX: &str = "withdrawn/";

/// The owner of the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnerRecord {
    /// The epoch of the ownership.
    pub(crate) epoch: u64,
    /// The name of the owner process.
    pub(crate) name: Name,
    /// The random number that the owner process drew at its start.
    pub(crate) process: u64,
    /// The owner's address for peers.
    pub(crate) address: SocketAddr,
    /// The size of the owner's VM.
    pub(crate) size: VmSize,
    /// The lease that the record is attached to.
    pub(crate) lease: u64,
}

impl OwnerRecord {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding a record into memory cannot fail")
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<OwnerRecord> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The last epoch, which remains when the owner's record is gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EpochRecord {
    /// The number of the epoch.
    pub(crate) epoch: u64,
    /// The size of its owner's VM.
    pub(crate) size: VmSize,
}

impl EpochRecord {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding a record into memory cannot fail")
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<EpochRecord> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The value of a fence key, which each transaction of its lane rewrites.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FenceRecord {
    /// The epoch of the owner.
    pub(crate) epoch: u64,
    /// The number of the transaction within the lane and the epoch.
    pub(crate) sequence: u64,
}

impl FenceRecord {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding a record into memory cannot fail")
    }

    pub(crate) fn decode(bytes: &[u8]) -> Option<FenceRecord> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Returns the fence key of a journal lane.
pub(crate) fn fence_key(lane: usize) -> String {
    format!("{FENCE_PREFIX}{lane}")
}

/// Returns the key of a job.
pub(crate) fn job_key(job: &Name) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Encodes the workers on which tasks may run.
pub(crate) fn encode_workers(workers: &[WorkerRecord]) -> Vec<u8> {
    postcard::to_stdvec(workers).expect("encoding records into memory cannot fail")
}

/// Decodes the workers on which tasks may run.
pub(crate) fn decode_workers(bytes: &[u8]) -> Option<Vec<WorkerRecord>> {
    postcard::from_bytes(bytes).ok()
}

/// Creates the transaction that claims the ownership.
pub(crate) fn claim_transaction(
    record: &OwnerRecord,
    epoch_revision: u64,
) -> StoreTransaction {
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
