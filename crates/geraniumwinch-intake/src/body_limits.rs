//! The limits of a request body.

use std::time::Duration;

/// The limits of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// The maximum size in bytes.
    pub max_bytes: usize,
    /// The maximum time without a further byte.
    pub max_pause: Duration,
    /// The maximum time until the body is complete.
    pub max_time: Duration,
}
