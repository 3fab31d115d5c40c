//! The response to a request that fails with an error kind.

use std::time::Duration;

use crate::RunState;

/// The response to a request that fails with a given [`ErrorKind`](crate::ErrorKind).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The value of the `error` field and of the metrics' `reason` label.
    pub name: &'static str,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request has been executed.
    pub run: RunState,
    /// The default delay after which the client should retry, used if no better estimate is known.
    pub retry_after: Option<Duration>,
}
