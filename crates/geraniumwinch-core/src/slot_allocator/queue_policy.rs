//! The configuration of a queue.

use std::time::Duration;

use crate::Name;

/// The configuration of a queue of requests and jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuePolicy {
    /// The service whose endpoints serve the queue's requests.
    pub service: Name,
    /// The maximum number of requests that wait for a slot.
    pub max_waiting: usize,
    /// The deadline of requests that specify none.
    pub default_deadline: Duration,
    /// The maximum deadline that a request may specify.
    pub max_deadline: Duration,
}
