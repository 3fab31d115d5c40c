//! The configured behaviour of a queue.

use std::time::Duration;

use crate::Name;

/// The configured behaviour of a queue of requests and jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuePolicy {
    /// The service whose endpoints run the queue's requests.
    pub service: Name,
    /// The greatest number of requests that wait for a slot.
    pub max_waiting: usize,
    /// The deadline of a request that names none.
    pub default_deadline: Duration,
    /// The greatest deadline that a request may name.
    pub max_deadline: Duration,
}
