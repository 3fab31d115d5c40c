//! The workers of the scheduler, and what the next owner has to know of them.

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
use super::worker_slot::RecordedRuns;
use super::worker_slot::WorkerSlot;

impl FleetScheduler {
    /// Takes over the platform's list of workers and returns those that are new.
    pub fn set_workers(
        &mut self,
        infos: Vec<WorkerInfo>,
        now: BootTime,
    ) -> Vec<WorkerKey> {
        for slot in self.workers.values_mut() {
            slot.listed = false;
        }
        let mut fresh = Vec::new();
        for info in infos {
            match self.worker_ids.get(&info.id) {
                Some(&key) => {
                    let slot = &mut self.workers[key];
                    slot.info = info;
                    slot.listed = true;
                }
                None => fresh.push(self.insert_worker(info, now + self.lease)),
            }
        }
        fresh
    }

    /// Adds a worker whose lease has ended by `expiry` unless it is extended.
    fn insert_worker(&mut self, info: WorkerInfo, expiry: BootTime) -> WorkerKey {
        let id = info.id.clone();
        let key = self.workers.insert(WorkerSlot::new(info, expiry));
        self.worker_ids.insert(id, key);
        key
    }

    /// Puts the workers on the scheduler where tasks of a former owner may run until a time, unless they
    /// report before.
    ///
    /// They take no tasks before the platform's list has them.
    pub fn load_workers(
        &mut self,
        records: Vec<WorkerRecord>,
        until: BootTime,
    ) -> Vec<WorkerKey> {
        let mut fresh = Vec::new();
        for record in records {
            if self.worker_ids.contains_key(&record.info.id) {
                continue;
            }
            let key = self.insert_worker(record.info, until);
            let slot = &mut self.workers[key];
            slot.listed = false;
            slot.recorded_runs = RecordedRuns::of(&record.possible_runs);
            slot.inherited_runs = Some(record.possible_runs);
            fresh.push(key);
        }
        fresh
    }

    /// Returns the records of the workers where tasks may run if the store lacks some of them, or
    /// has others: the next owner would wait for these.
    ///
    /// Workers of which the store is to say something else get no tasks until it has said that
    /// they may have some.
    pub fn changed_worker_records(&mut self) -> Option<Vec<WorkerRecord>> {
        let mut changed = std::mem::take(&mut self.records_outdated);
        for slot in self.workers.values_mut() {
            if slot.recorded_runs != slot.wanted_runs() {
                changed = true;
                slot.recorded_runs = RecordedRuns::NoJobs;
            }
        }
        changed.then(|| self.workers.values().filter_map(|w| self.record(w)).collect())
    }

    /// Returns what the store should say of a worker; nothing if no task may run there.
    fn record(&self, slot: &WorkerSlot) -> Option<WorkerRecord> {
        let possible_runs = match slot.wanted_runs() {
            RecordedRuns::NoJobs => return None,
            RecordedRuns::AnyJob => PossibleRuns::Any,
            RecordedRuns::SomeJobs => match &slot.inherited_runs {
                Some(inherited_runs) if slot.incarnation.is_none() => {
                    inherited_runs.clone()
                }
                _ => self.possible_runs(slot),
            },
        };
        Some(WorkerRecord { info: slot.info.clone(), possible_runs })
    }

    /// Returns whose tasks a worker has and what they take.
    fn possible_runs(&self, slot: &WorkerSlot) -> PossibleRuns {
        let mut jobs = BTreeSet::new();
        let mut used: BTreeMap<Name, ResourceVector> = BTreeMap::new();
        for task in &slot.places {
            let job = &self.jobs[task.job];
            jobs.insert(job.id.clone());
            let account = used.entry(job.record.account.clone()).or_default();
            account.add(&job.plan(task.unit).reserved());
        }
        // The next owner has to read the ends that the store doesn't hold.
        let ends = slot.unstored.iter().filter_map(|end| self.jobs.get(end.job?.0));
        jobs.extend(ends.map(|job| job.id.clone()));
        PossibleRuns::Only {
            jobs: jobs.into_iter().collect(),
            used: used.into_iter().collect(),
        }
    }

    /// Notes that the store knows these workers and no others.
    pub fn worker_records_stored(&mut self, records: &[WorkerRecord]) {
        for slot in self.workers.values_mut() {
            slot.recorded_runs = RecordedRuns::NoJobs;
        }
        for record in records {
            match self.worker_ids.get(&record.info.id) {
                Some(&key) => {
                    self.workers[key].recorded_runs =
                        RecordedRuns::of(&record.possible_runs);
                }
                None => self.records_outdated = true,
            }
        }
    }

    /// Notes that the store did not take the records, so that they are written again.
    pub fn worker_records_rejected(&mut self) {
        self.records_outdated = true;
    }

    /// Returns whether a worker is gone: it is not listed and nothing may run there.
    pub fn remove_if_gone(&mut self, worker: WorkerKey, now: BootTime) -> bool {
        let Some(slot) = self.workers.get(worker) else { return true };
        let empty = slot.idle() || (slot.places.is_empty() && slot.expiry <= now);
        if slot.listed || !slot.silent || !empty {
            return false;
        }
        if let Some(slot) = self.workers.remove(worker) {
            self.worker_ids.remove(&slot.info.id);
            self.records_outdated |= slot.recorded_runs != RecordedRuns::NoJobs;
        }
        true
    }
}
