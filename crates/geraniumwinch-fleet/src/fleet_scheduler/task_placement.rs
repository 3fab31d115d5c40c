//! The placement of a task on a worker.

use std::time::Duration;

use crate::BootTime;

use super::WorkerKey;
use super::run_phase::RunPhase;
use super::run_work::RunWork;
use super::start_copies::StartCopies;

/// The placement of a task that runs or may run.
#[derive(Debug, Clone, Copy)]
pub(super) struct TaskPlacement {
    pub(super) worker: WorkerKey,
    pub(super) run: u64,
    /// The phase of the run.
    pub(super) phase: RunPhase,
    /// When the start command was sent, its last copy remained without a response, or the run of a
    /// former owner was adopted.
    pub(super) started_at: BootTime,
    /// When the phase began or, for a stop without a response, when the command was last sent.
    pub(super) since: BootTime,
    /// The last known progress in percent.
    pub(super) percent: u32,
    /// When the progress last changed.
    pub(super) progressed: BootTime,
    /// Whether the worker has confirmed the run.
    pub(super) confirmed: bool,
    /// The copies of the start command.
    pub(super) copies: StartCopies,
    /// Whether the run does all of its task's work and was started by this owner: it neither resumed
    /// from a checkpoint nor was adopted.
    pub(super) whole: bool,
    /// How long the run was expected to take at its start.
    pub(super) expected: Duration,
    /// What is known of the work of the run.
    pub(super) work: RunWork,
}

impl TaskPlacement {
    /// Returns whether the worker has begun the run or may have.
    pub(super) fn may_have_begun(&self) -> bool {
        self.confirmed || self.copies.may_have_begun()
    }

    /// Returns how long the run has worked since its last checkpoint.
    pub(super) fn unsaved(&self, now: BootTime) -> Duration {
        let saved_at = self.work.saved_at.unwrap_or_default();
        now.saturating_sub(saved_at.max(self.started_at))
    }
}
