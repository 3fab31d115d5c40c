//! A sequence of transactions that are committed one at a time.

use std::cell::Cell;

use crate::StoreItem;
use crate::owner_record::FenceRecord;
use crate::owner_record::fence_key;

/// A sequence of transactions that are committed one at a time.
///
/// Each transaction rewrites the lane's fence record on the condition that it is unchanged since
/// the previous transaction. A delayed copy of a transaction whose response was lost therefore has
/// no effect.
pub(super) struct CommitLane {
    /// The number of the lane, which is part of the fence key.
    pub(super) number: usize,
    /// The store revision of the fence record.
    pub(super) revision: Cell<u64>,
    /// The number of the last transaction in this epoch.
    sequence: Cell<u64>,
    /// Whether a transaction is in flight.
    pub(super) in_flight: Cell<bool>,
}

impl CommitLane {
    /// Creates a lane whose fence record has a revision.
    pub(super) fn new(number: usize, revision: u64) -> Self {
        let revision = Cell::new(revision);
        CommitLane {
            number,
            revision,
            sequence: Cell::new(0),
            in_flight: Cell::new(false),
        }
    }

    /// Finds the lane's fence record among the items of a conflict.
    pub(super) fn find_fence<'a>(&self, items: &'a [StoreItem]) -> Option<&'a StoreItem> {
        let key = fence_key(self.number);
        items.iter().find(|item| item.key == key)
    }

    /// Returns the fence record of the next transaction.
    pub(super) fn next_fence(&self, epoch: u64) -> FenceRecord {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        FenceRecord { epoch, sequence }
    }
}
