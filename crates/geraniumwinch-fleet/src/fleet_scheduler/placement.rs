//! Placement of waiting tasks on workers.

use std::collections::HashMap;
use std::time::Duration;

use geraniumwinch_core::Name;
use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::LossCause;
use crate::PermissionRequest;
use crate::RunLoss;
use crate::RunStart;
use crate::StepPlan;
use crate::WorkerKey;

use super::FleetScheduler;
use super::job_state::JobKey;
use super::job_state::JobLateness;
use super::job_state::RunPhase;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;
use super::lost_runs::RunWork;
use super::overdue_jobs::OverdueRoom;
use super::permissions::PermissionState;
use super::worker_state::WorkerState;

/// The start commands and permission requests of one placement pass.
#[derive(Debug, Default)]
pub struct PlacementRound {
    /// The tasks to start.
    pub starts: Vec<RunStart>,
    /// The requests to the permission service.
    pub requests: Vec<PermissionRequest>,
    /// The number of long requests that may still be sent.
    long_requests: usize,
    /// What overdue jobs may still take; `None` before the first of them.
    pub(super) overdue_room: Option<OverdueRoom>,
    /// The capacity that is free or becomes free soon, and that urgent jobs take then.
    pub(super) promised: HashMap<WorkerKey, ResourceVector>,
    /// The number of searches of urgent jobs for tasks to preempt.
    pub(super) preemption_searches: usize,
}

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
    rank: (bool, bool, bool, u64, WorkerKey),
}

impl FleetScheduler {
    /// Places waiting tasks.
    ///
    /// `unix_time` is the time since the Unix epoch, and `long_requests` is the number of long
    /// permission requests that can be sent now.
    pub fn place(
        &mut self,
        unix_time: Duration,
        now: BootTime,
        long_requests: usize,
    ) -> PlacementRound {
        let mut round = PlacementRound { long_requests, ..PlacementRound::default() };
        let unreported = self.unreported_runs(now);
        self.accounts.set_unreported(self.unreported_usage(&unreported, now));
        self.update_account_ranks(now);
        for key in self.jobs_by_priority(unix_time) {
            if self.may_run_unreported(key, &unreported, now) {
                continue;
            }
            for unit in 0..self.jobs[key].units.len() as u32 {
                if self.due(key, unit, unix_time)
                    && !self.start_reserved(key, unit, now, &mut round)
                {
                    self.place_unit(key, unit, unix_time, now, &mut round);
                }
            }
        }
        round
    }

    /// Returns the live jobs by priority, and the overdue jobs of all priorities at the end. Within
    /// a priority, those that can still meet their objective come first, and among them those of
    /// accounts within their share.
    fn jobs_by_priority(&self, unix_time: Duration) -> Vec<JobKey> {
        let mut open: Vec<(bool, u32, JobLateness, u32, u64, JobKey)> = self
            .open_jobs
            .iter()
            .map(|&(priority, serial, key)| {
                let lateness = self.jobs[key].lateness(unix_time);
                let overdue = self.is_overdue(key, unix_time);
                let rank = self.account_ranks.rank(&self.jobs[key].record.account);
                (overdue, priority, lateness, rank, serial, key)
            })
            .collect();
        open.sort_unstable();
        open.into_iter().map(|(.., key)| key).collect()
    }

    /// Returns whether a unit has waiting tasks, is due by its schedule, and has all of its
    /// dependencies done.
    fn due(&self, key: JobKey, unit: u32, unix_time: Duration) -> bool {
        let job = &self.jobs[key];
        let state = &job.units[unit as usize];
        let schedule = job.record.request.schedule;
        state.waiting > 0
            && schedule.is_none_or(|schedule| schedule.due(state.occurrence) <= unix_time)
            && job.ready(unit)
    }

