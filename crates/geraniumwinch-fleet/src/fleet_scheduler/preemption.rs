//! Preemption: stops less urgent tasks to free capacity for urgent tasks and gangs.
//!
//! It addresses bursts of urgent jobs and wide gangs on a full cell. Without it, backfilled tasks
//! fill each gap before a gang finds capacity for all of its tasks at once. The tasks that lose the
//! least work are stopped, no more of them than needed, and each task at most once.

use std::cmp::Reverse;
use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::LossCause;
use crate::RunLoss;
use crate::SchedulerEvent;
use crate::WorkerKey;
use crate::lost_work::core_seconds;

use super::FleetScheduler;
use super::PlacementRound;
use super::job_state::JobKey;
use super::job_state::JobLateness;
use super::job_state::JobState;
use super::job_state::RunPhase;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;
use super::permissions::PermissionState;
use super::placement::copies_that_fit;

/// The progress in percent up to which a task without checkpoints may be preempted.
const PREEMPTIBLE_PERCENT: u32 = 15;
/// The minimum time between two searches for workers for a gang that does not fit.
const GANG_SEARCH_INTERVAL: Duration = Duration::from_millis(120);
/// The time that it takes to stop a task. A task that is done within it is not preempted, and an
/// urgent job that has no more time than that to wait preempts others whatever they lose.
const STOP_TIME: Duration = Duration::from_millis(500);
/// The unsaved time of a task whose work is not worth sparing.
const CHEAP_LOSS: Duration = Duration::from_millis(250);
/// The maximum number of searches of urgent jobs for tasks to preempt in one placement pass. The
/// jobs behind them are served by later passes.
const MAX_SEARCHES: usize = 16;
/// The step of unsaved time within which tasks are preempted by account and priority.
const LOSS_STEP: Duration = Duration::from_millis(250);

/// Capacity for one task on a worker, available once the victims have stopped.
struct PreemptionOption {
    worker: WorkerKey,
    /// The work that is lost with the victims of this option, in core-seconds.
    loss: f64,
    /// The work that is lost for this option and the earlier ones on the same worker.
    total_loss: f64,
    victims: Vec<TaskRef>,
}

impl FleetScheduler {
    /// Stops less urgent tasks on permitted workers so that `needed` tasks of a unit fit.
    ///
    /// Only jobs of the most urgent priority that can still meet their objective preempt others, and
    /// not for tasks that may crash their worker.
    pub(super) fn preempt(
        &mut self,
        key: JobKey,
        unit: u32,
        needed: usize,
        unix_time: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        let pressed = is_pressed(job, unix_time);
        if job.record.rules.priority != 0
            || job.lateness(unix_time) != JobLateness::InTime
            || self.has_suspects(key, unit)
            || (job.units[unit as usize].open_requests > 0 && !pressed)
            || round.preemption_searches == MAX_SEARCHES
        {
            return;
        }
        round.preemption_searches += 1;
        let size = job.plan(unit).reserved();
        let mut options = self.all_options(key, unit, needed, now, round);
        options.truncate(needed);
        if !pressed {
            self.keep_affordable(&mut options, &size, now);
        }
        self.keep_permitted(key, unit, &mut options, now, round);
        for option in options {
            round.promised.entry(option.worker).or_default().add(&size);
            self.stop_victims(&option.victims, now);
        }
    }

    /// Drops the options, the cheapest of which come first, that the budget does not allow.
    fn keep_affordable(
        &self,
        options: &mut Vec<PreemptionOption>,
        size: &ResourceVector,
        now: BootTime,
    ) {
        let cheap = core_seconds(size.cpu_millis, CHEAP_LOSS);
        let mut left = self.preemption_budget.left(now);
        let affordable = options.iter().take_while(|option| {
            left -= option.loss;
            left >= 0.0 || option.loss <= cheap
        });
        options.truncate(affordable.count());
    }

    /// Renews the permissions of the chosen workers that have expired, and drops the options that
    /// remain without one: others would take the capacity before it can be used.
    fn keep_permitted(
        &mut self,
        key: JobKey,
        unit: u32,
        options: &mut Vec<PreemptionOption>,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let mut expired: Vec<WorkerKey> = options.iter().map(|o| o.worker).collect();
        expired.retain(|&worker| !self.all_permitted(key, unit, &[worker], now));
        let renewed = !expired.is_empty()
            && self.renew_permissions(key, unit, &expired, false, now, round);
        if !renewed {
            options.retain(|option| !expired.contains(&option.worker));
        }
    }

    /// Returns whether to search for workers for a gang that does not fit now. The search takes
    /// time, so it is not done in each pass.
    pub(super) fn gang_search_due(
        &mut self,
        key: JobKey,
        unit: u32,
        now: BootTime,
    ) -> bool {
        let state = &mut self.jobs[key].units[unit as usize];
        let due = state.open_requests == 0 && now >= state.next_search;
        if due {
            state.next_search = now + GANG_SEARCH_INTERVAL;
        }
        due
    }

