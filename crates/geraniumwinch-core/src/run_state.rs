//! What a refusal may claim about the execution of a request.

use serde::Deserialize;
use serde::Serialize;

/// Whether the refused request has been executed by an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No endpoint or worker has received it, and none will.
    NotRun,
    /// An endpoint may have executed it.
    Unknown,
    /// An endpoint has executed it.
    Ran,
}

impl RunState {
    /// Returns the word used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
            RunState::Ran => "ran",
        }
    }
}
