//! What a dispatcher keeps in the store.

use geraniumwinch_core::JobId;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_core::RecordState;
use geraniumwinch_core::TaskOutcome;
use serde::Deserialize;
use serde::Serialize;

/// A fact that has to outlast the process; applying one twice changes nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A job was accepted.
    JobAccepted {
        /// The identifier.
        job: JobId,
        /// The description.
        spec: JobSpec,
        /// The team it runs for.
        team: Name,
        /// The queue it was submitted to.
        queue: Name,
        /// The digest of the idempotency key that came with it.
        key: Option<RecordDigest>,
    },
    /// A job was cancelled.
    JobCancelled {
        /// The identifier.
        job: JobId,
    },
    /// A task ended.
    TaskEnded {
        /// The job.
        job: JobId,
        /// The index of the task.
        index: u32,
        /// How it ended.
        end: TaskOutcome,
    },
    /// A job ended with its last task.
    JobEnded {
        /// The identifier.
        job: JobId,
    },
    /// The state of a request with an idempotency key.
    Record {
        /// The digest of the key.
        digest: RecordDigest,
        /// The digest of the request.
        fingerprint: RecordDigest,
        /// The state, or `None` if the request is known not to have run.
        state: Option<RecordState>,
    },
}