    /// Stops less urgent tasks so that a whole gang fits, and reserves the capacity.
    ///
    /// Nothing is stopped unless the gang can still meet its objective and would fit as a whole,
    /// since work that is preempted for nothing is lost.
    pub(super) fn preempt_for_gang(
        &mut self,
        key: JobKey,
        unit: u32,
        needed: usize,
        unix_time: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        if job.units[unit as usize].open_requests > 0
            || job.lateness(unix_time) != JobLateness::InTime
            || self.has_suspects(key, unit)
        {
            return;
        }
        let pressed = job.record.rules.priority == 0 && is_pressed(job, unix_time);
        let size = job.plan(unit).reserved();
        let mut options = self.all_options(key, unit, needed, now, round);
        options.truncate(needed);
        if !pressed {
            self.keep_affordable(&mut options, &size, now);
        }
        if options.len() < needed {
            return;
        }
        let workers: Vec<WorkerKey> =
            options.iter().map(|option| option.worker).collect();
        if self.all_permitted(key, unit, &workers, now) {
            self.reserve_capacity(key, unit, &workers, now);
        } else if !self.renew_permissions(key, unit, &workers, true, now, round) {
            return;
        }
        let victims: Vec<TaskRef> =
            options.into_iter().flat_map(|option| option.victims).collect();
        self.stop_victims(&victims, now);
    }

    /// Returns the options for tasks of a unit on its permitted workers, the cheapest first. The
    /// search for single tasks ends once enough of the options lose next to nothing.
    fn all_options(
        &self,
        key: JobKey,
        unit: u32,
        needed: usize,
        now: BootTime,
        round: &PlacementRound,
    ) -> Vec<PreemptionOption> {
        let plan = self.jobs[key].plan(unit);
        let cheap_loss = core_seconds(plan.reserved().cpu_millis, CHEAP_LOSS);
        let mut options: Vec<PreemptionOption> = Vec::new();
        let mut cheap = 0;
        for worker in self.permitted_workers(key, unit, now) {
            if cheap >= needed && !plan.gang {
                break;
            }
            let promised = round.promised.get(&worker).copied().unwrap_or_default();
            let found = self.preemption_options(key, unit, worker, needed, promised, now);
            cheap += found.iter().filter(|o| o.total_loss <= cheap_loss).count();
            options.extend(found);
        }
        options.sort_by(|a, b| a.total_loss.total_cmp(&b.total_loss));
        options
    }

    /// Returns the usable workers with a valid or expired permission for a unit.
    fn permitted_workers(&self, key: JobKey, unit: u32, now: BootTime) -> Vec<WorkerKey> {
        let plan = self.jobs[key].plan(unit);
        let mut permitted = Vec::new();
        for (worker, state) in &self.workers {
            let permission = self.permission(key, unit, &state.info.id, now);
            let granted = matches!(
                permission,
                PermissionState::Valid(_) | PermissionState::Expired
            );
            if granted && state.usable(now) && self.is_eligible(key, plan, state) {
                permitted.push(worker);
            }
        }
        permitted
    }

    /// Returns up to `limit` options for tasks of a unit on a worker, the cheapest first. Capacity
    /// that is promised to other jobs is left to them.
    fn preemption_options(
        &self,
        key: JobKey,
        unit: u32,
        worker: WorkerKey,
        limit: usize,
        promised: ResourceVector,
        now: BootTime,
    ) -> Vec<PreemptionOption> {
        let job = &self.jobs[key];
        let plan = job.plan(unit);
        let size = plan.reserved();
        let state = &self.workers[worker];
        let empty = self.fits(key, unit, plan, worker, &state.info.capacity) as usize;
        let limit = limit.min(empty);
        let mut candidates =
            self.preemption_candidates(worker, job.record.rules.priority, now);
        let mut released = self.stopping_usage(worker);
        let mut taken = promised;
        let mut options: Vec<PreemptionOption> = Vec::new();
        let mut total_loss = 0.0;
        let mut victims = Vec::new();
        while options.len() < limit {
            let free = state.free_without(&released).minus(&taken);
            if copies_that_fit(&size, &free) > 0 {
                let spared = self.spare_victims(&mut victims, &size, &free);
                for &task in &spared {
                    released.subtract(&self.reserved(task));
                }
                candidates.extend(spared);
                taken.add(&size);
                let victims = std::mem::take(&mut victims);
                let loss = victims.iter().map(|&task| self.unsaved_work(task, now)).sum();
                total_loss += loss;
                options.push(PreemptionOption { worker, loss, total_loss, victims });
                continue;
            }
            let Some(task) = candidates.pop() else { break };
            released.add(&self.reserved(task));
            victims.push(task);
        }
        options
    }

