//! Failure domains that are evacuated: their workers get no new tasks, and what runs there goes on.
//!
//! An evacuated domain offers no capacity: its workers are not usable, gang reservations there are
//! released, and admission counts neither its processors nor the tasks that still occupy them.

use std::collections::BTreeSet;

use geraniumwinch_core::Name;

use crate::BootTime;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_ref::JobKey;
use super::worker_state::WorkerState;

/// What is left in an evacuated failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationProgress {
    /// The domain.
    pub domain: Name,
    /// The number of the domain's known workers.
    pub workers: usize,
    /// The number of tasks that are placed there.
    pub runs: usize,
    /// The number of workers without placed tasks where runs may still exist: they have not reported
    /// to this owner, or have runs that are being stopped.
    pub uncertain_workers: usize,
}

impl EvacuationProgress {
    /// Returns whether nothing runs in the domain.
    pub fn is_empty(&self) -> bool {
        self.runs == 0 && self.uncertain_workers == 0
    }
}

impl FleetScheduler {
    /// Replaces the set of evacuated domains.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Name>) {
        self.evacuated_domains = domains;
        self.update_evacuated_workers();
    }

    /// Returns whether a worker's domain is evacuated.
    pub fn is_evacuated(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(|state| state.evacuated)
    }

    /// Returns what is left in each evacuated domain, also in those without known workers.
    pub fn evacuation_progress(&self, now: BootTime) -> Vec<EvacuationProgress> {
        let domains = self.evacuated_domains.iter();
        domains.map(|domain| self.domain_progress(domain, now)).collect()
    }

    /// Returns what is left in an evacuated domain.
    fn domain_progress(&self, domain: &Name, now: BootTime) -> EvacuationProgress {
        let workers = || self.workers.values().filter(|s| s.info.domain == *domain);
        let uncertain = |state: &&WorkerState| {
            state.tasks.is_empty() && !state.idle() && now < state.expiry
        };
        EvacuationProgress {
            domain: domain.clone(),
            workers: workers().count(),
            runs: workers().map(|state| state.tasks.len()).sum(),
            uncertain_workers: workers().filter(uncertain).count(),
        }
    }

    /// Marks the workers of evacuated domains, after a change of the domains or of the workers.
    pub(super) fn update_evacuated_workers(&mut self) {
        let mut changed = false;
        for state in self.workers.values_mut() {
            let evacuated = self.evacuated_domains.contains(&state.info.domain);
            changed |= evacuated != std::mem::replace(&mut state.evacuated, evacuated);
        }
        if changed {
            self.release_evacuated_reservations();
            self.recount_placed_load();
        }
    }

    /// Releases the gang reservations that include an evacuated worker, so that these gangs search
    /// again at once.
    fn release_evacuated_reservations(&mut self) {
        let mut affected: Vec<(JobKey, u32)> = Vec::new();
        for &(_, _, key) in &self.open_jobs {
            for (unit, state) in self.jobs[key].units.touched() {
                let Some(reservation) = &state.reservation else { continue };
                if reservation.workers().iter().any(|&worker| self.is_evacuated(worker)) {
                    affected.push((key, unit));
                }
            }
        }
        for (key, unit) in affected {
            self.release_reservation(key, unit);
        }
    }

    /// Counts the load of placed tasks again, without those on evacuated workers.
    pub(super) fn recount_placed_load(&mut self) {
        self.placed_load.clear();
        for state in self.workers.values().filter(|state| !state.evacuated) {
            for task in &state.tasks {
                let job = &self.jobs[task.job];
                let state = &job.units[task.unit as usize].tasks[task.index as usize];
                let Some(placement) = &state.placement else { continue };
                let load = self.placed_load.entry(job.record.rules.priority).or_default();
                load.add_task(job.plan(task.unit), placement.expected);
            }
        }
    }
}
