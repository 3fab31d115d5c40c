//! What one transaction of the journal holds beside its conditions.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::RecordWrite;
use geraniumwinch_fleet::WorkerRecord;

/// A job that is to be stored.
pub(super) struct NewJob {
    /// The identifier that the caller chose.
    pub(super) id: Name,
    /// What the scheduler takes over once it is stored.
    pub(super) record: JobRecord,
    /// The encoded record.
    pub(super) bytes: Vec<u8>,
}

/// What a transaction holds beside its conditions.
#[derive(Default)]
pub(super) struct OpenBatch {
    /// The new jobs.
    pub(super) jobs: Vec<NewJob>,
    /// The changed records with the phases that they hold.
    pub(super) records: Vec<(RecordWrite, JobPhase)>,
    /// The jobs whose records are removed.
    pub(super) removals: Vec<Name>,
    /// The workers where tasks may run, if the store doesn't know some.
    pub(super) workers: Option<Vec<WorkerRecord>>,
}

impl OpenBatch {
    /// Returns whether there is nothing to write.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
            && self.records.is_empty()
            && self.removals.is_empty()
            && self.workers.is_none()
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchEnd {
    /// It was made.
    Written,
    /// It was not made and won't be.
    NotWritten,
    /// The ownership has ended, and it is not known whether it was made.
    Lost,
}

impl BatchEnd {
    /// Returns what those who await a job of the transaction are told.
    pub(super) fn result(self) -> Result<(), ErrorKind> {
        match self {
            BatchEnd::Written => Ok(()),
            BatchEnd::NotWritten => Err(ErrorKind::StoreUnavailable),
            BatchEnd::Lost => Err(ErrorKind::StoreUnknown),
        }
    }
}
