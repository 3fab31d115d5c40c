//! What a read of the platform's list of workers says.

use geraniumwinch_core::Name;

use crate::WorkerInfo;

/// An entry of the list, whether or not it can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryRevision {
    /// The identifier of the worker.
    pub id: Name,
    /// A number that changes with each write of the entry.
    pub revision: u64,
}

/// A read of the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerList {
    /// The workers of all entries that can be used.
    pub workers: Vec<WorkerInfo>,
    /// All entries that were read, also those that can't be used.
    pub entries: Vec<EntryRevision>,
    /// Whether `entries` is known to be whole, so that what it lacks is not listed.
    pub is_whole: bool,
}
