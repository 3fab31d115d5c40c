//! Free capacity for which permission requests are open.
//!
//! On a full cell many jobs see the same capacity become free. If each of them requested the
//! permission to use it, all requests but one would be for nothing. A request therefore claims the
//! capacity until its response arrives, and while calls are scarce, jobs request permissions only
//! for capacity that no job of their priority or a higher one has claimed. A claim keeps nobody from
//! starting tasks.

use std::collections::BTreeMap;
use std::collections::HashMap;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::StepPlan;
use crate::WorkerKey;

use super::FleetScheduler;
use super::task_ref::JobKey;

/// The capacity that a unit's open requests claim.
#[derive(Debug)]
struct CallClaim {
    /// The workers, one entry for each task.
    workers: Vec<WorkerKey>,
    /// The resources of a task.
    size: ResourceVector,
    /// The priority of the job.
    priority: u32,
}

/// The claims of all open permission requests.
#[derive(Debug, Default)]
pub(super) struct CallClaims {
    by_unit: HashMap<(JobKey, u32), CallClaim>,
    /// What is claimed on each worker, by priority.
    by_worker: HashMap<WorkerKey, BTreeMap<u32, ResourceVector>>,
}

impl CallClaims {
    /// Replaces the claim of a unit.
    fn set(&mut self, key: JobKey, unit: u32, claim: CallClaim) {
        self.release(key, unit);
        for &worker in &claim.workers {
            let claims = self.by_worker.entry(worker).or_default();
            claims.entry(claim.priority).or_default().add(&claim.size);
        }
        self.by_unit.insert((key, unit), claim);
    }

    /// Releases the claim of a unit, if any.
    pub(super) fn release(&mut self, key: JobKey, unit: u32) {
        let Some(claim) = self.by_unit.remove(&(key, unit)) else { return };
        for worker in claim.workers {
            let Some(claims) = self.by_worker.get_mut(&worker) else { continue };
            if let Some(claimed) = claims.get_mut(&claim.priority) {
                claimed.subtract(&claim.size);
            }
            claims.retain(|_, claimed| *claimed != ResourceVector::default());
            if claims.is_empty() {
                self.by_worker.remove(&worker);
            }
        }
    }

    /// Returns the capacity of a worker that open requests of a priority or a higher one claim.
    fn claimed(&self, worker: WorkerKey, priority: u32) -> ResourceVector {
        let mut sum = ResourceVector::default();
        if let Some(claims) = self.by_worker.get(&worker) {
            claims.range(..=priority).for_each(|(_, claimed)| sum.add(claimed));
        }
        sum
    }
}

impl FleetScheduler {
    /// Returns how many tasks of a unit fit on a worker beside what open requests claim that go
    /// before it.
    pub(super) fn unclaimed_fits(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
    ) -> u32 {
        let priority = self.jobs[key].record.rules.priority;
        let claimed = self.call_claims.claimed(worker, priority);
        let free = self.workers[worker].free().minus(&claimed);
        self.fits(key, unit, plan, worker, &free)
    }

    /// Claims capacity for the waiting tasks of a unit on the workers, the first ones first.
    pub(super) fn claim_capacity(&mut self, key: JobKey, unit: u32, workers: &[Name]) {
        let job = &self.jobs[key];
        let plan = job.plan(unit).clone();
        let needed = job.units[unit as usize].waiting as usize;
        let mut claimed = Vec::new();
        for worker in workers.iter().filter_map(|id| self.worker_ids.get(id)) {
            let fits = self.unclaimed_fits(key, unit, &plan, *worker) as usize;
            let left = needed - claimed.len();
            claimed.extend(std::iter::repeat_n(*worker, fits.min(left)));
        }
        let priority = self.jobs[key].record.rules.priority;
        let claim = CallClaim { workers: claimed, size: plan.reserved(), priority };
        self.call_claims.set(key, unit, claim);
    }
}
