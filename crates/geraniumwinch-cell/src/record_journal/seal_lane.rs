//! A sequence of transactions of which one at a time is on its way.

use std::cell::Cell;

use crate::owner_record::SealRecord;

/// A sequence of transactions of which one at a time is on its way.
///
/// Each rewrites the lane's seal and has the seal of the one before as a condition, so that a late
/// copy of a transaction without an answer does nothing.
pub(super) struct SealLane {
    /// The number of the lane, which names its seal.
    pub(super) number: usize,
    /// The store's revision of the seal.
    pub(super) revision: Cell<u64>,
    /// The number of the last transaction of the epoch.
    batch: Cell<u64>,
    /// Whether a transaction is on its way.
    pub(super) busy: Cell<bool>,
}

impl SealLane {
    /// Creates a lane whose seal has a revision.
    pub(super) fn new(number: usize, revision: u64) -> Self {
        let revision = Cell::new(revision);
        SealLane { number, revision, batch: Cell::new(0), busy: Cell::new(false) }
    }

    /// Returns the seal of the next transaction.
    pub(super) fn next_seal(&self, epoch: u64) -> SealRecord {
        let batch = self.batch.get() + 1;
        self.batch.set(batch);
        SealRecord { epoch, batch }
    }
}