    /// Removes the victims that need not be stopped for a task of the given size to fit into the
    /// free capacity, and returns them. The last ones, which lose the most, are tried first.
    fn spare_victims(
        &self,
        victims: &mut Vec<TaskRef>,
        size: &ResourceVector,
        free: &ResourceVector,
    ) -> Vec<TaskRef> {
        let mut spared = Vec::new();
        let mut free = *free;
        for index in (0..victims.len()).rev() {
            let without = free.minus(&self.reserved(victims[index]));
            if size.fits(&without) {
                free = without;
                spared.push(victims.remove(index));
            }
        }
        spared
    }

    /// Returns the resources reserved for a task.
    fn reserved(&self, task: TaskRef) -> ResourceVector {
        self.jobs[task.job].plan(task.unit).reserved()
    }

    /// Returns the work that is lost if a task is stopped now, in core-seconds.
    fn unsaved_work(&self, task: TaskRef, now: BootTime) -> f64 {
        let unsaved = self.placement_of(task).map(|placement| placement.unsaved(now));
        core_seconds(self.reserved(task).cpu_millis, unsaved.unwrap_or_default())
    }

    /// Returns the resources reserved by a worker's tasks that are being stopped.
    fn stopping_usage(&self, worker: WorkerKey) -> ResourceVector {
        let mut size = ResourceVector::default();
        for &task in &self.workers[worker].tasks {
            let stopping = self.placement_of(task).is_some_and(|placement| {
                matches!(placement.phase, RunPhase::Stopping(_))
            });
            if stopping {
                size.add(&self.jobs[task.job].plan(task.unit).reserved());
            }
        }
        size
    }

    /// Returns the tasks of a worker that a job of the given priority may preempt, those that lose
    /// the least last. Among equals these are the tasks of the account that is the most above its
    /// share, then the least urgent and newest ones.
    fn preemption_candidates(
        &self,
        worker: WorkerKey,
        priority: u32,
        now: BootTime,
    ) -> Vec<TaskRef> {
        let tasks = self.workers[worker].tasks.iter().copied();
        let mut candidates: Vec<TaskRef> =
            tasks.filter(|&task| self.is_preemptible(task, priority, now)).collect();
        candidates.sort_by_cached_key(|&task| {
            let job = &self.jobs[task.job];
            let unsaved = self.placement_of(task).map(|placement| placement.unsaved(now));
            let steps = unsaved.unwrap_or_default().as_millis() / LOSS_STEP.as_millis();
            let rank = self.account_ranks.rank(&job.record.account);
            (Reverse(steps), rank, job.record.rules.priority, job.serial)
        });
        candidates
    }

    /// Returns whether a job of the given priority may preempt a task.
    fn is_preemptible(&self, task: TaskRef, priority: u32, now: BootTime) -> bool {
        let job = &self.jobs[task.job];
        let plan = job.plan(task.unit);
        let Some(placement) = self.placement_of(task) else { return false };
        let state = &job.units[task.unit as usize].tasks[task.index as usize];
        let restartable = priority == 0 && placement.percent <= PREEMPTIBLE_PERCENT;
        job.record.rules.priority > priority
            && placement.phase == RunPhase::Running
            && !plan.gang
            && !plan.long_running
            && !state.preempted
            && (plan.saves_progress || restartable)
            && !ends_soon(placement, plan.estimate, now)
    }

    /// Stops the chosen tasks and marks them as preempted.
    fn stop_victims(&mut self, victims: &[TaskRef], now: BootTime) {
        for &task in victims {
            self.preemption_budget.add_preempted(self.unsaved_work(task, now), now);
            let Some(&placement) = self.placement_of(task) else { continue };
            self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
                .preempted = true;
            self.events.push(SchedulerEvent::Preempted {
                task: self.jobs[task.job].task_name(task),
                run: placement.run,
                worker: self.workers[placement.worker].info.id.clone(),
            });
            self.stop(task, RunLoss::single(LossCause::Preempted), now);
        }
    }
}

/// Returns whether a job would miss its objective if it waited any longer than the stop of other
/// tasks takes.
fn is_pressed(job: &JobState, unix_time: Duration) -> bool {
    unix_time + job.critical_path + STOP_TIME > job.objective
}

/// Returns whether a run is expected to be done by the time that it could be stopped. Its progress
/// shows its pace unless it is young or began with a checkpoint.
fn ends_soon(placement: &TaskPlacement, estimate: Duration, now: BootTime) -> bool {
    let age = now.saturating_sub(placement.started_at);
    let (percent, left) = (placement.percent, 100u32.saturating_sub(placement.percent));
    let remaining = if percent == 0 {
        return false;
    } else if placement.work.resumed || age < STOP_TIME {
        estimate * left / 100
    } else {
        age * left / percent
    };
    remaining <= STOP_TIME
}
