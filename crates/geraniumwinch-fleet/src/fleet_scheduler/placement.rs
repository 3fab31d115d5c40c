//! Placement of waiting tasks on workers.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::CallBudget;
use crate::LossCause;
use crate::PermissionRequest;
use crate::RunLoss;
use crate::RunStart;
use crate::StepPlan;
use crate::WorkerKey;
use crate::run_command::is_long_call;

use super::FleetScheduler;
use super::free_workers::FreeWorkers;
use super::job_lateness::JobLateness;
use super::overdue_jobs::OverdueRoom;
use super::permission_table::WorkerGrant;
use super::permissions::PermissionState;
use super::permissions::REQUEST_MAX;
use super::permissions::REQUEST_MIN;
use super::run_phase::RunPhase;
use super::run_work::RunWork;
use super::start_copies::StartCopies;
use super::task_placement::TaskPlacement;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::worker_offers::WorkerOffer;
use super::worker_offers::choose_workers;

/// The time after which workers to request permission for are chosen again if there were none.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The start commands and permission requests of one placement pass.
#[derive(Debug, Default)]
pub struct PlacementRound {
    /// The tasks to start.
    pub starts: Vec<RunStart>,
    /// The requests to the permission service.
    pub requests: Vec<PermissionRequest>,
    /// The requests that may still be sent.
    pub(super) calls: CallBudget,
    /// The time since the Unix epoch.
    pub(super) unix_time: Duration,
    /// The number of gangs that look for capacity, by priority, so far in the order of placement.
    pub(super) searching_gangs: BTreeMap<u32, usize>,
    /// What overdue jobs may still take; `None` before the first of them.
    pub(super) overdue_room: Option<OverdueRoom>,
    /// The accounts whose requests could not be sent in this pass, by priority and whether the calls
    /// are long.
    pub(super) turned_away: HashSet<(Name, u32, bool)>,
    /// The usable workers with free processors, those with the most first; `None` before the first
    /// search for them.
    pub(super) free_workers: Option<FreeWorkers>,
    /// What urgent tasks may use of each worker if they preempt others; `None` before the first
    /// search for it.
    pub(super) urgent_room: Option<FreeWorkers>,
}

impl FleetScheduler {
    /// Places waiting tasks.
    ///
    /// `unix_time` is the time since the Unix epoch, and `calls` is the capacity for calls to the
    /// permission service.
    pub fn place(
        &mut self,
        unix_time: Duration,
        now: BootTime,
        calls: impl Into<CallBudget>,
    ) -> PlacementRound {
        let calls = calls.into();
        let mut round = PlacementRound { calls, unix_time, ..PlacementRound::default() };
        self.begin_permission_pass(now);
        self.collect_orphaned_tasks(now);
        let unreported = self.unreported_runs(now);
        let usage = self.unreported_usage(&unreported, unix_time, now);
        self.accounts.set_unreported(usage);
        self.backoff.begin_pass();
        for key in self.jobs_by_priority(unix_time) {
            if self.may_run_unreported(key, &unreported, now) {
                continue;
            }
            for unit in self.jobs[key].open_units(unix_time) {
                if !self.due(key, unit, unix_time) {
                    continue;
                }
                if self.start_reserved(key, unit, now, &mut round) {
                    self.update_waits(key, unit, now);
                } else {
                    self.attempt_unit(key, unit, unix_time, now, &mut round);
                }
            }
        }
        round
    }

    /// Returns the jobs with waiting tasks by priority, and the overdue jobs of all priorities at
    /// the end. Within a priority, those that can still meet their objective come first.
    fn jobs_by_priority(&self, unix_time: Duration) -> Vec<JobKey> {
        let waiting =
            self.open_jobs.iter().filter(|(.., key)| self.jobs[*key].has_waiting_tasks());
        let mut open: Vec<(bool, u32, JobLateness, u64, JobKey)> = waiting
            .map(|&(priority, serial, key)| {
                let lateness = self.jobs[key].lateness(unix_time);
                let overdue = self.is_overdue(key, unix_time);
                (overdue, priority, lateness, serial, key)
            })
            .collect();
        open.sort_unstable();
        open.into_iter().map(|(.., key)| key).collect()
    }

    /// Returns whether a unit has waiting tasks, is due by its schedule, and has all of its
    /// dependencies done.
    pub(super) fn due(&self, key: JobKey, unit: u32, unix_time: Duration) -> bool {
        let job = &self.jobs[key];
        let state = &job.units[unit as usize];
        state.waiting > 0
            && job.record.request.is_due(job.occurrence(unit), unix_time)
            && job.ready(unit)
    }

