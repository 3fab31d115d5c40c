//! The queue of one team's jobs.

use std::collections::VecDeque;

use super::job_state::JobKey;

/// The jobs of one team that have waiting tasks, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct TeamQueue {
    /// The urgent jobs.
    pub(super) urgent: VecDeque<JobKey>,
    /// All other jobs.
    pub(super) normal: VecDeque<JobKey>,
}

impl TeamQueue {
    /// Appends a job to its queue.
    pub(super) fn push(&mut self, key: JobKey, urgent: bool) {
        self.by_urgency(urgent).push_back(key);
    }

    /// Returns the queue of urgent jobs or that of all other jobs.
    pub(super) fn by_urgency(&mut self, urgent: bool) -> &mut VecDeque<JobKey> {
        if urgent { &mut self.urgent } else { &mut self.normal }
    }
}
