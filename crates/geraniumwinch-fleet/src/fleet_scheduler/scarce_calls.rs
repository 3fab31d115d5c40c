//! Permission requests while the VMs that can make calls are scarce.
//!
//! On a full cell, jobs that can't start soon would keep requesting permissions that expire unused,
//! and the calls of jobs that can start would wait behind theirs. While calls are scarce, a request is
//! therefore made only for capacity that is free or can be freed for the job, and that no other
//! request claims.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::PermissionCounts;
use crate::PermissionRequest;
use crate::RequestValue;
use crate::SchedulerEvent;
use crate::StepPlan;
use crate::WorkerKey;

use super::FleetScheduler;
use super::PlacementRound;
use super::task_ref::JobKey;

/// The number of waiting gangs of each priority, in the order of placement, that may request
/// permissions although they are not likely to fit now.
const SEARCHING_GANGS: usize = 4;

impl FleetScheduler {
    /// Prepares the accounts of permissions for a placement pass.
    pub(super) fn begin_permission_pass(&mut self, now: BootTime) {
        self.call_shares.begin_pass(now);
        self.permission_ledger.sweep(now);
        for since in self.permission_ledger.take_first_waits() {
            let wait = now.saturating_sub(since);
            self.events.push(SchedulerEvent::FirstPermission { wait });
        }
    }

    /// Returns the totals of permissions requested, granted, used and lapsed.
    pub fn permission_counts(&self) -> PermissionCounts {
        self.permission_ledger.counts
    }

    /// Returns how many tasks of a unit a worker has capacity for that is worth a request.
    pub(super) fn fits_for_request(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
        round: &PlacementRound,
    ) -> u32 {
        if round.calls.scarce {
            self.unclaimed_fits(key, unit, plan, worker)
        } else {
            self.fits(key, unit, plan, worker, &self.workers[worker].free())
        }
    }

    /// Removes the candidates for a request that the job could not use soon.
    pub(super) fn keep_usable_candidates(
        &self,
        key: JobKey,
        gang: bool,
        needed: usize,
        candidates: &mut Vec<(WorkerKey, u32, u32)>,
        round: &PlacementRound,
    ) {
        if self.is_pressing(key, round.unix_time) {
            return;
        }
        if !gang {
            candidates.retain(|&(_, now_fits, _)| now_fits > 0);
            return;
        }
        let rules = &self.jobs[key].record.rules;
        let ahead = round.searching_gangs.get(&rules.priority).copied().unwrap_or(0);
        let fits: f64 =
            candidates.iter().map(|&(_, now_fits, _)| f64::from(now_fits)).sum();
        let likely_fits = fits * self.expected_share(&rules.queue) >= needed as f64;
        if ahead > SEARCHING_GANGS && !likely_fits {
            candidates.clear();
        }
    }

    /// Returns whether a job requests permissions whatever others claim: it is urgent, and its result
    /// is still of use.
    pub(super) fn is_pressing(&self, key: JobKey, unix_time: Duration) -> bool {
        self.jobs[key].is_urgent() && !self.is_overdue(key, unix_time)
    }

    /// Chooses the workers among the given ones whose permissions are renewed. `reserved` tells
    /// whether their capacity will be reserved.
    pub(super) fn choose_workers_to_renew(
        &self,
        key: JobKey,
        unit: u32,
        workers: &[WorkerKey],
        reserved: bool,
        round: &PlacementRound,
    ) -> Vec<WorkerKey> {
        let mut workers = workers.to_vec();
        let pressing = self.is_pressing(key, round.unix_time);
        if round.calls.scarce && !reserved && !pressing {
            let plan = self.jobs[key].plan(unit);
            workers.retain(|&worker| self.unclaimed_fits(key, unit, plan, worker) > 0);
        }
        workers
    }

    /// Returns what the response to a request that was not sent yet would be good for.
    pub fn request_value(
        &self,
        request: &PermissionRequest,
        unix_time: Duration,
    ) -> RequestValue {
        let Some((key, unit)) = self.find_unit(&request.step) else {
            return RequestValue::Useless;
        };
        let job = &self.jobs[key];
        let plan = job.plan(unit);
        let allowed = self.accounts.allows(&job.record.account, &plan.reserved());
        if !job.live() || job.units[unit as usize].waiting == 0 || allowed == 0 {
            return RequestValue::Useless;
        }
        // The rules of the queue may have changed since.
        let eligible = |id: &Name| {
            let worker = self.worker_ids.get(id);
            worker
                .is_some_and(|&worker| self.is_eligible(key, plan, &self.workers[worker]))
        };
        if job.record.rules.permission.is_none() || !request.workers.iter().any(eligible)
        {
            return RequestValue::Useless;
        }
        let has_room = |id: &Name| {
            self.worker_ids.get(id).is_some_and(|&worker| {
                let free = self.workers[worker].free();
                self.fits(key, unit, plan, worker, &free) > 0
            })
        };
        let startable = plan.gang
            || self.is_pressing(key, unix_time)
            || request.workers.iter().any(has_room);
        if startable && !self.is_overdue(key, unix_time) {
            RequestValue::Useful
        } else {
            RequestValue::Deferrable
        }
    }
}
