//! The jobs and workers of a cell.

mod account_ledger;
mod admitting;
mod clearing;
mod ending;
mod job_slot;
mod permissions;
mod placing;
mod preempting;
mod racks;
mod recording;
mod reporting;
mod room_claim;
mod sweeping;
mod unseen;
mod worker_slot;
mod workers;

pub use self::placing::PlacementRound;
pub use self::recording::RecordWrite;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::AccountLimit;
use crate::BootTime;
use crate::JobPhase;
use crate::JobRecord;
use crate::RunStop;
use crate::SchedulerEvent;
use crate::TaskName;
use crate::WorkerInfo;

use self::account_ledger::AccountLedger;
use self::admitting::HeldRoom;
use self::admitting::WaitingLoad;
use self::job_slot::JobKey;
use self::job_slot::JobSlot;
use self::job_slot::PlacePhase;
use self::job_slot::TaskPlace;
use self::job_slot::TaskRef;
use self::worker_slot::WorkerSlot;

new_key_type! {
    /// Names a worker of the scheduler.
    pub struct WorkerKey;
}

/// The distance between the first run numbers of two epochs.
const RUNS_PER_EPOCH: u64 = 1 << 16;

/// Numbers that describe the scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetCounts {
    /// The jobs that are not ended.
    pub live_jobs: usize,
    /// The tasks that may run.
    pub placed: usize,
    /// The workers that have reported in this epoch and answer.
    pub usable_workers: usize,
    /// All workers.
    pub workers: usize,
    /// The part of the usable workers' processors that tasks reserve.
    pub used: f64,
}

/// The jobs and workers of a cell and what runs where.
///
/// The owner of the cell feeds it with reports and outcomes and sends the orders that it gives.
#[derive(Debug)]
pub struct FleetScheduler {
    /// The first run number of this epoch.
    first_run: u64,
    /// How long a worker's lease lasts after the last order that extends it.
    lease: Duration,
    workers: SlotMap<WorkerKey, WorkerSlot>,
    worker_ids: HashMap<Name, WorkerKey>,
    jobs: SlotMap<JobKey, JobSlot>,
    job_ids: HashMap<Name, JobKey>,
    /// The jobs with tasks that wait, by urgency and order of acceptance.
    open: BTreeSet<(u32, u64, JobKey)>,
    /// The jobs with changes that were not handed to the store, with the time of the first one.
    dirty: HashMap<JobKey, BootTime>,
    accounts: AccountLedger,
    load: WaitingLoad,
    /// What placed tasks have, by urgency.
    held: BTreeMap<u32, HeldRoom>,
    /// The share of workers that each queue's permissions allow, as learnt so far.
    allowed_share: HashMap<Name, f64>,
    /// Whether the store's records of workers have some that are gone or are not known.
    records_outdated: bool,
    stops: Vec<RunStop>,
    events: Vec<SchedulerEvent>,
    next_serial: u64,
}

impl FleetScheduler {
    /// Creates the scheduler of an epoch, counted from 1; `lease` is the longest lease of a worker
    /// with what its clock may be slow.
    pub fn new(epoch: u64, lease: Duration) -> Self {
        FleetScheduler {
            first_run: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            lease,
            workers: SlotMap::with_key(),
            worker_ids: HashMap::new(),
            jobs: SlotMap::with_key(),
            job_ids: HashMap::new(),
            open: BTreeSet::new(),
            dirty: HashMap::new(),
            accounts: AccountLedger::default(),
            load: WaitingLoad::default(),
            held: BTreeMap::new(),
            allowed_share: HashMap::new(),
            records_outdated: false,
            stops: Vec::new(),
            events: Vec::new(),
            next_serial: 0,
        }
    }

    /// Takes over the limits of client accounts.
    pub fn set_limits(&mut self, limits: Vec<AccountLimit>) {
        self.accounts.set_limits(limits);
    }

    /// Returns what a worker says of itself.
    pub fn worker_info(&self, worker: WorkerKey) -> Option<&WorkerInfo> {
        self.workers.get(worker).map(|slot| &slot.info)
    }

    /// Returns the number up to which the ends of a worker are stored.
    pub fn stored_ends(&self, worker: WorkerKey) -> u64 {
        self.workers.get(worker).map_or(0, |slot| slot.stored)
    }

    /// Returns whether a worker has ends that were processed and that the store doesn't hold yet.
    pub fn has_unstored_ends(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(|slot| !slot.unstored.is_empty())
    }

    /// Puts a job of the store on the scheduler of a new owner.
    ///
    /// Its tasks that no worker reports may still run on workers that have not reported until
    /// `uncertain_until`.
    pub fn load_job(&mut self, id: Name, record: JobRecord, uncertain_until: BootTime) {
        let key = self.insert(id, record);
        self.jobs[key].uncertain_until = uncertain_until;
    }

    /// Puts a job on the scheduler that the store has just taken.
    pub fn accept(&mut self, id: Name, record: JobRecord, now: BootTime) {
        if !self.job_ids.contains_key(&id) {
            self.count_accepted(&record);
            let key = self.insert(id, record);
            self.jobs[key].accepted_at = Some(now);
        }
    }

    /// Inserts a job.
    fn insert(&mut self, id: Name, record: JobRecord) -> JobKey {
        let serial = self.next_serial;
        self.next_serial += 1;
        let priority = record.rules.priority;
        let live = record.phase == JobPhase::Live;
        let key = self.jobs.insert(JobSlot::new(id.clone(), record, serial));
        self.job_ids.insert(id, key);
        if live {
            self.open.insert((priority, serial, key));
        }
        key
    }

