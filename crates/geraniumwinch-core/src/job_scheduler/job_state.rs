//! The state of jobs and their tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Instant;

use crate::CrashHistory;
use crate::JobId;
use crate::JobSpec;
use crate::Name;
use crate::TeamKey;
use crate::WorkerKey;

use super::TaskOutcome;

slotmap::new_key_type! {
    /// The key of a job in the scheduler.
    pub(super) struct JobKey;
}

/// A reference to a task by its job and index.
pub(super) type TaskRef = (JobKey, u32);

/// The placement of a task attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TaskPlacement {
    /// The worker.
    pub(super) worker: WorkerKey,
    /// The number of the attempt.
    pub(super) attempt: u64,
    /// When the resources were booked.
    pub(super) since: Instant,
    /// The phase of the attempt.
    pub(super) phase: TaskPhase,
    /// Until when the start command may still be carried out; `None` once the worker has answered it or
    /// has reported the attempt.
    pub(super) start_expires: Option<Instant>,
}

/// The phase of a placed task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskPhase {
    /// Resources are booked, but preempted tasks have yet to release them.
    Reserved,
    /// The start command has been issued.
    Starting,
    /// The worker has confirmed the start, at the given time.
    Running(Instant),
    /// A stop command has been issued.
    Stopping {
        /// Whether the task is checkpointed first.
        checkpoint: bool,
    },
}

/// The state of a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum TaskState {
    /// The task waits for a worker.
    Pending,
    /// The task waits for the end of a backoff.
    Delayed {
        /// When the backoff ends.
        until: Instant,
    },
    /// The task may be running on a worker that has not reported since the takeover.
    Unlocated {
        /// When all leases under which the task may be running have expired.
        until: Instant,
    },
    /// The task is placed on a worker.
    Placed(TaskPlacement),
    /// The task has ended.
    Ended(TaskOutcome),
}

/// The state of a job.
#[derive(Debug)]
pub(super) struct JobState {
    /// The identifier of the job.
    pub(super) id: JobId,
    /// The description of the job.
    pub(super) spec: JobSpec,
    /// The team that the job belongs to.
    pub(super) team: TeamKey,
    /// The queue to which the job was submitted.
    pub(super) queue: Name,
    /// When this scheduler accepted or restored the job.
    pub(super) accepted: Instant,
    /// The tasks by index.
    pub(super) tasks: Vec<TaskState>,
    /// The indices of the waiting tasks.
    pub(super) pending: VecDeque<u32>,
    /// The number of ended tasks.
    pub(super) ended: u32,
    /// Whether the job is in its team's queue.
    pub(super) queued: bool,
    /// Whether the job was cancelled.
    pub(super) cancelled: bool,
    /// The workers on which tasks of the job have failed.
    pub(super) failed_on: BTreeSet<WorkerKey>,
    /// The workers that have refused starts of the job, or that no start could be sent to.
    pub(super) refused_by: BTreeSet<WorkerKey>,
    /// The crashes of workers under tasks, by index.
    pub(super) crashes: BTreeMap<u32, CrashHistory>,
}

impl JobState {
    /// Returns whether a worker is avoided, since tasks of the job have failed there or starts were refused.
    pub(super) fn avoids(&self, worker: WorkerKey) -> bool {
        self.failed_on.contains(&worker) || self.refused_by.contains(&worker)
    }

    /// Creates a job whose tasks are all pending.
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
            refused_by: BTreeSet::new(),
            crashes: BTreeMap::new(),
        }
    }
}
