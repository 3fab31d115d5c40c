//! The phase of a run.

use crate::BootTime;

/// The phase of a placed task's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The start command was sent.
    Starting,
    /// The worker confirmed that the task runs.
    Running,
    /// No response to the start command arrived.
    Unknown,
    /// The task is being stopped; holds the time of the worker's response to the stop command, if
    /// it has responded.
    Stopping(Option<BootTime>),
}
