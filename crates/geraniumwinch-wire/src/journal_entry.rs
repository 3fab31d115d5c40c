//! Entries of the journal that a dispatcher keeps in the store.

use geraniumwinch_core::JobId;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::TaskOutcome;
use serde::Deserialize;
use serde::Serialize;

/// A state change that must survive the process. Applying an entry is idempotent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A job was accepted.
    JobAccepted {
        /// The job's identifier.
        job: JobId,
        /// The job's specification.
        spec: JobSpec,
        /// The team that the job runs for.
        team: Name,
        /// The queue that the job was submitted to.
        queue: Name,
        /// Digest of the idempotency key of the submission.
        key: Option<RecordDigest>,
    },
    /// A job was cancelled.
    JobCancelled {
        /// The job's identifier.
        job: JobId,
    },
    /// A task ended.
    TaskEnded {
        /// The task's job.
        job: JobId,
        /// Index of the task in its job.
        index: u32,
        /// How the task ended.
        end: TaskOutcome,
    },
    /// A job ended together with its last task.
    JobEnded {
        /// The job's identifier.
        job: JobId,
    },
    /// The state of a request with an idempotency key changed.
    Record {
        /// Digest of the idempotency key.
        digest: RecordDigest,
        /// Digest of the request.
        fingerprint: RecordDigest,
        /// The new state, or `None` if the request certainly did not run.
        state: Option<RecordState>,
    },
}
