//! Whether a refused request has been executed.

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request has been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No endpoint or worker has received the request, and none will.
    NotRun,
    /// An endpoint may have executed the request.
    Unknown,
    /// An endpoint has executed the request.
    Ran,
}

impl RunState {
    /// Returns the value used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
            RunState::Ran => "ran",
        }
    }
}