    /// Places tasks of a unit, unless an earlier attempt got nothing too recently.
    fn attempt_unit(
        &mut self,
        key: JobKey,
        unit: u32,
        unix_time: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        self.pass_tally.visited += 1;
        if !self.is_overdue(key, unix_time) {
            self.backoff.count_unit();
        } else if round.overdue_room.is_some_and(|room| room.is_used_up()) {
            return;
        }
        let state = &self.jobs[key].units[unit as usize];
        if now < state.next_attempt {
            return;
        }
        let waiting = state.waiting;
        self.pass_tally.attempted += 1;
        self.place_unit(key, unit, unix_time, now, round);
        let delay = self.backoff.delay();
        let urgent = self.jobs[key].is_urgent();
        let state = &mut self.jobs[key].units[unit as usize];
        if state.waiting == waiting && !urgent {
            state.next_attempt = now + delay;
        }
        self.update_waits(key, unit, now);
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
        let waiting = self.startable_tasks(key, unit, now);
        let quota = self.accounts.allows(&job.record.account, &plan.reserved());
        let mut needed = waiting.min(usize::try_from(quota).unwrap_or(usize::MAX));
        needed = needed.min(self.placeable_tasks(job.record.rules.priority));
        if self.is_overdue(key, unix_time) {
            needed = self.overdue_copies(&plan, needed, now, round);
        }
        let partial = plan.gang && (waiting < plan.tasks as usize || needed < waiting);
        if needed == 0 || partial || self.awaits_crash_record(key, unit, now) {
            return;
        }
        let pinned = self.pinned_tasks(key, unit);
        if !pinned.is_empty() && !plan.gang {
            needed = self.start_pinned(key, unit, &pinned, needed, now, round);
            if needed == 0 {
                return;
            }
        }
        let free = round.free_workers.get_or_insert_with(|| self.free_workers(now));
        let (mut offers, searched) = self.offers(key, unit, &plan, free, now);
        self.pass_tally.searched += searched as u64;
        let simple = !plan.gang && !plan.same_rack && !self.has_suspects(key, unit);
        if simple && !self.may_request(key, unit, now, round) {
            offers.retain(|offer| offer.permission == PermissionState::Valid);
        }
        self.rank_by_speed(key, unit, needed, &mut offers);
        self.avoid_endangered_runs(key, unit, &mut offers, now);
        if plan.same_rack {
            self.sort_by_rack(key, unit, needed, &mut offers);
        }
        let valid = |offer: &WorkerOffer| offer.permission == PermissionState::Valid;
        if plan.gang && !pinned.is_empty() {
            offers.retain(valid);
            self.start_pinned_gang(key, unit, &pinned, offers, now, round);
            return;
        }
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
                return;
            }
            let priority = self.jobs[key].record.rules.priority;
            let position = round.searching_gangs.entry(priority).or_default();
            *position += 1;
            if self.gang_search_due(key, unit, *position, now) {
                if !self.fits_after_preemption(key, unit, needed, now) {
                    self.request_new_permissions(key, unit, &plan, needed, now, round);
                }
                self.preempt_for_gang(key, unit, needed, unix_time, now, round);
            }
            return;
        }
        self.start(key, unit, &chosen, now, round);
        let left = needed - chosen.len();
        let renewed = renewable.len() > chosen.len()
            && self.renew_permissions(key, unit, &renewable, false, now, round);
        if !renewed {
            self.request_new_permissions(key, unit, &plan, left, now, round);
        }
        self.preempt(key, unit, left, now, round);
    }

    /// Returns the number of a unit's waiting tasks that may start now. Those of a long-running step may
    /// be delayed.
    pub(super) fn startable_tasks(&self, key: JobKey, unit: u32, now: BootTime) -> usize {
        let job = &self.jobs[key];
        let state = &job.units[unit as usize];
        if !job.plan(unit).long_running {
            return state.waiting as usize;
        }
        state.tasks.count_startable(now)
    }

    /// Starts waiting tasks of a unit that are not pinned, one on each entry of `chosen`.
    pub(super) fn start(
        &mut self,
        key: JobKey,
        unit: u32,
        chosen: &[WorkerKey],
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let pinned = self.pinned_tasks(key, unit);
        let is_pinned = |index: u32| pinned.iter().any(|task| task.index == index);
        let tasks = &self.jobs[key].units[unit as usize].tasks;
        let is_suspected = |index: &u32| tasks[*index as usize].is_suspected();
        let touched = tasks.touched().filter(|(_, task)| task.is_startable(now));
        let suspects = touched.map(|(index, _)| index).filter(is_suspected);
        let others = tasks.startable(now).filter(|index| !is_suspected(index));
        let indices = suspects.chain(others).filter(|&index| !is_pinned(index));
        let starts: Vec<(u32, WorkerKey)> = indices.zip(chosen.iter().copied()).collect();
        // A gang starts as a whole or not at all.
        if self.jobs[key].plan(unit).gang && starts.len() < chosen.len() {
            return;
        }
        self.start_on(key, unit, &starts, now, round);
    }

    /// Starts the chosen tasks of a unit, each on a worker. The members of a gang share their run
    /// number and checkpoint.
    pub(super) fn start_on(
        &mut self,
        key: JobKey,
        unit: u32,
        chosen: &[(u32, WorkerKey)],
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        self.tally_starts(key, chosen.len(), round.unix_time);
        let state = &self.jobs[key].units[unit as usize];
        let gang = self.jobs[key].plan(unit).gang;
        let tasks = || state.tasks.touched().map(|(_, task)| task);
        let highest = tasks().map(|task| task.last_run).max().unwrap_or(0);
        let shared = tasks().find_map(|task| task.checkpoint.clone());
        for &(index, worker) in chosen {
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

    /// Counts tasks that are started, by the lateness of their job.
    fn tally_starts(&mut self, key: JobKey, tasks: usize, unix_time: Duration) {
        let count = match self.jobs[key].lateness(unix_time) {
            JobLateness::InTime => &mut self.pass_tally.in_time,
            JobLateness::Late => &mut self.pass_tally.late,
            JobLateness::Overdue => &mut self.pass_tally.overdue,
        };
        *count += tasks as u64;
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
        let job = &self.jobs[task.job];
        let validity = job.record.rules.permission.map(|cost| cost.validity);
        let grant = job.units[task.unit as usize].permissions.find(worker);
        let grant = grant.filter(|grant| validity.is_some() && grant.until > now);
        let ticket = grant.map(WorkerGrant::start_ticket);
        if ticket.is_some() {
            let id = &self.workers[worker].info.id;
            self.permission_ledger.record_use(task.job, task.unit, id);
        }
        let plan = job.plan(task.unit);
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
            copies: StartCopies::pending(validity.filter(|_| ticket.is_some())),
            whole: checkpoint.is_none(),
            expected: self.expected_run(task, worker),
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
        for worker in self.choose_workers_to_renew(key, unit, chosen, reserve, round) {
            let id = &self.workers[worker].info.id;
            if !names.contains(id) {
                names.push(id.clone());
            }
        }
        let requests = self.request_permissions(key, unit, &names, now, round);
        let requested = !requests.is_empty();
        if reserve && requested {
            let longest = requests
                .iter()
                .map(|request| request.call_time)
                .max()
                .unwrap_or_default();
            self.reserve_capacity(key, unit, chosen, now, now + longest);
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
        let Some(cost) = job.record.rules.permission else { return };
        let exhausted = state.requested_all == self.added_workers;
        if !state.may_request(now) || exhausted || now < state.next_request {
            return;
        }
        let call_time = cost.call_time(REQUEST_MIN);
        let longest = cost.call_time(REQUEST_MAX);
        if round.calls.is_used_up(call_time) && round.calls.is_used_up(longest) {
            self.turn_away(key, unit, call_time, now, round);
            return;
        }
        let most = self.request_size(key, plan.gang, needed, round).most();
        let class = (
            job.record.account.clone(),
            job.record.rules.priority,
            is_long_call(cost.call_time(most)),
        );
        if round.turned_away.contains(&class) {
            return;
        }
        self.pass_tally.searched += self.workers.len() as u64;
        let mut candidates = Vec::new();
        let mut requested_all = true;
        for (worker, state) in &self.workers {
            if self.jobs[key].units[unit as usize].permissions.is_requested(worker) {
                continue;
            }
            requested_all = false;
            if !state.usable(now) || !self.is_eligible(key, plan, state) {
                continue;
            }
            let now_fits = self.fits_for_request(key, unit, plan, worker, round);
            let ever_fits = self.fits(key, unit, plan, worker, &state.info.capacity);
            if ever_fits > 0 {
                candidates.push((worker, now_fits, ever_fits));
            }
        }
        if candidates.is_empty() {
            let state = &mut self.jobs[key].units[unit as usize];
            state.next_request = now + REQUEST_INTERVAL;
            if requested_all {
                state.requested_all = self.added_workers;
            }
            return;
        }
        let names =
            self.choose_workers_to_request(key, plan.gang, needed, candidates, round);
        let requests = self.request_permissions(key, unit, &names, now, round);
        if requests.is_empty() && !names.is_empty() {
            round.turned_away.insert(class);
        }
        round.requests.extend(requests);
    }
}
