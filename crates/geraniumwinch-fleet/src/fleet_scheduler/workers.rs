//! The workers of the scheduler, and their records for the next owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::PossibleRuns;
use crate::WorkerInfo;
use crate::WorkerRecord;

use super::FleetScheduler;
use super::WorkerKey;
use super::next_fence;
use super::worker_state::FormerWorker;
use super::worker_state::RecordedRuns;
use super::worker_state::WorkerState;

impl FleetScheduler {
    /// Replaces the platform's list of workers and returns the new ones.
    pub fn set_workers(
        &mut self,
        infos: Vec<WorkerInfo>,
        now: BootTime,
    ) -> Vec<WorkerKey> {
        for state in self.workers.values_mut() {
            state.listed = false;
        }
        let mut added = Vec::new();
        for info in infos {
            self.list_speed(&info);
            match self.worker_ids.get(&info.id) {
                Some(&key) => {
                    let state = &mut self.workers[key];
                    state.leaving |= !info.accepting;
                    if state.info.address != info.address
                        && state.recorded_runs != RecordedRuns::NoJobs
                    {
                        // The next owner would look for its runs at the former address.
                        state.recorded_runs = RecordedRuns::NoJobs;
                        self.records_outdated = true;
                    }
                    state.info = info;
                    state.listed = true;
                    state.departed = false;
                }
                None => {
                    self.record_former_crash(&info, now);
                    added.push(self.insert_worker(info, now + self.lease));
                }
            }
        }
        self.update_evacuated_workers();
        added
    }

    /// Records the crash of a removed worker that is back as another incarnation: under its former id
    /// or at its former address.
    fn record_former_crash(&mut self, info: &WorkerInfo, now: BootTime) {
        let mut former_workers = self.former_workers.iter_mut();
        let former = former_workers.find(|(id, former)| {
            let same_id = **id == info.id && former.incarnation != info.incarnation;
            let replaced = **id != info.id && former.address == info.address;
            !former.expired_runs.is_empty() && (same_id || replaced)
        });
        if let Some((id, former)) = former {
            let (id, lost) = (id.clone(), std::mem::take(&mut former.expired_runs));
            self.record_crash(&id, lost, now);
        }
    }

    /// Adds a worker whose lease expires at `expiry` unless it is extended.
    fn insert_worker(&mut self, info: WorkerInfo, expiry: BootTime) -> WorkerKey {
        let id = info.id.clone();
        // A worker that was forgotten may have restarted meanwhile.
        let former = self.former_workers.remove(&id);
        let fence = former.map_or(0, |former| next_fence(former.fence));
        let key = self.workers.insert(WorkerState::new(info, fence, expiry));
        self.worker_ids.insert(id, key);
        self.added_workers += 1;
        key
    }

    /// Adds the workers that were recorded by a former owner and returns the new ones.
    ///
    /// The former owner's tasks may run there until the given time, unless the worker reports
    /// earlier. The workers get no tasks before they appear in the platform's list.
    pub fn load_workers(
        &mut self,
        records: Vec<WorkerRecord>,
        until: BootTime,
    ) -> Vec<WorkerKey> {
        let mut added = Vec::new();
        for record in records {
            if self.worker_ids.contains_key(&record.info.id) {
                continue;
            }
            let key = self.insert_worker(record.info, until);
            let state = &mut self.workers[key];
            state.listed = false;
            state.recorded_runs = RecordedRuns::of(&record.possible_runs);
            state.inherited_runs = Some(record.possible_runs);
            added.push(key);
        }
        self.update_evacuated_workers();
        added
    }

    /// Returns the records of all workers where tasks may run, if they differ from those in the
    /// store.
    ///
    /// Obsolete records are replaced because the next owner would wait for these workers. A worker
    /// whose record changes gets no tasks until the store holds a record that allows any job.
    pub fn changed_worker_records(&mut self) -> Option<Vec<WorkerRecord>> {
        let mut changed = std::mem::take(&mut self.records_outdated);
        for state in self.workers.values_mut() {
            if state.recorded_runs != state.wanted_runs() {
                changed = true;
                state.recorded_runs = RecordedRuns::NoJobs;
            }
        }
        changed.then(|| self.workers.values().filter_map(|w| self.record(w)).collect())
    }

    /// Returns the record that the store should hold for a worker; `None` if no task may run there.
    fn record(&self, state: &WorkerState) -> Option<WorkerRecord> {
        let possible_runs = match state.wanted_runs() {
            RecordedRuns::NoJobs => return None,
            RecordedRuns::AnyJob => PossibleRuns::Any,
            RecordedRuns::SomeJobs => match &state.inherited_runs {
                Some(inherited_runs) if state.incarnation.is_none() => {
                    inherited_runs.clone()
                }
                _ => self.possible_runs(state),
            },
        };
        Some(WorkerRecord { info: state.info.clone(), possible_runs })
    }

    /// Returns the jobs with tasks or unstored ends on a worker, and the resources of the tasks.
    fn possible_runs(&self, state: &WorkerState) -> PossibleRuns {
        let mut jobs = BTreeSet::new();
        let mut used: BTreeMap<Name, ResourceVector> = BTreeMap::new();
        for task in &state.tasks {
            let job = &self.jobs[task.job];
            jobs.insert(job.id.clone());
            let account = used.entry(job.record.account.clone()).or_default();
            account.add(&job.plan(task.unit).reserved());
        }
        // The next owner has to read the ends that are not in the store.
        let ends = state.unstored_ends.iter().filter_map(|end| self.jobs.get(end.job?.0));
        jobs.extend(ends.map(|job| job.id.clone()));
        PossibleRuns::Only {
            jobs: jobs.into_iter().collect(),
            used: used.into_iter().collect(),
        }
    }

    /// Handles the confirmation that the store holds exactly these worker records.
    pub fn worker_records_stored(&mut self, records: &[WorkerRecord]) {
        for state in self.workers.values_mut() {
            state.recorded_runs = RecordedRuns::NoJobs;
        }
        for record in records {
            let key = self.worker_ids.get(&record.info.id);
            match key.map(|&key| &mut self.workers[key]) {
                Some(state) if state.info.address == record.info.address => {
                    state.recorded_runs = RecordedRuns::of(&record.possible_runs);
                }
                _ => self.records_outdated = true,
            }
        }
    }

    /// Marks the worker records for another write after the store did not accept them.
    pub fn worker_records_rejected(&mut self) {
        self.records_outdated = true;
    }

    /// Removes a worker that is not listed, does not respond and cannot have any runs left. Returns
    /// whether the worker is gone.
    pub fn remove_if_gone(&mut self, worker: WorkerKey, now: BootTime) -> bool {
        let Some(state) = self.workers.get(worker) else { return true };
        let settled = state.idle() && !state.may_hide_ends();
        let over = state.departed || state.expiry <= now;
        let empty = settled || (state.tasks.is_empty() && over);
        if state.listed || !state.is_silent() || !empty {
            return false;
        }
        if let Some(state) = self.workers.remove(worker) {
            self.records_outdated |= state.recorded_runs != RecordedRuns::NoJobs;
            self.worker_ids.remove(&state.info.id);
            let WorkerInfo { id, address, incarnation, .. } = state.info.clone();
            let fence = state.fence;
            let noted = self.take_lost_contacts(&id, now).into_iter();
            let mut expired_runs = state.expired_runs;
            expired_runs.extend(noted.map(|noted| noted.run));
            if state.leaving {
                expired_runs.clear();
            }
            let former = FormerWorker { fence, address, incarnation, expired_runs };
            self.former_workers.insert(id, former);
        }
        true
    }
}
