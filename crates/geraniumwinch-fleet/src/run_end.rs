//! How a run of a task ended.

use serde::Deserialize;
use serde::Serialize;

/// How a run of a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The work is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang were not there in time.
    Alone,
}

impl RunEnd {
    /// Returns the word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Lapsed => "lapsed",
            RunEnd::Broken => "broken",
            RunEnd::Alone => "alone",
        }
    }
}
