//! The scheduler of a cell: its jobs, its workers, and which task runs where.

mod account_usage;
mod admission;
mod call_claims;
mod call_shares;
mod closed_run;
mod command_responses;
mod completion;
mod crashes;
mod current_reports;
mod delayed_starts;
mod departures;
mod evacuations;
mod fleet_counts;
mod free_workers;
mod gang_end;
mod gang_fit;
mod gang_reservation;
mod held_ends;
mod job_forecast;
mod job_lateness;
mod job_state;
mod late_starts;
mod learning;
mod listed_runs;
mod lost_contacts;
mod lost_runs;
mod open_units;
mod overdue_jobs;
mod permission_ledger;
mod permission_table;
mod permissions;
mod persistence;
mod placed_tasks;
mod placement;
mod placement_backoff;
mod preemption;
mod queue_changes;
mod racks;
mod recorded_starts;
mod replaced_workers;
mod reports;
mod request_size;
mod restart_delay;
mod run_phase;
mod run_work;
mod scarce_calls;
mod speed_ranking;
mod stalled_runs;
mod start_copies;
mod stranded_steps;
mod task_placement;
mod task_ref;
mod task_state;
mod task_table;
mod timeouts;
mod unit_state;
mod unit_table;
mod unread_ends;
mod unreported_runs;
mod waiting_calls;
mod waits;
mod worker_offers;
mod worker_state;
mod workers;

pub use self::evacuations::EvacuationProgress;
pub use self::fleet_counts::FleetCounts;
pub(crate) use self::open_units::MAX_OPEN_OCCURRENCES;
pub use self::persistence::RecordWrite;
pub use self::placement::PlacementRound;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::AccountLimit;
use crate::BootTime;
use crate::FirstStartTally;
use crate::JobPhase;
use crate::JobRecord;
use crate::LostWork;
use crate::MemoryUse;
use crate::PassTally;
use crate::QueueRules;
use crate::ReportTally;
use crate::RunLoss;
use crate::RunStop;
use crate::SchedulerEvent;
use crate::TaskName;
use crate::WorkerInfo;

use self::account_usage::AccountUsage;
use self::admission::PlacedLoad;
use self::admission::WaitingLoad;
use self::call_claims::CallClaims;
use self::call_shares::CallShares;
use self::departures::DepartureWatch;
use self::job_state::JobState;
use self::late_starts::LateStarts;
use self::learning::FleetLearning;
use self::lost_contacts::NotedRun;
use self::permission_ledger::PermissionLedger;
use self::placed_tasks::PlacedTasks;
use self::placement_backoff::PlacementBackoff;
use self::recorded_starts::RecordedStarts;
use self::run_phase::RunPhase;
use self::task_placement::TaskPlacement;
use self::task_ref::JobKey;
use self::task_ref::TaskRef;
use self::task_state::TaskState;
use self::waiting_calls::WaitingCalls;
use self::worker_state::FormerWorker;
use self::worker_state::WorkerState;

new_key_type! {
    /// Identifies a worker within a scheduler.
    pub struct WorkerKey;
}

/// The number of run numbers set aside for an epoch. The run numbers of a task must keep rising
/// when the cell gets a new owner.
const RUNS_PER_EPOCH: u64 = 1 << 16;

/// The number of fencing tokens of an epoch: one for each incarnation of a worker. Epochs are so far
/// apart that the tokens of a later epoch are higher.
pub const FENCES_PER_EPOCH: u64 = 1 << 10;

