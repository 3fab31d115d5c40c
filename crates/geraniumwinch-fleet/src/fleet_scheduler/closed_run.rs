//! The last run of a task that has ended.

use super::WorkerKey;

/// The last run of a task that is known to have ended, and in which incarnation of its worker. That
/// incarnation begins neither this run nor an earlier one any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ClosedRun {
    pub(super) worker: WorkerKey,
    pub(super) incarnation: Option<u64>,
    pub(super) run: u64,
}

impl ClosedRun {
    /// Returns whether a run in an incarnation of a worker has ended as well.
    pub(super) fn covers(&self, other: &ClosedRun) -> bool {
        let place = (self.worker, self.incarnation);
        place == (other.worker, other.incarnation) && other.run <= self.run
    }
}
