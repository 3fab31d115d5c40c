//! Permissions to place steps on workers.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::CallOrder;
use crate::PermissionGrant;
use crate::PermissionRequest;
use crate::StepName;
use crate::WorkerKey;
use crate::run_command::is_long_call;

use super::FleetScheduler;
use super::PlacementRound;
use super::call_shares::UnitCall;
use super::job_lateness::JobLateness;
use super::permission_table::WorkerGrant;
use super::request_size::RequestSize;
use super::task_ref::JobKey;

/// The share of workers that are assumed to be allowed for a queue before the first response.
const INITIAL_SHARE: f64 = 0.4;
/// The weight of a new response in the moving average of the allowed share.
const SHARE_GAIN: f64 = 0.2;
/// The capacity that the workers likely to be allowed should have, as a multiple of the needed one.
const REQUEST_SURPLUS: f64 = 2.5;
/// The same for a gang, measured by the total capacity of the workers, most of which is in use.
const GANG_REQUEST_SURPLUS: f64 = 4.5;
/// The same for a gang that fits into free capacity while calls are scarce.
const FREE_REQUEST_SURPLUS: f64 = 1.5;
/// The minimum share of workers that are assumed to be allowed.
const MIN_SHARE: f64 = 0.05;
/// The minimum number of workers to request permission for at first.
pub(super) const REQUEST_MIN: usize = 8;
/// The maximum number of workers in one request. The service accepts up to 100, but several shorter
/// calls from several VMs take less time.
pub(super) const REQUEST_MAX: usize = 60;
/// The maximum number of concurrent requests for a step.
const REQUEST_PARTS: usize = 4;
/// The delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The state of the permission to place a step on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermissionState {
    /// The step may be placed on the worker.
    Valid,
    /// The permission was granted, but has expired.
    Expired,
    /// No permission was requested.
    NotRequested,
    /// The step may not be placed on the worker.
    Denied,
}

impl FleetScheduler {
    /// Returns the state of the permission to place a unit on a worker.
    pub(super) fn permission(
        &self,
        key: JobKey,
        unit: u32,
        worker: WorkerKey,
        now: BootTime,
    ) -> PermissionState {
        let job = &self.jobs[key];
        if job.record.rules.permission.is_none() {
            return PermissionState::Valid;
        }
        job.units[unit as usize].permissions.state(worker, now)
    }

    /// Returns the workers with a valid or expired permission for a unit; all workers if its queue
    /// requires none.
    pub(super) fn granted_workers(&self, key: JobKey, unit: u32) -> Vec<WorkerKey> {
        let job = &self.jobs[key];
        if job.record.rules.permission.is_none() {
            return self.workers.keys().collect();
        }
        let grants = job.units[unit as usize].permissions.grants().iter();
        let listed = grants.filter(|grant| self.workers.contains_key(grant.worker));
        listed.map(|grant| grant.worker).collect()
    }

    /// Chooses the workers to request permission for, those with the most free capacity first.
    ///
    /// `candidates` holds workers with the number of the step's tasks that fit there now, and the
    /// number that would fit if the worker were empty, which breaks ties. On a full cell all
    /// workers are included, since one call that names more workers is shorter than two calls.
    /// Capacity for a gang is freed on the allowed workers, so a gang needs enough of them even if
    /// they are full now.
    pub(super) fn choose_workers_to_request(
        &self,
        key: JobKey,
        gang: bool,
        needed: usize,
        mut candidates: Vec<(WorkerKey, u32, u32)>,
        round: &PlacementRound,
    ) -> Vec<Name> {
        if round.calls.scarce {
            self.keep_usable_candidates(key, gang, needed, &mut candidates, round);
        }
        candidates.sort_by_cached_key(|&(worker, now, ever)| {
            let speed = self.request_speed(key, gang, worker);
            std::cmp::Reverse((now > 0, speed, now, ever))
        });
        let size = self.request_size(key, gang, needed, round);
        let share = self.expected_share(&self.jobs[key].record.rules.queue);
        let free: u32 = candidates.iter().map(|&(_, now_fits, _)| now_fits).sum();
        let gang_needs = needed as f64 * FREE_REQUEST_SURPLUS / share.max(MIN_SHARE);
        let fits_now = gang && round.calls.scarce && f64::from(free) >= gang_needs;
        let wanted = if fits_now { gang_needs } else { size.wanted };
        let mut covered = 0.0;
        let mut names = Vec::new();
        for (worker, now_fits, ever_fits) in candidates {
            let enough = covered >= wanted && names.len() >= size.minimum;
            if enough || names.len() == size.limit {
                break;
            }
            covered += f64::from(if gang && !fits_now { ever_fits } else { now_fits });
            names.push(self.workers[worker].info.id.clone());
        }
        names
    }

