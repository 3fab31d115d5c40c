//! A sequence of transactions of which one at a time is on its way.

use std::cell::Cell;

use crate::owner_record::FenceRecord;

/// A sequence of transactions of which one at a time is on its way.
///
/// Each rewrites the lane's fence and has the fence of the one before as a condition, so that a late
/// copy of a transaction without an answer does nothing.
pub(super) struct CommitLane {
    /// The number of the lane, which names its fence.
    pub(super) number: usize,
    /// The store's revision of the fence.
    pub(super) revision: Cell<u64>,
    /// The number of the last transaction of the epoch.
    sequence: Cell<u64>,
    /// Whether a transaction is on its way.
    pub(super) in_flight: Cell<bool>,
}

impl CommitLane {
    /// Creates a lane whose fence has a revision.
    pub(super) fn new(number: usize, revision: u64) -> Self {
        let revision = Cell::new(revision);
        CommitLane {
            number,
            revision,
            sequence: Cell::new(0),
            in_flight: Cell::new(false),
        }
    }

    /// Returns the fence of the next transaction.
    pub(super) fn next_fence(&self, epoch: u64) -> FenceRecord {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        FenceRecord { epoch, sequence }
    }
}
