//! The state of a job and its tasks.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Instant;

use crate::JobId;
use crate::JobSpec;
use crate::Name;
use crate::TeamKey;
use crate::WorkerKey;

use super::TaskOutcome;

slotmap::new_key_type! {
    /// The key of a job on the board.
    pub(super) struct JobKey;
}

/// A task: its job and its index.
pub(super) type TaskRef = (JobKey, u32);

/// Where an attempt runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TaskPlace {
    /// The worker.
    pub(super) worker: WorkerKey,
    /// The number of the attempt.
    pub(super) attempt: u64,
    /// When the room was booked.
    pub(super) since: Instant,
    /// How far it has come.
    pub(super) phase: TaskPhase,
}

/// How far a placed task has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskPhase {
    /// Room is booked, but preempted tasks still have to leave.
    Reserved,
    /// The start command is on its way.
    Starting,
    /// The worker has confirmed the start at this time.
    Running(Instant),
    /// A stop command is on its way.
    Stopping {
        /// Whether the task is checkpointed first.
        checkpoint: bool,
    },
}

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskState {
    /// It waits for a worker.
    Pending,
    /// It waits for the end of a backoff.
    Delayed {
        /// When the backoff ends.
        until: Instant,
    },
    /// It may run on a worker that has not reported since the takeover.
    Unlocated {
        /// When every lease under which it may run has ended.
        until: Instant,
    },
    /// It is placed on a worker.
    Placed(TaskPlace),
    /// It has ended.
    Ended(TaskOutcome),
}

/// The state of a job.
#[derive(Debug)]
pub(super) struct JobState {
    /// The identifier.
    pub(super) id: JobId,
    /// The description.
    pub(super) spec: JobSpec,
    /// The team it runs for.
    pub(super) team: TeamKey,
    /// The queue it was submitted to.
    pub(super) queue: Name,
    /// When it was accepted here.
    pub(super) accepted: Instant,
    /// The tasks by index.
    pub(super) tasks: Vec<TaskState>,
    /// The indices of the waiting tasks.
    pub(super) pending: VecDeque<u32>,
    /// The number of ended tasks.
    pub(super) ended: u32,
    /// Whether the job is in its team's line.
    pub(super) queued: bool,
    /// Whether it was cancelled.
    pub(super) cancelled: bool,
    /// The workers on which its tasks have failed.
    pub(super) failed_on: BTreeSet<WorkerKey>,
}

impl JobState {
    /// Creates a job all of whose tasks wait.
    pub(super) fn new(
        id: JobId,
        spec: JobSpec,
        team: TeamKey,
        queue: Name,
        now: Instant,
    ) -> Self {
        let tasks = vec![TaskState::Pending; spec.tasks as usize];
        let pending = (0..spec.tasks).collect();
        JobState {
            id,
            spec,
            team,
            queue,
            accepted: now,
            tasks,
            pending,
            ended: 0,
            queued: false,
            cancelled: false,
            failed_on: BTreeSet::new(),
        }
    }
}