    /// Returns how many workers a request for `needed` tasks names.
    pub(super) fn request_size(
        &self,
        key: JobKey,
        gang: bool,
        needed: usize,
        round: &PlacementRound,
    ) -> RequestSize {
        let queue = &self.jobs[key].record.rules.queue;
        let share = self.expected_share(queue);
        let surplus = if gang { GANG_REQUEST_SURPLUS } else { REQUEST_SURPLUS };
        let wanted = needed as f64 * surplus / share.max(MIN_SHARE);
        let cost = self.jobs[key].record.rules.permission;
        let cheap = cost.map_or(0, |cost| cost.cheap_workers()).min(REQUEST_MAX);
        let minimum = cheap.max(REQUEST_MIN);
        let limit = match (round.calls.scarce, gang) {
            // A longer call takes more time, and the urgent jobs of a burst all see the same workers.
            (true, false) if self.jobs[key].is_urgent() => minimum,
            (true, false) => REQUEST_MAX,
            _ => REQUEST_MAX * REQUEST_PARTS,
        };
        RequestSize { wanted, minimum, limit }
    }

    /// Returns the share of workers that are likely to be allowed for a queue.
    pub(super) fn expected_share(&self, queue: &Name) -> f64 {
        self.allowed_share.get(queue).copied().unwrap_or(INITIAL_SHARE)
    }

    /// Creates the permission requests for a unit, unless some are open or have failed too
    /// recently.
    ///
    /// No more are created than the VMs can send soon, since the capacity would be gone before a
    /// request that has to wait for a free VM completes.
    pub(super) fn request_permissions(
        &mut self,
        key: JobKey,
        unit: u32,
        workers: &[Name],
        now: BootTime,
        round: &mut PlacementRound,
    ) -> Vec<PermissionRequest> {
        let job = &self.jobs[key];
        let step = job.step_name(unit);
        let Some(cost) = job.record.rules.permission else { return Vec::new() };
        let state = &job.units[unit as usize];
        if workers.is_empty() || !state.may_request(now) {
            return Vec::new();
        }
        let known = !state.permissions.is_empty();
        let part = workers.len().div_ceil(workers.len().div_ceil(REQUEST_MAX));
        if !known {
            let parts = workers.chunks(part);
            let call_time = parts.map(|workers| cost.call_time(workers.len())).sum();
            self.record_first_calls(key, call_time);
        }
        let job = &self.jobs[key];
        let gang = job.plan(unit).gang;
        let account = job.record.account.clone();
        let order = self.call_order(key, round.unix_time);
        let mut requests = Vec::new();
        for workers in workers.chunks(part) {
            let call_time = cost.call_time(workers.len());
            let call = UnitCall { key, unit, priority: order.priority, call_time };
            if !self.call_shares.admit(&account, call, &mut round.calls, now) {
                break;
            }
            requests.push(PermissionRequest {
                step: step.clone(),
                account: account.clone(),
                order,
                call_time,
                send_by: now.saturating_add(cost.validity),
                workers: workers.to_vec(),
            });
        }
        self.permission_ledger.begin_wait(key, now);
        if !gang && !requests.is_empty() {
            self.claim_capacity(key, unit, workers);
        }
        self.jobs[key].units[unit as usize].open_requests = requests.len();
        requests
    }

    /// Returns whether a unit could request permissions now and the VMs could send the request.
    pub(super) fn may_request(
        &self,
        key: JobKey,
        unit: u32,
        now: BootTime,
        round: &PlacementRound,
    ) -> bool {
        let job = &self.jobs[key];
        let Some(cost) = job.record.rules.permission else { return false };
        let affordable = |workers| !round.calls.is_used_up(cost.call_time(workers));
        (affordable(1) || affordable(REQUEST_MAX))
            && job.units[unit as usize].may_request(now)
    }

