//! Journal entries that this process mirrors for the owner of its domain.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Mutex;
use std::sync::MutexGuard;

use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::MirrorBatch;

use crate::shared_lock::lock;

/// Maximum number of batches in the table.
const CAPACITY: usize = 10_000;
/// Maximum size of the batches in a response, in bytes, unless a single one is larger.
const PAGE_BYTES: usize = 1 << 20;

/// Journal entries that were not in the store yet when the owner sent them.
#[derive(Debug, Default)]
pub(crate) struct MirrorTable {
    batches: Mutex<BTreeMap<BatchKey, MirroredEntries>>,
}

/// The epoch and the sequence number of a batch.
pub(crate) type BatchKey = (u64, u64);

/// The entries of a batch with the size that they have in a message, in bytes.
type MirroredEntries = (usize, Vec<JournalEntry>);

impl MirrorTable {
    /// Adds a batch and returns whether the table had space for it.
    pub(crate) fn insert(&self, batch: MirrorBatch) -> bool {
        let mut batches = self.lock();
        if batches.len() >= CAPACITY {
            return false;
        }
        let key = (batch.epoch, batch.sequence);
        batches.insert(key, (batch.encoded_bytes(), batch.entries));
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

    /// Returns the batches that follow a given one, in order, as many as fit into a response.
    pub(crate) fn page(&self, after: Option<BatchKey>) -> Vec<MirrorBatch> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut bytes = 0;
        let mut page = Vec::new();
        for (&(epoch, sequence), (size, entries)) in
            self.lock().range((from, Bound::Unbounded))
        {
            bytes += size;
            if bytes > PAGE_BYTES && !page.is_empty() {
                break;
            }
            page.push(MirrorBatch { epoch, sequence, entries: entries.clone() });
        }
        page
    }

    /// Returns all batches in order.
    pub(crate) fn batches(&self) -> Vec<MirrorBatch> {
        let batches = self.lock();
        let to_batch =
            |(&(epoch, sequence), (_, entries)): (&BatchKey, &MirroredEntries)| {
                MirrorBatch { epoch, sequence, entries: entries.clone() }
            };
        batches.iter().map(to_batch).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<BatchKey, MirroredEntries>> {
        lock(&self.batches)
    }
}
