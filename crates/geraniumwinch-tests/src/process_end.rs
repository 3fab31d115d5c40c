//! The end of a process.

use std::time::Duration;
use std::time::Instant;

use crate::SentRequest;

/// How long before its end a process may leave a request without a response.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The end of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessEnd {
    /// The index of the process.
    pub index: usize,
    /// When the process was gone.
    pub at: Instant,
    /// Whether it was stopped with notice.
    pub planned: bool,
}

impl ProcessEnd {
    /// Returns the end of the process that a request was sent to, if it has ended.
    pub fn of(request: &SentRequest, ends: &[ProcessEnd]) -> Option<ProcessEnd> {
        let of_process =
            |end: &&ProcessEnd| end.index == request.process && end.at >= request.opened;
        ends.iter().filter(of_process).min_by_key(|end| end.at).copied()
    }

    /// Returns whether a process may leave a request without a response that was sent before this end:
    /// it ended without notice, or at the same moment.
    pub fn excuses(&self, request: &SentRequest) -> bool {
        !self.planned || self.at <= request.exchange.sent + ANSWER_MARGIN
    }
}
