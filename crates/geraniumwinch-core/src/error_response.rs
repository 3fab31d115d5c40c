//! The answer that belongs to an error kind.

use std::time::Duration;

use crate::RunState;

/// One row of the table from error kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The word in the `error` field and in the counter's `reason` label.
    pub name: &'static str,
    /// The HTTP status code.
    pub status: u16,
    /// What the refusal claims about execution.
    pub run: RunState,
    /// When the caller should come back, unless a better estimate is known.
    pub retry_after: Option<Duration>,
}
