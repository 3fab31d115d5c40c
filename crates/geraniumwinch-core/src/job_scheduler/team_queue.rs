//! The jobs of one team that have waiting tasks.

use std::collections::VecDeque;

use super::job_state::JobKey;

/// The jobs of one team that have waiting tasks, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct TeamQueue {
    /// Urgent jobs.
    pub(super) urgent: VecDeque<JobKey>,
    /// All other jobs.
    pub(super) normal: VecDeque<JobKey>,
}

impl TeamQueue {
    /// Adds a job at the end.
    pub(super) fn push(&mut self, key: JobKey, urgent: bool) {
        self.side(urgent).push_back(key);
    }

    /// Returns the urgent or the normal side.
    pub(super) fn side(&mut self, urgent: bool) -> &mut VecDeque<JobKey> {
        if urgent { &mut self.urgent } else { &mut self.normal }
    }
}