    /// Places as many tasks of a unit as possible, and requests permissions or preempts other tasks
    /// for the rest. A gang is placed as a whole or not at all.
    fn place_unit(
        &mut self,
        key: JobKey,
        unit: u32,
        unix_time: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        let plan = job.plan(unit).clone();
        let waiting = job.units[unit as usize].waiting as usize;
        let quota = self.accounts.allows(&job.record.account, &plan.reserved());
        let mut needed = waiting.min(usize::try_from(quota).unwrap_or(usize::MAX));
        if self.is_overdue(key, unix_time) {
            needed = self.overdue_copies(&plan, needed, now, round);
        }
        let partial = plan.gang && (waiting < plan.tasks as usize || needed < waiting);
        if needed == 0 || partial || self.awaits_crash_record(key, unit, now) {
            return;
        }
        let mut offers = self.offers(key, unit, &plan, now);
        if plan.same_rack {
            self.sort_by_rack(key, unit, needed, &mut offers);
        }
        let valid =
            |offer: &WorkerOffer| matches!(offer.permission, PermissionState::Valid(_));
        let chosen = choose_workers(&offers, needed, valid);
        if chosen.len() == needed {
            self.start(key, unit, &chosen, now, round);
            return;
        }
        let known = |offer: &WorkerOffer| {
            valid(offer) || offer.permission == PermissionState::Expired
        };
        let renewable = choose_workers(&offers, needed, known);
        if plan.gang {
            if renewable.len() == needed {
                self.renew_permissions(key, unit, &renewable, true, now, round);
            } else if self.gang_search_due(key, unit, now) {
                if !self.fits_after_preemption(key, unit, needed, now) {
                    self.request_new_permissions(key, unit, &plan, needed, now, round);
                }
                self.preempt_for_gang(key, unit, needed, unix_time, now, round);
            }
            return;
        }
        self.start(key, unit, &chosen, now, round);
        let left = needed - chosen.len();
        if renewable.len() > chosen.len() {
            self.renew_permissions(key, unit, &renewable, false, now, round);
        } else {
            self.request_new_permissions(key, unit, &plan, left, now, round);
        }
        self.preempt(key, unit, left, unix_time, now, round);
    }

    /// Returns the workers with free capacity for tasks of a unit, the preferred ones first. Tasks
    /// that may crash their worker should end as little other work as possible.
    pub(super) fn offers(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        now: BootTime,
    ) -> Vec<WorkerOffer> {
        let mut offers = Vec::new();
        let job = &self.jobs[key];
        if job.record.rules.permission.is_none() {
            let offer = |worker| self.offer(key, unit, plan, worker, now);
            offers.extend(self.workers.keys().filter_map(offer));
        } else {
            let granted = job.units[unit as usize].permissions.iter();
            let granted = granted.filter(|(_, grant)| grant.is_some());
            for worker in granted.filter_map(|(id, _)| self.worker_ids.get(id)) {
                offers.extend(self.offer(key, unit, plan, *worker, now));
            }
        }
        offers.sort_by_key(|offer| offer.rank);
        if self.has_suspects(key, unit) {
            offers.sort_by_cached_key(|&WorkerOffer { worker, .. }| {
                let young = self.has_young_run(key, worker, now);
                (young, self.work_at_risk(key, worker, now))
            });
        }
        offers
    }

    /// Returns a worker's offer for tasks of a unit, or `None` if it has no free capacity for them
    /// or may not run them.
    fn offer(
        &self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        worker: WorkerKey,
        now: BootTime,
    ) -> Option<WorkerOffer> {
        let state = &self.workers[worker];
        let usable = state.usable(now) && state.allows_start(key, now);
        if !usable || !self.is_eligible(key, plan, state) {
            return None;
        }
        let interfering = self.interfering(plan, state).next().is_some();
        if interfering && plan.best_effort {
            return None;
        }
        let free = state.free();
        let fits = self.fits(key, unit, plan, worker, &free);
        if fits == 0 {
            return None;
        }
        let permission = self.permission(key, unit, &state.info.id, now);
        let remote =
            plan.affinity.as_ref().is_some_and(|r| !state.info.labels.contains(r));
        let rank = (state.failures > 0, interfering, remote, free.cpu_millis, worker);
        let possible = !matches!(
            permission,
            PermissionState::Denied | PermissionState::NotRequested
        );
        possible.then_some(WorkerOffer { worker, fits, permission, rank })
    }

    /// Returns the tasks on a worker that would interfere with tasks of a step.
    fn interfering(
        &self,
        plan: &StepPlan,
        state: &WorkerState,
    ) -> impl Iterator<Item = TaskRef> {
        let sensitive = plan.best_effort || plan.latency_target.is_some();
        let tasks = state.tasks.iter().copied().filter(move |_| sensitive);
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
        let fits = copies_that_fit(&plan.reserved(), free);
        if plan.max_per_worker == 0 {
            return fits;
        }
        let here = self.workers[worker].tasks.iter();
        let taken = here.filter(|task| task.job == key && task.unit == unit).count();
        fits.min(plan.max_per_worker.saturating_sub(taken as u32))
    }