    /// Returns the state of a job as the store holds it, and whether a task was started.
    pub fn stored_state(&self, id: &str) -> Option<(JobPhase, bool)> {
        let &key = self.job_ids.get(id)?;
        let job = &self.jobs[key];
        Some((job.shown, job.started))
    }

    /// Returns the number of a queue's jobs of which no task was started.
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let waits = |job: &JobSlot| {
            !job.started && job.live() && &*job.record.rules.queue == queue
        };
        self.open.iter().filter(|(_, _, key)| waits(&self.jobs[*key])).count()
    }

    /// Cancels a job and returns whether it is known; its tasks are stopped at once.
    pub fn cancel(&mut self, id: &str, now: BootTime) -> bool {
        let Some(&key) = self.job_ids.get(id) else { return false };
        if self.jobs[key].live() {
            self.end_job(key, JobPhase::Cancelled, now);
        }
        true
    }

    /// Takes the orders to stop runs.
    pub fn take_stops(&mut self) -> Vec<RunStop> {
        std::mem::take(&mut self.stops)
    }

    /// Takes the events for the log.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns numbers that describe the scheduler.
    pub fn counts(&self, now: BootTime) -> FleetCounts {
        let usable = || self.workers.values().filter(|slot| slot.usable(now));
        let used: u64 = usable().map(|slot| slot.used.cpu_millis).sum();
        let room: u64 = usable().map(|slot| slot.info.capacity.cpu_millis).sum();
        FleetCounts {
            live_jobs: self.open.len(),
            placed: self.workers.values().map(|slot| slot.places.len()).sum(),
            usable_workers: usable().count(),
            workers: self.workers.len(),
            used: used as f64 / room.max(1) as f64,
        }
    }

    /// Finds the task that a name means.
    fn find(&self, name: &TaskName) -> Option<TaskRef> {
        let &job = self.job_ids.get(&name.step.job)?;
        let slot = &self.jobs[job];
        let steps = slot.record.request.steps.len() as u32;
        if name.step.step >= steps {
            return None;
        }
        let unit = name.step.occurrence.checked_mul(steps)? + name.step.step;
        let tasks = &slot.units.get(unit as usize)?.tasks;
        let task = TaskRef { job, unit, index: name.index };
        ((name.index as usize) < tasks.len()).then_some(task)
    }

    /// Returns where a task may run.
    fn place_of(&self, task: TaskRef) -> Option<&TaskPlace> {
        self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
            .place
            .as_ref()
    }

    /// Returns where a task may run, to change it.
    fn place_of_mut(&mut self, task: TaskRef) -> Option<&mut TaskPlace> {
        self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
            .place
            .as_mut()
    }

    /// Puts a task on a worker.
    fn occupy(&mut self, task: TaskRef, place: TaskPlace) {
        let job = &mut self.jobs[task.job];
        let size = job.plan(task.unit).reserved();
        let unit = &mut job.units[task.unit as usize];
        let slot = &mut unit.tasks[task.index as usize];
        if slot.waits() {
            unit.waiting -= 1;
        }
        slot.last_run = slot.last_run.max(place.run);
        slot.place = Some(place);
        let worker = &mut self.workers[place.worker];
        worker.used.add(&size);
        worker.places.insert(task);
        let held = self.held.entry(job.record.rules.priority).or_default();
        held.take(job.plan(task.unit));
        self.accounts.take(&job.record.account, &size);
        if self.jobs[task.job].units[task.unit as usize].waiting == 0 {
            self.release_claim(task.job, task.unit);
        }
    }

    /// Takes a task off its worker.
    fn vacate(&mut self, task: TaskRef) -> Option<TaskPlace> {
        let job = &mut self.jobs[task.job];
        let size = job.plan(task.unit).reserved();
        let unit = &mut job.units[task.unit as usize];
        let slot = &mut unit.tasks[task.index as usize];
        let place = slot.place.take()?;
        if slot.waits() {
            unit.waiting += 1;
        }
        if let Some(worker) = self.workers.get_mut(place.worker) {
            worker.used.subtract(&size);
            worker.places.remove(&task);
        }
        if let Some(held) = self.held.get_mut(&job.record.rules.priority) {
            held.give_back(job.plan(task.unit));
        }
        self.accounts.release(&job.record.account, &size);
        Some(place)
    }

    /// Tells the worker of a task to stop it.
    fn stop(&mut self, task: TaskRef, now: BootTime) {
        let Some(place) = self.place_of_mut(task) else { return };
        if matches!(place.phase, PlacePhase::Stopping(_)) {
            return;
        }
        place.phase = PlacePhase::Stopping(None);
        place.since = now;
        self.send_stop(task);
    }

    /// Gives the order to stop a placed task.
    fn send_stop(&mut self, task: TaskRef) {
        let Some(&place) = self.place_of(task) else { return };
        let name = self.jobs[task.job].task_name(task);
        self.stops.push(RunStop { worker: place.worker, task: name, run: place.run });
    }

    /// Returns the placed tasks of a job.
    fn placed_tasks(&self, key: JobKey) -> Vec<TaskRef> {
        let mut placed = Vec::new();
        for (number, unit) in self.jobs[key].units.iter().enumerate() {
            for (index, task) in unit.tasks.iter().enumerate() {
                if task.place.is_some() {
                    let unit = number as u32;
                    placed.push(TaskRef { job: key, unit, index: index as u32 });
                }
            }
        }
        placed
    }
}
