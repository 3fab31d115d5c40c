//! What is known of the work of a run.

use crate::BootTime;
use crate::RunLoss;

/// What is known of the work of a run.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RunWork {
    /// The last time at which the run's last checkpoint was not saved yet, if there is one.
    pub(super) saved_at: Option<BootTime>,
    /// Whether the run began with a checkpoint of an earlier one.
    pub(super) resumed: bool,
    /// Why the run is being stopped.
    pub(super) loss: Option<RunLoss>,
}
