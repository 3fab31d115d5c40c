//! Starts without a ticket of which a copy may be executed later, as recorded for the next owner.
//!
//! A start is recorded once its response is overdue, or once its run is over before the response is there.
//! A start whose response is there in time costs no write. The next owner knows these starts as late ones
//! for the longest time for which a command may be delayed: when they were sent is not recorded, as the
//! machines' clocks may differ.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::BootTime;
use crate::RecordedStart;
use crate::TaskName;

use super::FleetScheduler;
use super::WorkerKey;
use super::start_copies::StartCopies;
use super::task_ref::JobKey;

/// The maximum number of starts that are recorded for a job; the latest ones are.
const MAX_RECORDED_STARTS: usize = 256;

/// The recorded starts of all jobs.
#[derive(Debug, Default)]
pub(super) struct RecordedStarts {
    by_job: BTreeMap<JobKey, Vec<RecordedStart>>,
    /// The jobs with starts that were not handed to the store yet.
    unwritten: BTreeSet<JobKey>,
}

impl RecordedStarts {
    /// Adds a start that the store doesn't hold, and returns whether it is new.
    fn add(&mut self, key: JobKey, start: RecordedStart) -> bool {
        let starts = self.by_job.entry(key).or_default();
        if starts.contains(&start) {
            return false;
        }
        if starts.len() == MAX_RECORDED_STARTS {
            starts.remove(0);
        }
        starts.push(start);
        self.unwritten.insert(key);
        true
    }

    /// Returns whether a job has starts that were not handed to the store yet.
    pub(super) fn is_unwritten(&self, key: JobKey) -> bool {
        self.unwritten.contains(&key)
    }

    /// Returns the starts of a job, which are handed to the store.
    pub(super) fn take_unwritten(&mut self, key: JobKey) -> Vec<RecordedStart> {
        self.unwritten.remove(&key);
        self.by_job.get(&key).cloned().unwrap_or_default()
    }

    /// Forgets the starts of a job.
    pub(super) fn forget_job(&mut self, key: JobKey) {
        self.by_job.remove(&key);
        self.unwritten.remove(&key);
    }
}

impl FleetScheduler {
    /// Records that the response to a start command is overdue.
    pub fn start_overdue(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        now: BootTime,
    ) {
        self.record_open_start(worker, name, run, now);
    }

    /// Records a start for the next owner, if a copy without a ticket may be executed later.
    pub(super) fn record_open_start(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        now: BootTime,
    ) {
        let Some(copies) = self.copies_mut(worker, name, run) else { return };
        if copies.has_ticket() || !copies.is_open() {
            return;
        }
        let Some(&key) = self.job_ids.get(&name.step.job) else { return };
        let Some(state) = self.workers.get(worker) else { return };
        let start = RecordedStart::new(name, state.info.id.clone(), run);
        if self.recorded_starts.add(key, start) {
            self.mark_dirty(key, now);
        }
    }

    /// Adds the recorded starts of a job that was read from the store.
    pub(super) fn load_recorded_starts(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let (id, live) = (job.id.clone(), job.live());
        for start in job.record.open_starts.clone() {
            let name = start.task_name(&id);
            if !live {
                self.late_starts.add_ended(name);
            } else if let Some(task) = self.find_task(&name) {
                self.late_starts.add_inherited(task, start.worker.clone(), start.run);
                self.recorded_starts.by_job.entry(key).or_default().push(start);
            }
        }
    }

    /// Removes the recorded starts of which no copy can be executed any more. Those of ended jobs stay in the
    /// store, where they only delay the acknowledgement of an end.
    pub(super) fn sweep_recorded_starts(&mut self, now: BootTime) {
        for (key, mut starts) in std::mem::take(&mut self.recorded_starts.by_job) {
            let before = starts.len();
            starts.retain(|start| {
                let copies = self.known_copies(key, start);
                copies.is_some_and(|copies| copies.may_execute(now))
            });
            if starts.len() < before && self.jobs[key].live() {
                self.mark_dirty(key, now);
            }
            if !starts.is_empty() {
                self.recorded_starts.by_job.insert(key, starts);
            }
        }
    }

    /// Returns what is known of the copies of a recorded start.
    fn known_copies(&self, key: JobKey, start: &RecordedStart) -> Option<StartCopies> {
        let (worker, run) = (&start.worker, start.run);
        let name = start.task_name(&self.jobs[key].id);
        let task = self.find_task(&name);
        let late = task.and_then(|task| self.late_starts.copies(task, worker, run));
        late.or_else(|| {
            let &worker = self.worker_ids.get(worker)?;
            let placed = self.find_run(worker, &name, run);
            let placement = placed.and_then(|task| self.placement_of(task));
            let copies = placement.map(|placement| placement.copies);
            copies.or_else(|| self.held_copies(worker, &name, run))
        })
    }
}
