//! The scheduler's state of a task.

use geraniumwinch_core::CrashHistory;
use geraniumwinch_core::Name;

use crate::BootTime;
use crate::LostContact;

use super::closed_run::ClosedRun;
use super::restart_delay::RestartDelay;
use super::task_placement::TaskPlacement;

/// The state of a task.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskState {
    /// Whether the work is done. Members of a finished gang may still run for a moment.
    pub(super) done: bool,
    /// The current placement, if any.
    pub(super) placement: Option<TaskPlacement>,
    /// The numbers of failed runs; those of a gang are kept at its first task.
    pub(super) failed_runs: Vec<u64>,
    /// The crashes of workers under the task since a run last lasted much longer.
    pub(super) crashes: CrashHistory,
    /// The runs whose workers have become silent, as long as it is not known whether they have crashed.
    pub(super) lost_contacts: Vec<LostContact>,
    /// The highest known run number.
    pub(super) last_run: u64,
    /// The last run of which this owner has read the end.
    pub(super) closed_run: Option<ClosedRun>,
    pub(super) checkpoint: Option<Name>,
    /// When a long-running task may start again.
    pub(super) restart_delay: RestartDelay,
    /// The number of runs that counted as stalled.
    pub(super) stalls: u32,
    /// Whether the task was preempted for a more urgent job.
    pub(super) preempted: bool,
}

impl TaskState {
    /// Returns whether the task is neither done nor placed.
    pub(super) fn is_waiting(&self) -> bool {
        !self.done && self.placement.is_none()
    }

    /// Returns whether the task waits and may start now.
    pub(super) fn is_startable(&self, now: BootTime) -> bool {
        self.is_waiting() && !self.restart_delay.holds(now)
    }

    /// Returns whether the task is done and nothing else has to be known of it. Its failures and checkpoint no
    /// longer matter, and run numbers matter only to tasks that start again.
    pub(super) fn is_settled(&self) -> bool {
        self.done
            && self.placement.is_none()
            && self.crashes.is_empty()
            && self.lost_contacts.is_empty()
    }

    /// Returns whether the task may have crashed a worker.
    pub(super) fn is_suspected(&self) -> bool {
        self.crashes.is_suspected()
    }
}
