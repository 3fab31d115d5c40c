//! Journal entries that this process keeps for the owner of its domain.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;

use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::MirrorBatch;

use crate::shared_lock::lock;

/// The greatest number of batches that are kept.
const CAPACITY: usize = 10_000;

/// Journal entries that the store did not have when the owner sent them.
#[derive(Debug, Default)]
pub(crate) struct MirrorTable {
    batches: Mutex<BTreeMap<(u64, u64), Vec<JournalEntry>>>,
}

impl MirrorTable {
    /// Keeps a batch and returns whether there was room for it.
    pub(crate) fn insert(&self, batch: MirrorBatch) -> bool {
        let mut batches = self.lock();
        if batches.len() >= CAPACITY {
            return false;
        }
        batches.insert((batch.epoch, batch.sequence), batch.entries);
        true
    }

    /// Drops what the store has by now: the batches up to a sequence number of an epoch.
    ///
    /// The first batch of an epoch holds what other processes kept of former ones, so nothing is
    /// dropped before the store has that.
    pub(crate) fn drop_committed(&self, epoch: u64, sequence: u64) {
        if sequence == 0 {
            return;
        }
        let mut batches = self.lock();
        *batches = batches.split_off(&(epoch, sequence + 1));
    }

    /// Returns every batch in order.
    pub(crate) fn batches(&self) -> Vec<MirrorBatch> {
        let batches = self.lock();
        let describe =
            |(&(epoch, sequence), entries): (&(u64, u64), &Vec<JournalEntry>)| {
                MirrorBatch { epoch, sequence, entries: entries.clone() }
            };
        batches.iter().map(describe).collect()
    }

    /// Locks the table.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(u64, u64), Vec<JournalEntry>>> {
        lock(&self.batches)
    }
}
