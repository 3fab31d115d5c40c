//! What the board asks of its surroundings, and what it is told.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;
use crate::JobSpec;
use crate::Name;
use crate::TaskId;

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It did its work.
    Succeeded,
    /// It failed on several workers.
    Failed,
    /// Its job was cancelled.
    Cancelled,
}

/// What a worker says of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportedState {
    /// It runs.
    Running,
    /// It did its work.
    Succeeded,
    /// It failed.
    Failed,
    /// It was stopped, or its lease ran out.
    Stopped,
}

/// One line of a worker's inventory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub task: TaskId,
    /// What the worker says of it.
    #[serde(rename = "sighting")]
    pub state: ReportedState,
}

/// Something that the board asks of its surroundings.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerCommand {
    /// Start a task on a worker.
    Start {
        /// The worker's name.
        worker: Name,
        /// The worker's control address.
        address: Name,
        /// The attempt.
        task: TaskId,
        /// The job's description.
        spec: JobSpec,
        /// The time within which the worker must execute the command or never.
        expires_in: Duration,
    },
    /// Stop a task and never start that attempt again.
    Stop {
        /// The worker's name.
        worker: Name,
        /// The worker's control address.
        address: Name,
        /// The attempt.
        task: TaskId,
        /// Whether to checkpoint it first.
        checkpoint: bool,
    },
    /// Keep the end of a task in the store.
    RecordEnd {
        /// The job.
        job: JobId,
        /// The index of the task.
        index: u32,
        /// How it ended.
        end: TaskOutcome,
    },
    /// Keep the end of a job in the store.
    RecordJobEnd {
        /// The job.
        job: JobId,
    },
    /// Let the worker forget a report once everything before it is kept.
    Acknowledge {
        /// The worker's name.
        worker: Name,
        /// The attempt.
        task: TaskId,
    },
}
