//! The commands that the scheduler issues, and the reports that it receives.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;
use crate::JobSpec;
use crate::Name;
use crate::TaskId;

/// The outcome of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task completed its work.
    Succeeded,
    /// The task failed, after tasks of its job had failed on several workers.
    Failed,
    /// The job of the task was cancelled.
    Cancelled,
}

/// The state of a task attempt as reported by a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// The attempt is running.
    Running,
    /// The attempt completed its work.
    Succeeded,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped, or its lease expired.
    Stopped,
}

/// One entry of a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task attempt.
    pub task: TaskId,
    /// The reported state of the attempt.
    #[serde(rename = "sighting")]
    pub state: ReportedState,
}

/// A command that the scheduler issues to a worker or to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerCommand {
    /// Start a task on a worker.
    Start {
        /// The name of the worker.
        worker: Name,
        /// The control address of the worker.
        address: Name,
        /// The task attempt.
        task: TaskId,
        /// The description of the job.
        spec: JobSpec,
        /// Until when the command may be carried out; the worker ignores it afterwards.
        expires: Instant,
    },
    /// Stop a task attempt, and never start this attempt again.
    Stop {
        /// The name of the worker.
        worker: Name,
        /// The control address of the worker.
        address: Name,
        /// The task attempt.
        task: TaskId,
        /// Whether to checkpoint the task first.
        checkpoint: bool,
    },
    /// Record the outcome of a task in the store.
    RecordEnd {
        /// The job.
        job: JobId,
        /// The index of the task.
        index: u32,
        /// The outcome of the task.
        end: TaskOutcome,
    },
    /// Record the end of a job in the store.
    RecordJobEnd {
        /// The job.
        job: JobId,
    },
    /// Let the worker discard a report, once all preceding commands have been recorded.
    Acknowledge {
        /// The name of the worker.
        worker: Name,
        /// The task attempt.
        task: TaskId,
    },
}