/// Tracks the jobs and workers of a cell, and decides which task runs where.
///
/// The owner of the cell passes in worker reports and the outcomes of commands, and sends the
/// commands that the scheduler returns.
#[derive(Debug)]
pub struct FleetScheduler {
    /// The lower bound of the run numbers of this epoch.
    first_run: u64,
    /// How long a worker's lease lasts after the last command that extends it.
    lease: Duration,
    workers: SlotMap<WorkerKey, WorkerState>,
    /// The runs whose workers have become silent, by worker, also those of former owners.
    noted_runs: HashMap<Name, Vec<NotedRun>>,
    /// The workers that were removed, in case they return.
    former_workers: HashMap<Name, FormerWorker>,
    worker_ids: HashMap<Name, WorkerKey>,
    departures: DepartureWatch,
    /// The number of workers that were ever added.
    added_workers: u64,
    /// The rules of the queues in the newest configuration; empty before the first one.
    queues: HashMap<Name, QueueRules>,
    jobs: SlotMap<JobKey, JobState>,
    job_ids: HashMap<Name, JobKey>,
    /// The live jobs, by priority and order of acceptance.
    open_jobs: BTreeSet<(u32, u64, JobKey)>,
    late_starts: LateStarts,
    recorded_starts: RecordedStarts,
    /// The tasks with orphaned runs, as of the last pass.
    orphaned_tasks: BTreeSet<TaskRef>,
    /// The jobs with changes that were not handed to the store yet, with the time of the first one.
    dirty: HashMap<JobKey, BootTime>,
    accounts: AccountUsage,
    memory_use: MemoryUse,
    waiting_load: WaitingLoad,
    waiting_calls: WaitingCalls,
    /// The average time that the first calls to the permission service for a step take, by queue.
    first_call_times: HashMap<Name, Duration>,
    backoff: PlacementBackoff,
    /// The load of the tasks that are placed outside evacuated domains, by priority.
    placed_load: BTreeMap<u32, PlacedLoad>,
    placed_tasks: PlacedTasks,
    /// The failure domains whose workers get no new tasks.
    evacuated_domains: BTreeSet<Name>,
    /// The estimated share of workers that the permission service allows, by queue.
    allowed_share: HashMap<Name, f64>,
    learning: FleetLearning,
    permission_ledger: PermissionLedger,
    call_claims: CallClaims,
    call_shares: CallShares,
    lost_work: LostWork,
    pass_tally: PassTally,
    report_tally: ReportTally,
    first_start_tally: FirstStartTally,
    /// Whether the worker records must be written again: those in the store may include workers
    /// that were removed, or the last write was rejected.
    records_outdated: bool,
    stops: Vec<RunStop>,
    events: Vec<SchedulerEvent>,
    next_serial: u64,
}

impl FleetScheduler {
    /// Creates the scheduler of an epoch, counted from 1. `lease` is the maximum lease of a worker,
    /// including a margin for slow worker clocks.
    pub fn new(epoch: u64, lease: Duration) -> Self {
        FleetScheduler {
            first_run: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            lease,
            workers: SlotMap::with_key(),
            noted_runs: HashMap::new(),
            former_workers: HashMap::new(),
            worker_ids: HashMap::new(),
            departures: DepartureWatch::default(),
            added_workers: 0,
            queues: HashMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            open_jobs: BTreeSet::new(),
            late_starts: LateStarts::default(),
            recorded_starts: RecordedStarts::default(),
            orphaned_tasks: BTreeSet::new(),
            dirty: HashMap::new(),
            accounts: AccountUsage::default(),
            memory_use: MemoryUse::default(),
            waiting_load: WaitingLoad::default(),
            waiting_calls: WaitingCalls::default(),
            first_call_times: HashMap::new(),
            backoff: PlacementBackoff::default(),
            placed_load: BTreeMap::new(),
            placed_tasks: PlacedTasks::default(),
            evacuated_domains: BTreeSet::new(),
            allowed_share: HashMap::new(),
            learning: FleetLearning::default(),
            permission_ledger: PermissionLedger::default(),
            call_claims: CallClaims::default(),
            call_shares: CallShares::default(),
            lost_work: LostWork::default(),
            pass_tally: PassTally::default(),
            report_tally: ReportTally::default(),
            first_start_tally: FirstStartTally::default(),
            records_outdated: false,
            stops: Vec::new(),
            events: Vec::new(),
            next_serial: 0,
        }
    }

