//! The outcomes of task runs.

use serde::Deserialize;
use serde::Serialize;

/// The outcome of a run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task finished its work.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

impl RunOutcome {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::Done => "done",
            RunOutcome::Failed => "failed",
            RunOutcome::Stopped => "stopped",
            RunOutcome::LeaseExpired => "lapsed",
            RunOutcome::Broken => "broken",
            RunOutcome::Alone => "alone",
        }
    }
}