    /// Starts waiting tasks of a unit, one on each entry of `chosen`. The members of a gang share
    /// their run number and checkpoint.
    pub(super) fn start(
        &mut self,
        key: JobKey,
        unit: u32,
        chosen: &[WorkerKey],
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let state = &self.jobs[key].units[unit as usize];
        let mut indices: Vec<u32> = state
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, _)| index as u32)
            .collect();
        indices.sort_by_key(|&index| !state.tasks[index as usize].is_suspected());
        let gang = self.jobs[key].plan(unit).gang;
        let highest = state.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        let shared = state.tasks.iter().find_map(|task| task.checkpoint.clone());
        for (&worker, index) in chosen.iter().zip(indices) {
            let state = &self.jobs[key].units[unit as usize].tasks[index as usize];
            let last = if gang { highest } else { state.last_run };
            let checkpoint = if gang { shared.clone() } else { state.checkpoint.clone() };
            let run = last.max(self.first_run) + 1;
            let task = TaskRef { job: key, unit, index };
            if let Some(room) = &mut round.overdue_room {
                room.take(&self.jobs[key].plan(unit).reserved());
            }
            self.start_task(task, worker, run, checkpoint, now, round);
        }
    }

    /// Starts a task on a worker, and stops best-effort tasks there that would slow it down.
    fn start_task(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        run: u64,
        checkpoint: Option<Name>,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let id = &self.workers[worker].info.id;
        let ticket = match self.permission(task.job, task.unit, id, now) {
            PermissionState::Valid(ticket) => ticket,
            _ => None,
        };
        let plan = self.jobs[task.job].plan(task.unit);
        let victims: Vec<TaskRef> = match plan.latency_target {
            Some(_) => self.interfering(plan, &self.workers[worker]).collect(),
            None => Vec::new(),
        };
        // The best-effort tasks are placed again on workers without latency-sensitive tasks.
        let loss = RunLoss::single(LossCause::Displaced);
        victims.into_iter().for_each(|task| self.stop(task, loss, now));
        let phase = RunPhase::Starting;
        let placement = TaskPlacement {
            worker,
            run,
            phase,
            started_at: now,
            since: now,
            percent: 0,
            progressed: now,
            confirmed: false,
            awaiting_outcome: true,
            unanswered_at: None,
            work: RunWork::default(),
        };
        self.assign(task, placement);
        self.begin_trial(task, worker, now);
        let job = &self.jobs[task.job];
        round.starts.push(RunStart {
            worker,
            task: job.task_name(task),
            run,
            spec: job.record.request.spec.clone(),
            checkpoint,
            ticket,
        });
    }

    /// Requests the permissions for the chosen workers again, some of which have expired, and
    /// reserves the capacity for a gang if `reserve` is set. Returns whether a request was created.
    pub(super) fn renew_permissions(
        &mut self,
        key: JobKey,
        unit: u32,
        chosen: &[WorkerKey],
        reserve: bool,
        now: BootTime,
        round: &mut PlacementRound,
    ) -> bool {
        let mut names: Vec<Name> = Vec::new();
        for &worker in chosen {
            let id = &self.workers[worker].info.id;
            if !names.contains(id) {
                names.push(id.clone());
            }
        }
        let requests =
            self.request_permissions(key, unit, &names, now, &mut round.long_requests);
        let requested = !requests.is_empty();
        if reserve && requested {
            let longest = requests
                .iter()
                .map(|request| request.call_time)
                .max()
                .unwrap_or_default();
            self.reserve_capacity(key, unit, chosen, now + longest);
        }
        round.requests.extend(requests);
        requested
    }

    /// Requests permissions for workers for which none have been requested.
    fn request_new_permissions(
        &mut self,
        key: JobKey,
        unit: u32,
        plan: &StepPlan,
        needed: usize,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        let state = &job.units[unit as usize];
        let open = state.open_requests > 0 || now < state.retry_after;
        if job.record.rules.permission.is_none() || open {
            return;
        }
        let mut candidates = Vec::new();
        for (worker, state) in &self.workers {
            let usable = state.usable(now) && self.is_eligible(key, plan, state);
            if !usable
                || self.permission(key, unit, &state.info.id, now)
                    != PermissionState::NotRequested
            {
                continue;
            }
            let now_fits = self.fits(key, unit, plan, worker, &state.free());
            let ever_fits = self.fits(key, unit, plan, worker, &state.info.capacity);
            if ever_fits > 0 {
                candidates.push((worker, now_fits, ever_fits));
            }
        }
        let names = self.choose_workers_to_request(key, plan.gang, needed, candidates);
        let requests =
            self.request_permissions(key, unit, &names, now, &mut round.long_requests);
        round.requests.extend(requests);
    }
}

/// Returns how many tasks of a size fit into the given free capacity.
pub(super) fn copies_that_fit(size: &ResourceVector, free: &ResourceVector) -> u32 {
    let cpu = free.cpu_millis.checked_div(size.cpu_millis);
    let memory = free.memory_bytes.checked_div(size.memory_bytes);
    let accelerators = free.accelerators.checked_div(size.accelerators).map(u64::from);
    let least = [cpu, memory, accelerators].into_iter().flatten().min();
    least.map_or(u32::MAX, |least| u32::try_from(least).unwrap_or(u32::MAX))
}

/// Chooses workers for up to `needed` tasks from the admitted offers, the preferred ones first. A
/// worker is listed once for each task.
fn choose_workers(
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