    /// Replaces the limits of client accounts.
    pub fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        self.accounts.set_limits(limits);
    }

    /// Returns a worker's entry in the platform's list.
    pub fn worker_info(&self, worker: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(worker).map(|state| &state.info)
    }

    /// Returns the number that is added to the epoch in the fencing token of commands to a worker; it
    /// is below [`FENCES_PER_EPOCH`]. It rises when the worker restarts or is listed again, so that an
    /// incarnation that was called once refuses commands for earlier ones.
    pub fn fence(&self, worker: WorkerKey) -> u64 {
        self.workers.get(worker).map_or(0, |state| state.fence)
    }

    /// Returns the sequence number up to which a worker's ends can be acknowledged: the store holds all of
    /// them, and the last report listed one at least.
    pub fn stored_ends(&self, worker: WorkerKey) -> u64 {
        self.workers.get(worker).map_or(0, WorkerState::acknowledged_end)
    }

    /// Returns whether there are ends of a worker's runs that were processed but are not in the
    /// store yet.
    pub fn has_unstored_ends(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(|state| !state.unstored_ends.is_empty())
    }

    /// Adds a job that a new owner has read from the store.
    ///
    /// Until `uncertain_until`, tasks that no worker has reported may still be running on workers
    /// that have not reported yet.
    pub fn load_job(&mut self, id: Name, record: JobRecord, uncertain_until: BootTime) {
        let key = self.insert(id, record);
        self.jobs[key].uncertain_until = uncertain_until;
        self.load_lost_contacts(key);
        self.load_recorded_starts(key);
    }

    /// Adds a job that has just been stored; does nothing if the job is already known.
    pub fn accept(&mut self, id: Name, mut record: JobRecord, now: BootTime) {
        if !self.job_ids.contains_key(&id) {
            record.rules = self.rules_in_force(record.rules);
            self.count_accepted(&record);
            let key = self.insert(id, record);
            self.jobs[key].accepted_at = Some(now);
        }
    }

    fn insert(&mut self, id: Name, record: JobRecord) -> JobKey {
        let serial = self.next_serial;
        self.next_serial += 1;
        let priority = record.rules.priority;
        let live = record.phase == JobPhase::Live;
        let forecast = self.forecast(&record);
        let key = self.jobs.insert(JobState::new(id.clone(), record, serial, forecast));
        self.job_ids.insert(id, key);
        if live {
            self.open_jobs.insert((priority, serial, key));
        }
        let job = &self.jobs[key];
        self.memory_use.add_job(&job.record.account, job.memory_bytes);
        if !live {
            self.memory_use.end_job(&job.record.account, job.memory_bytes);
        }
        key
    }

    /// Returns the memory that is counted for the jobs.
    pub fn memory_use(&self) -> &MemoryUse {
        &self.memory_use
    }

    /// Returns the phase of a job as the store holds it, and whether any task was started.
    pub fn stored_state(&self, id: &str) -> Option<(JobPhase, bool)> {
        let &key = self.job_ids.get(id)?;
        let job = &self.jobs[key];
        Some((job.stored_phase, job.started))
    }

    /// Returns the number of a queue's live jobs of which no task was started.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let is_waiting = |job: &JobState| {
            !job.started && job.live() && &*job.record.rules.queue == queue
        };
        self.open_jobs.iter().filter(|(_, _, key)| is_waiting(&self.jobs[*key])).count()
    }

    /// Cancels a job, which stops its tasks at once, and returns whether the job is known.
    pub fn cancel(&mut self, id: &str, now: BootTime) -> bool {
        let Some(&key) = self.job_ids.get(id) else { return false };
        if self.jobs[key].live() {
            self.end_job(key, JobPhase::Cancelled, now);
        }
        true
    }

    /// Returns and clears the pending commands to stop runs.
    pub fn take_stops(&mut self) -> Vec<RunStop> {
        std::mem::take(&mut self.stops)
    }

    /// Returns and clears the pending events for the log.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns and clears the counts of what placement passes have done.
    pub fn take_pass_tally(&mut self) -> PassTally {
        std::mem::take(&mut self.pass_tally)
    }

    /// Returns and clears the counts of what workers have reported.
    pub fn take_report_tally(&mut self) -> ReportTally {
        std::mem::take(&mut self.report_tally)
    }

    /// Returns and clears the counts of the jobs that were started for the first time.
    pub fn take_first_start_tally(&mut self) -> FirstStartTally {
        std::mem::take(&mut self.first_start_tally)
    }

    /// Resolves the name of a task, which may come from a worker and may be out of range.
    fn find_task(&self, name: &TaskName) -> Option<TaskRef> {
        let &job = self.job_ids.get(&name.step.job)?;
        let state = &self.jobs[job];
        let steps = state.record.request.steps.len() as u32;
        if name.step.step >= steps {
            return None;
        }
        let unit = name.step.occurrence.checked_mul(steps)? + name.step.step;
        let tasks = &state.units.get(unit as usize)?.tasks;
        let task = TaskRef { job, unit, index: name.index };
        tasks.contains(name.index).then_some(task)
    }

    /// Returns the state of a task.
    fn task_state(&self, task: TaskRef) -> &TaskState {
        &self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
    }

    fn task_state_mut(&mut self, task: TaskRef) -> &mut TaskState {
        &mut self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
    }

    /// Returns the current placement of a task.
    fn placement_of(&self, task: TaskRef) -> Option<&TaskPlacement> {
        self.task_state(task).placement.as_ref()
    }

    fn placement_of_mut(&mut self, task: TaskRef) -> Option<&mut TaskPlacement> {
        self.task_state_mut(task).placement.as_mut()
    }

    /// Assigns a task to a worker and accounts for its resources.
    fn assign(&mut self, task: TaskRef, mut placement: TaskPlacement) {
        let unit = &self.jobs[task.job].units[task.unit as usize];
        if unit.waiting == unit.remaining {
            self.reset_gang_end(task);
        }
        let job = &mut self.jobs[task.job];
        let size = job.plan(task.unit).reserved();
        let unit = &mut job.units[task.unit as usize];
        let state = &mut unit.tasks[task.index as usize];
        if state.is_waiting() {
            unit.waiting -= 1;
        }
        state.last_run = state.last_run.max(placement.run);
        placement.work.resumed = state.checkpoint.is_some();
        state.placement = Some(placement);
        let worker = &mut self.workers[placement.worker];
        worker.used.add(&size);
        worker.tasks.insert(task);
        self.placed_tasks.add();
        if !worker.evacuated {
            let load = self.placed_load.entry(job.record.rules.priority).or_default();
            load.add_task(job.plan(task.unit), placement.expected);
        }
        self.accounts.book(&job.record.account, &size);
        if self.jobs[task.job].units[task.unit as usize].waiting == 0 {
            self.release_reservation(task.job, task.unit);
        }
    }

    /// Removes a task from its worker, releases its resources and returns its placement.
    fn unassign(&mut self, task: TaskRef) -> Option<TaskPlacement> {
        let job = &mut self.jobs[task.job];
        let size = job.plan(task.unit).reserved();
        let unit = &mut job.units[task.unit as usize];
        let state = &mut unit.tasks[task.index as usize];
        let placement = state.placement.take()?;
        self.placed_tasks.remove();
        if state.is_waiting() {
            unit.waiting += 1;
        }
        let mut evacuated = false;
        if let Some(worker) = self.workers.get_mut(placement.worker) {
            worker.used.subtract(&size);
            worker.tasks.remove(&task);
            evacuated = worker.evacuated;
        }
        let placed_load = self.placed_load.get_mut(&job.record.rules.priority);
        if let Some(placed_load) = placed_load.filter(|_| !evacuated) {
            placed_load.remove_task(job.plan(task.unit), placement.expected);
        }
        self.accounts.release(&job.record.account, &size);
        Some(placement)
    }

    /// Stops a placed task, unless it is already being stopped. Its work is lost
    /// for the given reason; for a member of a broken gang it may not be known yet.
    fn stop(&mut self, task: TaskRef, loss: impl Into<Option<RunLoss>>, now: BootTime) {
        let Some(placement) = self.placement_of_mut(task) else { return };
        if matches!(placement.phase, RunPhase::Stopping(_)) {
            return;
        }
        placement.phase = RunPhase::Stopping(None);
        placement.since = now;
        let loss = loss.into();
        placement.work.loss = loss;
        if let Some(loss) = loss {
            self.set_gang_cause(task, loss.cause);
        }
        self.send_stop(task);
    }

    /// Queues the command to stop a placed task.
    fn send_stop(&mut self, task: TaskRef) {
        let Some(&placement) = self.placement_of(task) else { return };
        let name = self.jobs[task.job].task_name(task);
        self.stops.push(RunStop {
            worker: placement.worker,
            task: name,
            run: placement.run,
        });
    }

    /// Returns the placed tasks of a job.
    fn placed_tasks(&self, key: JobKey) -> Vec<TaskRef> {
        let mut placed = Vec::new();
        for (unit, state) in self.jobs[key].units.touched() {
            for (index, task) in state.tasks.touched() {
                if task.placement.is_some() {
                    placed.push(TaskRef { job: key, unit, index });
                }
            }
        }
        placed
    }
}

/// Returns the fence after the given one; the last one of an epoch has no successor.
fn next_fence(fence: u64) -> u64 {
    (fence + 1).min(FENCES_PER_EPOCH - 1)
}