    /// Records that a unit would request permissions if there were capacity for the call. A long call
    /// that can't be made says nothing of the account, since most jobs wait for theirs.
    pub(super) fn turn_away(
        &mut self,
        key: JobKey,
        unit: u32,
        call_time: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        if is_long_call(call_time) {
            return;
        }
        let rules = &self.jobs[key].record.rules;
        let call = UnitCall { key, unit, priority: rules.priority, call_time };
        let account = &self.jobs[key].record.account;
        self.call_shares.admit(account, call, &mut round.calls, now);
    }

    /// Returns the position of a job's requests in the order in which they are sent.
    fn call_order(&self, key: JobKey, unix_time: Duration) -> CallOrder {
        let job = &self.jobs[key];
        CallOrder {
            overdue: self.is_overdue(key, unix_time),
            priority: job.record.rules.priority,
            late: job.lateness(unix_time) != JobLateness::InTime,
            serial: job.serial,
        }
    }

    /// Resolves the name of a step to its job and unit.
    pub(super) fn find_unit(&self, step: &StepName) -> Option<(JobKey, u32)> {
        let &key = self.job_ids.get(&step.job)?;
        let steps = self.jobs[key].record.request.steps.len() as u32;
        let unit = step.occurrence.checked_mul(steps)? + step.step;
        ((unit as usize) < self.jobs[key].units.len()).then_some((key, unit))
    }

    /// Returns how long a permission for a step is valid.
    pub fn permission_validity(&self, step: &StepName) -> Option<Duration> {
        let (key, _) = self.find_unit(step)?;
        self.jobs[key].record.rules.permission.map(|cost| cost.validity)
    }

    /// Handles the response to a permission request, which was received at `now`: the requested workers and
    /// the grants.
    pub fn permission_response(
        &mut self,
        step: &StepName,
        requested: &[Name],
        grants: Vec<PermissionGrant>,
        now: BootTime,
    ) {
        let Some((key, unit)) = self.find_unit(step) else { return };
        self.finish_request(key, unit);
        self.permission_ledger.record_grants(key, unit, requested.len(), &grants);
        let workers: Vec<WorkerKey> =
            requested.iter().filter_map(|id| self.worker_ids.get(id).copied()).collect();
        let granted = grants.len();
        let grants = grants.into_iter().filter_map(|grant| {
            let worker = *self.worker_ids.get(&grant.worker)?;
            let PermissionGrant { ticket, until, .. } = grant;
            Some(WorkerGrant { worker, ticket, received: now, until })
        });
        let grants = grants.collect();
        let job = &mut self.jobs[key];
        let table = &mut job.units[unit as usize].permissions;
        let known = workers.iter().any(|&worker| table.is_requested(worker));
        table.record(workers, grants);
        let unknown = requested.len();
        if !known && unknown > 0 {
            let queue = job.record.rules.queue.clone();
            let share = self.allowed_share.entry(queue).or_insert(INITIAL_SHARE);
            *share += (granted as f64 / unknown as f64 - *share) * SHARE_GAIN;
        }
    }

    /// Handles a permission request that failed.
    pub fn permission_failed(&mut self, step: &StepName, now: BootTime) {
        self.permission_ledger.counts.failed += 1;
        let Some((key, unit)) = self.find_unit(step) else { return };
        self.finish_request(key, unit);
        self.jobs[key].units[unit as usize].retry_after = now + RETRY_DELAY;
    }

    /// Handles a permission request that was dropped before it was sent. The unit may request
    /// permissions again at once.
    pub fn permission_dropped(&mut self, step: &StepName) {
        self.permission_ledger.counts.dropped += 1;
        let Some((key, unit)) = self.find_unit(step) else { return };
        self.finish_request(key, unit);
    }

    /// Closes a request and, after a unit's last one, releases what the unit has claimed.
    fn finish_request(&mut self, key: JobKey, unit: u32) {
        let state = &mut self.jobs[key].units[unit as usize];
        state.open_requests = state.open_requests.saturating_sub(1);
        state.next_attempt = BootTime::ZERO;
        if state.open_requests == 0 {
            self.call_claims.release(key, unit);
        }
        self.call_shares.end(key, unit, &self.jobs[key].record.account);
    }
}
