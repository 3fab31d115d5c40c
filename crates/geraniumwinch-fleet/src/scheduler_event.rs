//! Decisions of the scheduler that the log tells.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::RunEnd;
use crate::TaskName;

/// A change that the log tells.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskName,
        /// The run.
        run: u64,
        /// The worker.
        worker: Name,
        /// How it ended.
        end: RunEnd,
    },
    /// A run was given up because its worker was silent until the lease expired.
    Expired {
        /// The task.
        task: TaskName,
        /// The run.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A run is missing in its worker's report.
    Missing {
        /// The task.
        task: TaskName,
        /// The run.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A run makes no progress and is stopped.
    Stalled {
        /// The task.
        task: TaskName,
        /// The run.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A run makes room for a more urgent job.
    Preempted {
        /// The task.
        task: TaskName,
        /// The run.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A worker says for the first time that a task of a job runs.
    FirstStart {
        /// The time since the job was accepted.
        wait: Duration,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        job: Name,
        /// The state that it ended in.
        phase: &'static str,
    },
    /// A worker takes no tasks for a while because runs failed there in a row.
    Quarantined {
        /// The worker.
        worker: Name,
    },
}
