//! The jobs of one failure domain, and the placement of their tasks on workers.

mod attempt_ends;
mod command_outcomes;
mod crashes;
mod evacuation;
mod inventory;
mod job_state;
mod job_view;
mod placement;
mod preemption;
mod quarantine;
mod recovery;
mod scheduler_command;
mod team_queue;

pub use self::job_view::JobView;
pub use self::scheduler_command::ReportedState;
pub use self::scheduler_command::SchedulerCommand;
pub use self::scheduler_command::TaskOutcome;
pub use self::scheduler_command::TaskReport;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use slotmap::SecondaryMap;
use slotmap::SlotMap;

use crate::ErrorKind;
use crate::JobId;
use crate::JobSpec;
use crate::Name;
use crate::TaskId;
use crate::TeamKey;
use crate::TeamLedger;
use crate::WorkerKey;
use crate::WorkerSpec;
use crate::WorkerTable;

use self::job_state::JobKey;
use self::job_state::JobState;
use self::job_state::TaskPhase;
use self::job_state::TaskPlacement;
use self::job_state::TaskRef;
use self::job_state::TaskState;
use self::team_queue::TeamQueue;

/// How long after it was sent a start command may be executed.
pub(crate) const START_EXPIRY: Duration = Duration::from_millis(1500);
/// The safety margin of leases for clock differences and delays.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(1000);
/// How long to wait for the response to a stop command before it is retried.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(1000);

/// Schedules the jobs of a failure domain: queues their tasks, places them on workers and tracks where
/// they run.
///
/// Calls do not send anything themselves; they queue commands, which
/// [`take_commands`](Self::take_commands) returns.
#[derive(Debug)]
pub struct JobScheduler {
    epoch: u64,
    /// The number of attempts of all tasks so far, from which attempt numbers are derived.
    attempts: u64,
    task_lease: Duration,
    /// When all starts of the former owner have expired, if they may still be carried out.
    former_starts_expire: Option<Instant>,
    workers: WorkerTable,
    jobs: SlotMap<JobKey, JobState>,
    by_id: HashMap<JobId, JobKey>,
    queues: SecondaryMap<TeamKey, TeamQueue>,
    on_worker: HashMap<WorkerKey, BTreeSet<TaskRef>>,
    /// Unlocated tasks, ordered by when all their leases that the former owner granted have expired.
    unlocated: BTreeSet<(Instant, TaskRef)>,
    /// When this owner last renewed the leases of unsettled workers that have not responded since, any of
    /// which may run an unlocated task.
    unsettled_renewals: HashMap<Name, Instant>,
    /// Failed tasks, ordered by the end of their backoff.
    delayed: BTreeSet<(Instant, TaskRef)>,
    /// Tasks being stopped, ordered by when their stop command is retried.
    stopping: BTreeSet<(Instant, TaskRef)>,
    commands: Vec<SchedulerCommand>,
    /// Whether a change since the last placement pass may allow a waiting task to start.
    dirty: bool,
    last_pass: Option<Instant>,
    /// Whether nothing may be started in the domain.
    evacuated: bool,
}

impl JobScheduler {
    /// Creates a scheduler without jobs and workers.
    ///
    /// A worker ends its tasks when it has received no lease renewal for `task_lease`.
    pub fn new(epoch: u64, task_lease: Duration) -> Self {
        JobScheduler {
            epoch,
            attempts: 0,
            task_lease,
            former_starts_expire: None,
            workers: WorkerTable::default(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            queues: SecondaryMap::new(),
            on_worker: HashMap::new(),
            unlocated: BTreeSet::new(),
            unsettled_renewals: HashMap::new(),
            delayed: BTreeSet::new(),
            stopping: BTreeSet::new(),
            commands: Vec::new(),
            dirty: true,
            last_pass: None,
            evacuated: false,
        }
    }

    /// Replaces the list of workers.
    pub fn set_workers(&mut self, specs: &[WorkerSpec]) {
        self.workers.set_list(specs);
        self.dirty = true;
    }

    /// Returns the workers.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// Returns the commands queued since the last call.
    pub fn take_commands(&mut self) -> Vec<SchedulerCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Checks whether a job can ever run in the domain, and returns the reason if it can't.
    pub fn check(
        &self,
        spec: &JobSpec,
        team: TeamKey,
        ledger: &TeamLedger,
    ) -> Option<ErrorKind> {
        if !self.workers.ever_fits(&spec.size) {
            return Some(ErrorKind::JobNeverFits);
        }
        let together = match spec.kind {
            crate::JobKind::Gang => spec.tasks,
            crate::JobKind::Batch | crate::JobKind::Service => 1,
        };
        if !ledger.ever_allows(team, together) {
            return Some(ErrorKind::TeamLimit);
        }
        None
    }

    /// Adds an accepted job; adding a known job has no effect.
    pub fn submit(
        &mut self,
        id: JobId,
        spec: JobSpec,
        team: TeamKey,
        queue: Name,
        now: Instant,
    ) {
        if self.by_id.contains_key(&id) {
            return;
        }
        let job = JobState::new(id.clone(), spec, team, queue, now);
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.enqueue(key);
    }

    /// Cancels a job, and returns whether it is known.
    ///
    /// Waiting tasks end immediately, and running tasks are stopped.
    pub fn cancel(&mut self, id: &JobId, ledger: &mut TeamLedger, now: Instant) -> bool {
        let Some(&key) = self.by_id.get(id) else { return false };
        let job = &mut self.jobs[key];
        if job.cancelled {
            return true;
        }
        job.cancelled = true;
        job.pending.clear();
        for index in 0..job.tasks.len() as u32 {
            let task = (key, index);
            match self.jobs[key].tasks[index as usize] {
                TaskState::Pending | TaskState::Delayed { .. } => {
                    self.end_task(task, TaskOutcome::Cancelled);
                }
                TaskState::Placed(placement)
                    if placement.phase == TaskPhase::Reserved =>
                {
                    self.unplace(task, ledger);
                    self.end_task(task, TaskOutcome::Cancelled);
                }
                TaskState::Placed(_) => self.stop_task(task, false, now),
                TaskState::Unlocated { .. } | TaskState::Ended(_) => {}
            }
        }
        true
    }

    /// Runs the actions that have become due: requeues the tasks of silent workers, unlocated tasks
    /// whose leases have expired and failed tasks whose backoff has ended, and retries stop commands.
    pub fn tick(&mut self, ledger: &mut TeamLedger, now: Instant) {
        self.expire_silent_workers(ledger, now);
        self.requeue_unlocated(now);
        while let Some(&(due, task)) = self.delayed.first() {
            if due > now {
                break;
            }
            self.delayed.pop_first();
            self.requeue(task);
        }
        while let Some(&(due, task)) = self.stopping.first() {
            if due > now {
                break;
            }
            self.stopping.pop_first();
            self.send_stop(task, now);
        }
    }

    /// Queues a task that runs nowhere again, or ends it if its job has been cancelled.
    fn requeue(&mut self, task: TaskRef) {
        let (key, index) = task;
        let Some(job) = self.jobs.get_mut(key) else { return };
        if matches!(job.tasks[index as usize], TaskState::Ended(_) | TaskState::Placed(_))
        {
            return;
        }
        if job.cancelled {
            self.end_task(task, TaskOutcome::Cancelled);
            return;
        }
        job.tasks[index as usize] = TaskState::Pending;
        job.pending.push_back(index);
        self.enqueue(key);
    }

    /// Adds a job that has waiting tasks to the queue of its team.
    fn enqueue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.queued {
            return;
        }
        job.queued = true;
        let queue =
            self.queues.entry(job.team).expect("a team keeps its key").or_default();
        queue.push(key, job.spec.urgent);
        self.dirty = true;
    }

