//! Workers with free capacity for waiting tasks, and the choice among them.

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::StepPlan;
use crate::WorkerKey;

use super::FleetScheduler;
use super::free_workers::FreeWorkers;
use super::permission_table::WorkerGrant;
use super::permissions::PermissionState;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::worker_state::WorkerState;

/// A worker with free capacity for tasks of a step.
#[derive(Debug, Clone)]
pub(super) struct WorkerOffer {
    pub(super) worker: WorkerKey,
    /// The number of the step's tasks that fit now.
    pub(super) fits: u32,
    /// The state of the permission to use the worker.
    pub(super) permission: PermissionState,
    /// The sort key; the lowest rank is preferred: workers without failures, without interfering
    /// tasks, in the rack with the data, and with the least free processors.
    pub(super) rank: (bool, bool, bool, u64, WorkerKey),
}

impl FleetScheduler {
    /// Returns the workers with free capacity for tasks of a unit, the preferred ones first, and the
    /// number of workers that were looked at. Tasks that may crash their worker should end as little
    /// other work as possible.
    pub(super) fn offers(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        free: &FreeWorkers,
        now: BootTime,
    ) -> (Vec<WorkerOffer>, usize) {
        let mut offers = Vec::new();
        let job = &self.jobs[key];
        let permissions = &job.units[unit as usize].permissions;
        let roomy = free.with_room(plan.reserved().cpu_millis);
        let granted = permissions.grants().len();
        let searched;
        if job.record.rules.permission.is_none() {
            searched = roomy.len();
            let valid = PermissionState::Valid;
            let offer = |worker| self.offer(key, unit, plan, worker, valid, now);
            offers.extend(roomy.filter_map(offer));
        } else {
            searched = roomy.len().min(granted);
            let offer = |grant: &WorkerGrant| {
                self.offer(key, unit, plan, grant.worker, grant.state(now), now)
            };
            if roomy.len() < granted {
                let found = roomy.filter_map(|worker| permissions.find(worker));
                offers.extend(found.filter_map(offer));
            } else {
                let grants = permissions.grants().iter();
                let listed = grants.filter(|g| self.workers.contains_key(g.worker));
                offers.extend(listed.filter_map(offer));
            }
        }
        offers.sort_by_key(|offer| offer.rank);
        if self.has_suspects(key, unit) {
            offers.sort_by_cached_key(|&WorkerOffer { worker, .. }| {
                let young = self.has_young_run(key, worker, now);
                (young, self.work_at_risk(key, worker, now))
            });
        }
        (offers, searched)
    }

    /// Returns a worker's offer for tasks of a unit, or `None` if it has no free capacity for them
    /// or may not run them.
    pub(super) fn offer(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
        permission: PermissionState,
        now: BootTime,
    ) -> Option<WorkerOffer> {
        let state = &self.workers[worker];
        let free = state.free();
        let usable = state.usable(now) && state.allows_start(key, now);
        if !has_room(&plan.reserved(), &free)
            || !usable
            || !self.is_eligible(key, plan, state)
        {
            return None;
        }
        let interfering = self.interfering(plan, state).next().is_some();
        if interfering && plan.best_effort {
            return None;
        }
        let fits = self.fits(key, unit, plan, worker, &free);
        if fits == 0 {
            return None;
        }
        let remote =
            plan.affinity.as_ref().is_some_and(|r| !state.info.labels.contains(r));
        let rank = (state.failures > 0, interfering, remote, free.cpu_millis, worker);
        Some(WorkerOffer { worker, fits, permission, rank })
    }

    /// Returns the tasks on a worker that would interfere with tasks of a step.
    pub(super) fn interfering(
        &self,
        plan: &StepPlan,
        state: &WorkerState,
    ) -> impl Iterator<Item = TaskRef> {
        let sensitive = plan.best_effort || plan.latency_target.is_some();
        let tasks = sensitive.then(|| state.tasks.iter().copied()).into_iter().flatten();
        tasks.filter(|task| plan.interferes_with(self.jobs[task.job].plan(task.unit)))
    }

    /// Returns whether a worker has the label and the service that a step requires.
    pub(super) fn is_eligible(
        &self,
        key: JobKey,
        plan: &StepPlan,
        state: &WorkerState,
    ) -> bool {
        let labelled = plan
            .required_label
            .as_ref()
            .is_none_or(|label| state.info.labels.contains(label));
        labelled && state.info.service == self.jobs[key].record.rules.service
    }

    /// Returns how many tasks of a unit fit into the given free capacity of a worker.
    pub(super) fn fits(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
        free: &ResourceVector,
    ) -> u32 {
        let fits = copies_that_fit(&plan.reserved(), free).min(self.placeable_on(worker));
        if plan.max_per_worker == 0 {
            return fits;
        }
        let here = self.workers[worker].tasks.iter();
        let taken = here.filter(|task| task.job == key && task.unit == unit).count();
        fits.min(plan.max_per_worker.saturating_sub(taken as u32))
    }
}

/// Returns whether a task of a size fits into the given free capacity.
fn has_room(size: &ResourceVector, free: &ResourceVector) -> bool {
    size.cpu_millis <= free.cpu_millis
        && size.memory_bytes <= free.memory_bytes
        && size.accelerators <= free.accelerators
}

/// Returns how many tasks of a size fit into the given free capacity.
pub(super) fn copies_that_fit(size: &ResourceVector, free: &ResourceVector) -> u32 {
    if !has_room(size, free) {
        return 0;
    }
    let cpu = free.cpu_millis.checked_div(size.cpu_millis);
    let memory = free.memory_bytes.checked_div(size.memory_bytes);
    let accelerators = free.accelerators.checked_div(size.accelerators).map(u64::from);
    let least = [cpu, memory, accelerators].into_iter().flatten().min();
    least.map_or(u32::MAX, |least| u32::try_from(least).unwrap_or(u32::MAX))
}

/// Chooses workers for up to `needed` tasks from the admitted offers, the preferred ones first. A
/// worker is listed once for each task.
pub(super) fn choose_workers(
    offers: &[WorkerOffer],
    needed: usize,
    admit: impl Fn(&WorkerOffer) -> bool,
) -> Vec<WorkerKey> {
    let mut chosen = Vec::with_capacity(needed.min(64));
    for offer in offers.iter().filter(|offer| admit(offer)) {
        for _ in 0..offer.fits {
            if chosen.len() == needed {
                return chosen;
            }
            chosen.push(offer.worker);
        }
    }
    chosen
}
