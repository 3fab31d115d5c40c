//! Which report of its worker a start needs.
//!
//! A worker may restart unnoticed, and a former owner may start tasks in the new incarnation as well. A start
//! names no incarnation, but its ticket is valid in one only. So a ticket is used once the worker has
//! responded to a call that was sent after the ticket was received: the start can then be executed only in
//! an incarnation that has reported to this owner. That call carries this owner's token, so the report lists
//! all that former owners have started there, and nothing of theirs follows.
//!
//! Whatever the queue, nothing starts on the first report of an incarnation alone: the call that it responds
//! to may carry a token for an earlier one.

use crate::BootTime;
use crate::RunStart;
use crate::StartBasis;

use super::FleetScheduler;
use super::WorkerKey;

impl FleetScheduler {
    /// Returns whether the worker of a start has to report again before the start may be sent.
    pub fn needs_report(&self, start: &RunStart) -> bool {
        let Some(state) = self.workers.get(start.worker) else { return false };
        let received = start.ticket.as_ref().map(|ticket| ticket.received);
        let since = received.map_or(state.fenced_since, |at| at.max(state.fenced_since));
        state.report_sent < since
    }

    /// Returns when the first report of a worker's present incarnation was processed; zero if the worker is
    /// not known. A start needs an ownership that was confirmed since then: the next owner then calls this
    /// incarnation or a later one.
    pub fn incarnation_since(&self, worker: WorkerKey) -> BootTime {
        self.workers.get(worker).map_or(BootTime::ZERO, |state| state.fenced_since)
    }

    /// Returns what is known of a worker when a start is sent to it.
    pub fn start_basis(&self, worker: WorkerKey, now: BootTime) -> StartBasis {
        let Some(state) = self.workers.get(worker) else { return StartBasis::default() };
        StartBasis {
            incarnation: state.incarnation.unwrap_or_default(),
            fence: state.fence,
            report_age: now.saturating_sub(state.reported_at),
        }
    }

    /// Records that a worker has not reported, although starts wait for it.
    pub fn report_missing(&mut self, worker: WorkerKey, now: BootTime) {
        if self.workers.contains_key(worker) {
            self.record_failure(worker, now);
        }
    }
}
