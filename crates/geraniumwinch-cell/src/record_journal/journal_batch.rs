//! The contents of a journal transaction.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::RecordWrite;
use geraniumwinch_fleet::WorkerRecord;

use super::Waiter;

/// A job to be stored.
pub(super) struct NewJob {
    /// The identifier chosen by the client.
    pub(super) id: Name,
    /// The record, which the scheduler accepts once it is stored.
    pub(super) record: JobRecord,
    /// The encoded record.
    pub(super) bytes: Vec<u8>,
}

/// A cancellation of a job that is not known, to be stored.
pub(super) struct NewWithdrawal {
    /// The key.
    pub(super) key: String,
    /// The client account.
    pub(super) account: Name,
    /// Receives the result.
    pub(super) waiter: Waiter,
}

impl NewWithdrawal {
    /// Sends the result to the client.
    pub(super) fn complete(self, result: Result<(), ErrorKind>) {
        // The receiver is gone if the client has disconnected.
        let _ = self.waiter.send(result);
    }
}

/// The contents of a journal transaction, without its conditions.
#[derive(Default)]
pub(super) struct JournalBatch {
    /// The new jobs.
    pub(super) jobs: Vec<NewJob>,
    /// The changed records and the job phases that they contain.
    pub(super) records: Vec<(RecordWrite, JobPhase)>,
    /// The cancellations of jobs that are not known.
    pub(super) withdrawals: Vec<NewWithdrawal>,
    /// The keys that are removed.
    pub(super) removals: Vec<String>,
    /// The workers on which tasks may run, if the stored record has to change.
    pub(super) workers: Option<Vec<WorkerRecord>>,
    /// Whether new jobs and changed records leave no room.
    pub(super) is_full: bool,
}

impl JournalBatch {
    /// Returns whether there is nothing to write.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
            && self.withdrawals.is_empty()
            && self.records.is_empty()
            && self.removals.is_empty()
            && self.workers.is_none()
    }

    /// Returns whether clients wait for the outcome.
    pub(super) fn has_waiters(&self) -> bool {
        !self.jobs.is_empty() || !self.withdrawals.is_empty()
    }
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchOutcome {
    /// The transaction was committed.
    Committed,
    /// The transaction was not committed and will not be.
    NotCommitted,
    /// The ownership has ended, and it is unknown whether the transaction was committed.
    Unknown,
}

impl BatchOutcome {
    /// Returns the outcome of a transaction whose last attempt was not committed.
    /// `maybe_committed` tells whether an earlier attempt may have been.
    pub(super) fn uncommitted(maybe_committed: bool) -> BatchOutcome {
        if maybe_committed { BatchOutcome::Unknown } else { BatchOutcome::NotCommitted }
    }

    /// Returns the result for the clients that wait for the transaction.
    pub(super) fn result(self) -> Result<(), ErrorKind> {
        match self {
            BatchOutcome::Committed => Ok(()),
            BatchOutcome::NotCommitted => Err(ErrorKind::StoreUnavailable),
            BatchOutcome::Unknown => Err(ErrorKind::StoreUnknown),
        }
    }
}
