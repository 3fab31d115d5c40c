//! Journal entries that this process mirrors for the owner of its domain.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::MirrorBatch;

use crate::shared_lock::lock;

/// Maximum number of batches in the table.
const CAPACITY: usize = 10_000;

/// Journal entries that were not in the store yet when the owner sent them.
#[derive(Debug, Default)]
pub(crate) struct MirrorTable {
    batches: Mutex<BTreeMap<(u64, u64), Vec<JournalEntry>>>,
}

impl MirrorTable {
    /// Adds a batch and returns whether the table had space for it.
    pub(crate) fn insert(&self, batch: MirrorBatch) -> bool {
        let mut batches = self.lock();
        if batches.len() >= CAPACITY {
            return false;
        }
        batches.insert((batch.epoch, batch.sequence), batch.entries);
        true
    }

    /// Drops the batches up to a sequence number of an epoch, which are in the store by now.
    ///
    /// An owner gives 0 until the store has the batches that other processes mirrored in earlier
    /// epochs, so nothing is dropped before.
    pub(crate) fn drop_committed(&self, epoch: u64, sequence: u64) {
        if sequence == 0 {
            return;
        }
        let mut batches = self.lock();
        *batches = batches.split_off(&(epoch, sequence + 1));
    }

    /// Returns all batches in order.
    pub(crate) fn batches(&self) -> Vec<MirrorBatch> {
        let batches = self.lock();
        let to_batch =
            |(&(epoch, sequence), entries): (&(u64, u64), &Vec<JournalEntry>)| {
                MirrorBatch { epoch, sequence, entries: entries.clone() }
            };
        batches.iter().map(to_batch).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(u64, u64), Vec<JournalEntry>>> {
        lock(&self.batches)
    }
}
