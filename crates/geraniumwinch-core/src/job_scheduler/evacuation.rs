//! The evacuation of the failure domain: what runs goes on, and nothing is started.

use crate::TeamLedger;

use super::JobScheduler;
use super::job_state::TaskPhase;
use super::job_state::TaskRef;
use super::job_state::TaskState;

impl JobScheduler {
    /// Starts or ends withholding all starts.
    ///
    /// Tasks that wait for preempted ones to leave their worker are queued again.
    pub fn set_evacuated(&mut self, evacuated: bool, ledger: &mut TeamLedger) {
        self.evacuated = evacuated;
        self.dirty = true;
        if evacuated {
            for task in self.reserved_tasks() {
                self.unplace(task, ledger);
                self.requeue(task);
            }
        }
    }

    /// Returns the tasks that have been placed and not started.
    fn reserved_tasks(&self) -> Vec<TaskRef> {
        let is_reserved = |&(key, index): &TaskRef| {
            let state = self.jobs.get(key).map(|job| job.tasks[index as usize]);
            matches!(state, Some(TaskState::Placed(placement)) if placement.phase == TaskPhase::Reserved)
        };
        self.on_worker.values().flatten().copied().filter(is_reserved).collect()
    }

    /// Returns the number of tasks that may still run on workers that have not reported since the
    /// takeover.
    pub fn unlocated_tasks(&self) -> usize {
        self.unlocated.len()
    }
}