    /// Records the outcome of a task that runs nowhere, and the end of its job after the last task.
    fn end_task(&mut self, task: TaskRef, end: TaskOutcome) {
        let (key, index) = task;
        let job = &mut self.jobs[key];
        if matches!(job.tasks[index as usize], TaskState::Ended(_)) {
            return;
        }
        job.tasks[index as usize] = TaskState::Ended(end);
        job.ended += 1;
        let id = job.id.clone();
        let last = job.ended as usize == job.tasks.len();
        self.commands.push(SchedulerCommand::RecordEnd { job: id.clone(), index, end });
        if last {
            self.commands.push(SchedulerCommand::RecordJobEnd { job: id });
        }
    }

    /// Removes a job.
    ///
    /// To be called once the end of the job has been recorded and has been available to clients long
    /// enough.
    pub fn remove(&mut self, id: &JobId) {
        if let Some(key) = self.by_id.remove(id) {
            self.jobs.remove(key);
        }
    }

    /// Releases the resources of a placed task, and returns its placement.
    fn unplace(
        &mut self,
        task: TaskRef,
        ledger: &mut TeamLedger,
    ) -> Option<TaskPlacement> {
        let (key, index) = task;
        let job = self.jobs.get_mut(key)?;
        let TaskState::Placed(placement) = job.tasks[index as usize] else { return None };
        job.tasks[index as usize] = TaskState::Pending;
        self.workers.release(placement.worker, &job.spec.size);
        ledger.release(job.team, &job.spec.size);
        self.dirty = true;
        if let Some(tasks) = self.on_worker.get_mut(&placement.worker) {
            tasks.remove(&task);
        }
        Some(placement)
    }

    /// Starts stopping a placed task.
    fn stop_task(&mut self, task: TaskRef, checkpoint: bool, now: Instant) {
        let (key, index) = task;
        if let TaskState::Placed(placement) = &mut self.jobs[key].tasks[index as usize] {
            if matches!(placement.phase, TaskPhase::Stopping { .. }) {
                return;
            }
            placement.phase = TaskPhase::Stopping { checkpoint };
            self.send_stop(task, now);
        }
    }

    /// Queues a stop command and schedules its retry.
    fn send_stop(&mut self, task: TaskRef, now: Instant) {
        let (key, index) = task;
        let Some(job) = self.jobs.get(key) else { return };
        let TaskState::Placed(placement) = job.tasks[index as usize] else { return };
        let TaskPhase::Stopping { checkpoint } = placement.phase else { return };
        let Some(worker) = self.workers.get(placement.worker) else { return };
        self.commands.push(SchedulerCommand::Stop {
            worker: worker.spec.name.clone(),
            address: worker.spec.address.clone(),
            task: TaskId { job: job.id.clone(), index, attempt: placement.attempt },
            checkpoint,
        });
        self.stopping.insert((now + STOP_RETRY_INTERVAL, task));
    }

    /// Returns the placed task with an identifier if that attempt is the current one.
    fn find_placed(&self, id: &TaskId) -> Option<(TaskRef, TaskPlacement)> {
        let &key = self.by_id.get(&id.job)?;
        match self.jobs[key].tasks.get(id.index as usize)? {
            TaskState::Placed(placement) if placement.attempt == id.attempt => {
                Some(((key, id.index), *placement))
            }
            _ => None,
        }
    }

    /// Returns the numbers of jobs, of waiting tasks and of placed tasks.
    pub fn counts(&self) -> (usize, usize, usize) {
        let waiting = self.jobs.values().map(|job| job.pending.len()).sum();
        let placed = self.on_worker.values().map(BTreeSet::len).sum();
        (self.jobs.len(), waiting, placed)
    }
}
