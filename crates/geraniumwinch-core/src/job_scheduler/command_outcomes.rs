//! The processing of the outcomes of start and stop commands.

use std::time::Instant;

use crate::TaskId;
use crate::TeamLedger;

use super::JobScheduler;
use super::ReportedState;
use super::job_state::TaskPhase;
use super::job_state::TaskPlacement;
use super::job_state::TaskState;

impl JobScheduler {
    /// Handles the confirmation of a start.
    pub fn start_confirmed(&mut self, id: &TaskId, now: Instant) {
        let Some(placement) = self.answer_start(id) else { return };
        if placement.phase == TaskPhase::Starting {
            placement.phase = TaskPhase::Running(now);
        }
    }

    /// Records that the worker has answered a start, which it will not carry out any more.
    fn answer_start(&mut self, id: &TaskId) -> Option<&mut TaskPlacement> {
        let ((key, index), _) = self.find_placed(id)?;
        match &mut self.jobs[key].tasks[index as usize] {
            TaskState::Placed(placement) => {
                placement.start_expires = None;
                Some(placement)
            }
            _ => None,
        }
    }

    /// Handles a start that the worker refused, or whose command was never sent. The attempt has not begun, so it
    /// says something about the worker, but nothing about the job.
    pub fn start_refused(&mut self, id: &TaskId, ledger: &mut TeamLedger, now: Instant) {
        self.answer_start(id);
        let Some((task, placement)) = self.find_placed(id) else { return };
        if placement.phase == TaskPhase::Starting {
            self.refuse_attempt(task, placement.worker, ledger, now);
        }
    }

    /// Handles the loss of the response to a start command.
    ///
    /// The attempt may be running, so it is stopped.
    pub fn start_unknown(&mut self, id: &TaskId, now: Instant) {
        let Some((task, placement)) = self.find_placed(id) else { return };
        if placement.phase == TaskPhase::Starting {
            self.stop_task(task, false, now);
        }
    }

    /// Handles a worker's confirmation of a stop that was sent at `sent`.
    ///
    /// A start that the worker has neither answered nor reported may still be carried out by its next
    /// incarnation, which does not know of the stop. Until the start has expired, the confirmation
    /// has no effect, and the stop is repeated.
    pub fn stop_confirmed(
        &mut self,
        id: &TaskId,
        sent: Instant,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let Some((task, placement)) = self.find_placed(id) else { return };
        if placement.start_expires.is_some_and(|expires| sent < expires) {
            return;
        }
        self.finish_attempt(task, placement.worker, ReportedState::Stopped, ledger, now);
    }
}
