//! Preemption: stops less urgent tasks to free capacity for urgent tasks and gangs.
//!
//! It addresses bursts of urgent jobs and wide gangs on a full cell. Without it, backfilled tasks
//! fill each gap before a gang finds capacity for all of its tasks at once. Tasks with checkpoints
//! lose little work when they are stopped, and each task is preempted at most once.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::LossCause;
use crate::RunLoss;
use crate::SchedulerEvent;
use crate::WorkerKey;

use super::FleetScheduler;
use super::PlacementRound;
use super::free_workers::FreeWorkers;
use super::job_lateness::JobLateness;
use super::job_state::URGENT_PRIORITY;
use super::run_phase::RunPhase;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::worker_offers::copies_that_fit;

/// The progress in percent up to which a task without checkpoints may be preempted.
const PREEMPTIBLE_PERCENT: u32 = 15;
/// The minimum time between two searches for tasks to preempt for the same step. Their capacity is
/// free no sooner than their workers have responded.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum time between two searches for workers for a gang that does not fit.
const GANG_SEARCH_INTERVAL: Duration = Duration::from_millis(120);
/// The time between two such searches for each gang that stands before it or searches itself.
const SEARCH_INTERVAL_PER_GANG: Duration = Duration::from_millis(10);
/// The maximum time between two such searches, after which a gang sees what became free meanwhile.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Capacity for one task on a worker, available once the victims have stopped.
struct PreemptionOption {
    worker: WorkerKey,
    /// The processors, in thousandths of a core, of the tasks that are stopped for this option and
    /// the earlier ones on the same worker.
    cost: u64,
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
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        if !job.is_urgent()
            || now < job.units[unit as usize].next_preemption
            || job.lateness(round.unix_time) != JobLateness::InTime
            || self.has_suspects(key, unit)
        {
            return;
        }
        self.jobs[key].units[unit as usize].next_preemption = now + PREEMPTION_INTERVAL;
        let mut victims = Vec::new();
        let mut found = 0;
        let room = round.urgent_room.get_or_insert_with(|| self.urgent_room(now));
        let permitted = self.workers_with_room(key, unit, room, now);
        self.pass_tally.searched += permitted.len() as u64;
        for worker in permitted {
            if found >= needed {
                break;
            }
            let options = self.preemption_options(key, unit, worker, 1);
            found += options.len();
            victims.extend(options.into_iter().flat_map(|option| option.victims));
        }
        self.stop_victims(&victims, now);
    }

    /// Returns whether to search for workers for a gang that does not fit now and is the given one, from
    /// 1, of its priority. The search takes time, so it is not done in each pass, and less often for
    /// gangs that stand far behind.
    pub(super) fn gang_search_due(
        &mut self,
        key: JobKey,
        unit: u32,
        position: usize,
        now: BootTime,
    ) -> bool {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let interval = SEARCH_INTERVAL_PER_GANG
            .saturating_mul(position)
            .clamp(GANG_SEARCH_INTERVAL, MAX_SEARCH_INTERVAL);
        let state = &mut self.jobs[key].units[unit as usize];
        let due = state.open_requests == 0 && now >= state.next_search;
        if due {
            state.next_search = now + interval;
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
        let mut options = Vec::new();
        let permitted = self.permitted_workers(key, unit, now);
        self.pass_tally.searched += permitted.len() as u64;
        for worker in permitted {
            options.extend(self.preemption_options(key, unit, worker, needed));
        }
        if options.len() < needed {
            return;
        }
        options.sort_by_key(|option| option.cost);
        options.truncate(needed);
        let workers: Vec<WorkerKey> =
            options.iter().map(|option| option.worker).collect();
        if self.all_permitted(key, unit, &workers, now) {
            self.reserve_capacity(key, unit, &workers, now, now);
        } else if !self.renew_permissions(key, unit, &workers, true, now, round) {
            return;
        }
        let victims: Vec<TaskRef> =
            options.into_iter().flat_map(|option| option.victims).collect();
        self.stop_victims(&victims, now);
    }

    /// Returns the usable workers by what urgent tasks may use of them: what is free, being stopped or
    /// can be preempted. A pass takes more of it than it adds, so a task that doesn't fit need not be
    /// tried.
    fn urgent_room(&self, now: BootTime) -> FreeWorkers {
        let usable = self.workers.iter().filter(|(_, state)| state.usable(now));
        usable
            .map(|(worker, state)| {
                let mut released = self.stopping_usage(worker);
                for &task in &state.tasks {
                    if self.is_preemptible(task, URGENT_PRIORITY) {
                        released.add(&self.jobs[task.job].plan(task.unit).reserved());
                    }
                }
                (state.free_without(&released).cpu_millis, worker)
            })
            .collect()
    }

    /// Returns the workers with a valid or expired permission for a unit that have room for one of
    /// its tasks.
    fn workers_with_room(
        &self,
        key: JobKey,
        unit: u32,
        room: &FreeWorkers,
        now: BootTime,
    ) -> Vec<WorkerKey> {
        let job = &self.jobs[key];
        let plan = job.plan(unit);
        let permissions = &job.units[unit as usize].permissions;
        let open = job.record.rules.permission.is_none();
        let mut workers: Vec<WorkerKey> = room
            .with_room(plan.reserved().cpu_millis)
            .filter(|&worker| open || permissions.find(worker).is_some())
            .filter(|&worker| {
                let state = &self.workers[worker];
                state.usable(now) && self.is_eligible(key, plan, state)
            })
            .collect();
        workers.sort_unstable();
        workers
    }

    /// Returns the usable workers with a valid or expired permission for a unit.
    fn permitted_workers(&self, key: JobKey, unit: u32, now: BootTime) -> Vec<WorkerKey> {
        let plan = self.jobs[key].plan(unit);
        let mut permitted = self.granted_workers(key, unit);
        permitted.retain(|&worker| {
            let state = &self.workers[worker];
            state.usable(now) && self.is_eligible(key, plan, state)
        });
        permitted
    }

    /// Returns up to `limit` options for tasks of a unit on a worker, the cheapest first.
    fn preemption_options(
        &self,
        key: JobKey,
        unit: u32,
        worker: WorkerKey,
        limit: usize,
    ) -> Vec<PreemptionOption> {
        let job = &self.jobs[key];
        let plan = job.plan(unit);
        let size = plan.reserved();
        let state = &self.workers[worker];
        let empty = self.fits(key, unit, plan, worker, &state.info.capacity) as usize;
        let limit = limit.min(empty);
        let priority = job.record.rules.priority;
        let mut candidates: Option<Vec<TaskRef>> = None;
        let mut released = self.stopping_usage(worker);
        let mut taken = ResourceVector::default();
        let mut options: Vec<PreemptionOption> = Vec::new();
        let mut cost = 0;
        let mut victims = Vec::new();
        while options.len() < limit {
            let free = state.free_without(&released).minus(&taken);
            if copies_that_fit(&size, &free) > 0 {
                taken.add(&size);
                let victims = std::mem::take(&mut victims);
                options.push(PreemptionOption { worker, cost, victims });
                continue;
            }
            let candidates = candidates
                .get_or_insert_with(|| self.preemption_candidates(worker, priority));
            let Some(task) = candidates.pop() else { break };
            let freed = self.jobs[task.job].plan(task.unit).reserved();
            released.add(&freed);
            cost += freed.cpu_millis;
            victims.push(task);
        }
        options
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

    /// Returns the tasks of a worker that a job of the given priority may preempt, the least urgent
    /// and newest last.
    fn preemption_candidates(&self, worker: WorkerKey, priority: u32) -> Vec<TaskRef> {
        let tasks = self.workers[worker].tasks.iter().copied();
        let mut candidates: Vec<TaskRef> =
            tasks.filter(|&task| self.is_preemptible(task, priority)).collect();
        candidates.sort_by_key(|task| {
            let job = &self.jobs[task.job];
            (job.record.rules.priority, job.serial)
        });
        candidates
    }

    /// Returns whether a job of the given priority may preempt a task.
    fn is_preemptible(&self, task: TaskRef, priority: u32) -> bool {
        let job = &self.jobs[task.job];
        let plan = job.plan(task.unit);
        let Some(placement) = self.placement_of(task) else { return false };
        let state = &job.units[task.unit as usize].tasks[task.index as usize];
        let restartable =
            priority == URGENT_PRIORITY && placement.percent <= PREEMPTIBLE_PERCENT;
        job.record.rules.priority > priority
            && placement.phase == RunPhase::Running
            && !plan.gang
            && !plan.long_running
            && !state.preempted
            && (plan.saves_progress || restartable)
    }

    /// Stops the chosen tasks and marks them as preempted.
    fn stop_victims(&mut self, victims: &[TaskRef], now: BootTime) {
        for &task in victims {
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
