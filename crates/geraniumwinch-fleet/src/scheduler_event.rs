//! Scheduler events for the log and the metrics.

use std::time::Duration;

use geraniumwinch_core::DurationRatio;
use geraniumwinch_core::Name;

use crate::RunOutcome;
use crate::StepName;
use crate::TaskName;
use crate::WaitTally;

/// An event that the dispatcher logs or counts.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedulerEvent {
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
        /// The outcome of the run.
        outcome: RunOutcome,
    },
    /// A worker lists the end of a run that a former owner has stored as done.
    Relisted {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A run was abandoned because its worker stayed silent until its lease expired.
    Expired {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
        /// The age of the run when the worker became silent.
        age: Duration,
        /// The number of other runs that are left on the worker.
        beside: usize,
    },
    /// A worker's reports begin to have no room for all ends, or have room for all of them again.
    EndsListed {
        /// The worker.
        worker: Name,
        /// Whether all ends are listed.
        all: bool,
    },
    /// A run is missing from its worker's report.
    Missing {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A worker reported a run that its task should not have, which is being stopped.
    Orphaned {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
        /// The incarnation that reported the run.
        incarnation: u64,
        /// The run of the task's placement, if the task is placed.
        placed_run: Option<u64>,
    },
    /// A worker's report was ignored, since it is older than what is known.
    Outdated {
        /// The worker.
        worker: Name,
        /// The incarnation that the report is from.
        incarnation: u64,
        /// The time since the call was sent that it responds to.
        age: Duration,
    },
    /// A run was lost because its worker crashed.
    Crashed {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
        /// The age of the run when the worker became silent.
        age: Duration,
        /// The number of other runs that were lost with the worker.
        beside: usize,
        /// Whether the run may have caused the crash.
        suspected: bool,
    },
    /// A job is given up because one of its tasks crashes its workers.
    GivenUp {
        /// The job.
        job: Name,
    },
    /// Another worker has responded at a worker's address.
    Replaced {
        /// The worker that is gone.
        worker: Name,
        /// The address.
        address: Name,
    },
    /// A worker has left as it had announced.
    Departed {
        /// The worker.
        worker: Name,
        /// The number of tasks that were placed there.
        runs: usize,
    },
    /// A worker reported a new incarnation.
    Restarted {
        /// The worker.
        worker: Name,
        /// The incarnation that was known before.
        former: u64,
        /// The new incarnation.
        incarnation: u64,
    },
    /// A run made no progress for too long and is being stopped.
    Stalled {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
        /// The last known progress in percent.
        percent: u32,
        /// The age of the run.
        age: Duration,
    },
    /// Capacity that was reserved for a gang is released although the gang has not started.
    ReservationLapsed {
        /// The gang's step.
        step: StepName,
        /// The processors that were reserved, in thousandths of a core.
        cpu_millis: u64,
        /// How long they were reserved.
        held: Duration,
        /// What was missing.
        reason: &'static str,
    },
    /// A run is being stopped to free capacity for a more urgent job.
    Preempted {
        /// The task.
        task: TaskName,
        /// The run number.
        run: u64,
        /// The worker.
        worker: Name,
    },
    /// A worker has confirmed the first run of a job.
    FirstStart {
        /// The time from the job's acceptance to the confirmation.
        wait: Duration,
    },
    /// A job has got its first permission.
    FirstPermission {
        /// The time from the job's first request to the first pass that could use the permission.
        wait: Duration,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        job: Name,
        /// The queue.
        queue: Name,
        /// The name of the final phase.
        phase: &'static str,
        /// The time since the job was accepted; `None` if a former owner has accepted it.
        took: Option<Duration>,
        /// The time from its acceptance within which the job should be done.
        allowed: Duration,
        /// What the job has waited for, at this owner.
        waits: WaitTally,
    },
    /// The tasks of a queue turned out to take longer or less long than was assumed.
    DurationsLearned {
        /// The queue.
        queue: Name,
        /// Whether this concerns the gangs of the queue or its other tasks.
        gang: bool,
        /// The ratio of durations to the clients' estimates that was last reported; `None` while the
        /// estimates held.
        former: Option<DurationRatio>,
        /// The ratio from now on.
        current: Option<DurationRatio>,
    },
    /// The rules of a queue have changed, and live jobs follow them.
    QueueChanged {
        /// The queue.
        queue: Name,
        /// The service whose workers run its tasks from now on.
        service: Name,
        /// The number of live jobs whose rules have changed.
        jobs: usize,
    },
    /// No listed worker could run the waiting tasks of a step, whatever else runs there.
    Stranded {
        /// The step.
        step: StepName,
        /// The queue.
        queue: Name,
        /// The service whose workers run the queue's tasks.
        service: Name,
        /// What the workers lack.
        reason: &'static str,
    },
    /// A worker has been quarantined after several failures in a row.
    Quarantined {
        /// The worker.
        worker: Name,
    },
}
