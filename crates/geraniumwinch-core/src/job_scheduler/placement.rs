//! The placement of waiting tasks on workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use crate::JobKind;
use crate::Name;
use crate::ResourceVector;
use crate::TaskId;
use crate::TeamKey;
use crate::TeamLedger;
use crate::WorkerKey;

use super::JobScheduler;
use super::LEASE_MARGIN;
use super::START_EXPIRY;
use super::SchedulerCommand;
use super::job_state::JobKey;
use super::job_state::TaskPhase;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;
use super::job_state::TaskState;

/// The number of jobs at the head of a team's queue that a pass considers, so that jobs which do not
/// fit do not block the ones behind them.
const BACKFILL_DEPTH: usize = 8;
/// The maximum interval between two passes.
///
/// A pass is due even without a known change, since allowances may have changed and quarantines may
/// have ended.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

/// The number of workers in the domain for each one that may be reserved for a team with a low share.
const WORKERS_PER_RESERVATION: usize = 25;

/// The state of one placement pass.
#[derive(Debug, Default)]
struct PlacementPass {
    /// The smallest task sizes that did not fit on any worker.
    too_large: Vec<ResourceVector>,
    /// The workers reserved for teams whose turn it is but whose next task fits nowhere.
    reserved: Vec<WorkerKey>,
}

impl PlacementPass {
    /// Returns whether a task of this size can't fit, since one at most as large did not.
    fn is_too_large(&self, size: &ResourceVector) -> bool {
        self.too_large.iter().any(|failed| failed.fits(size))
    }

    /// Adds a size that did not fit, and removes the larger ones that it covers.
    fn add_too_large(&mut self, size: ResourceVector) {
        self.too_large.retain(|failed| !size.fits(failed));
        self.too_large.push(size);
    }
}

impl JobScheduler {
    /// Starts the waiting tasks that fit.
    ///
    /// Urgent jobs go first; among the teams, the one with the lowest weighted dominant share does.
    /// In an evacuated domain, nothing starts.
    pub fn place(&mut self, ledger: &mut TeamLedger, now: Instant) {
        if self.evacuated {
            return;
        }
        let due = self.last_pass.is_none_or(|last| now - last >= PASS_INTERVAL);
        if !self.dirty && !due {
            return;
        }
        self.dirty = false;
        self.last_pass = Some(now);
        let mut pass = PlacementPass::default();
        for urgent in [true, false] {
            self.place_class(urgent, &mut pass, ledger, now);
        }
    }

    /// Starts the tasks that fit among either the urgent or the other jobs.
    fn place_class(
        &mut self,
        urgent: bool,
        pass: &mut PlacementPass,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let total = self.workers.total();
        let mut ranks: BinaryHeap<Reverse<(u64, TeamKey)>> = BinaryHeap::new();
        for (team, queue) in &mut self.queues {
            if !queue.by_urgency(urgent).is_empty() {
                ranks.push(Reverse((rank(ledger, team, &total), team)));
            }
        }
        let max_reserved = self.workers.iter().count() / WORKERS_PER_RESERVATION;
        while let Some(Reverse((_, team))) = ranks.pop() {
            if self.place_next(team, urgent, pass, ledger, now) {
                ranks.push(Reverse((rank(ledger, team, &total), team)));
            } else if !urgent && pass.reserved.len() < max_reserved {
                self.reserve_worker(team, pass, ledger, now);
            }
        }
    }

    /// Reserves the free resources of a worker for the next task of a team.
    ///
    /// Without the reservation, smaller tasks of other teams would fill every gap before one becomes
    /// large enough.
    fn reserve_worker(
        &self,
        team: TeamKey,
        pass: &mut PlacementPass,
        ledger: &TeamLedger,
        now: Instant,
    ) {
        let queue = self.queues.get(team);
        let Some(&key) = queue.and_then(|queue| queue.normal.front()) else { return };
        let Some(job) = self.jobs.get(key).filter(|job| !job.pending.is_empty()) else {
            return;
        };
        if job.spec.kind == JobKind::Gang || !ledger.allows(team, 1) {
            return;
        }
        let nearest = self.workers.nearest_fit(&job.spec.size, &pass.reserved, now);
        pass.reserved.extend(nearest);
    }

    /// Places one task or gang of a team, and returns whether anything was placed.
    fn place_next(
        &mut self,
        team: TeamKey,
        urgent: bool,
        pass: &mut PlacementPass,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let mut position = 0;
        while position < BACKFILL_DEPTH {
            let Some(queue) = self.queues.get_mut(team) else { return false };
            let Some(&key) = queue.by_urgency(urgent).get(position) else { return false };
            let waits = self.jobs.get(key).is_some_and(|job| !job.pending.is_empty());
            if !waits {
                queue.by_urgency(urgent).remove(position);
                if let Some(job) = self.jobs.get_mut(key) {
                    job.queued = false;
                }
                continue;
            }
            if self.place_job(key, pass, ledger, now) {
                return true;
            }
            position += 1;
        }
        false
    }

    /// Places the next task of a job, or a whole gang, and returns whether anything was placed.
    ///
    /// A task of an urgent job that fits nowhere is placed by preemption if possible.
    fn place_job(
        &mut self,
        key: JobKey,
        pass: &mut PlacementPass,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let job = &self.jobs[key];
        let size = job.spec.size;
        let count = match job.spec.kind {
            JobKind::Gang => job.pending.len() as u32,
            JobKind::Batch | JobKind::Service => 1,
        };
        if !ledger.allows(job.team, count) {
            return false;
        }
        if pass.is_too_large(&size) {
            return job.spec.urgent && count == 1 && self.preempt_for(key, ledger, now);
        }
        let mut placed = Vec::new();
        for _ in 0..count {
            let Some(worker) = self.choose_worker(key, &pass.reserved, now) else {
                break;
            };
            let index =
                self.jobs[key].pending.pop_front().expect("the job has waiting tasks");
            let task = (key, index);
            self.book_task(task, worker, TaskPhase::Starting, ledger, now);
            placed.push(task);
        }
        if placed.len() == count as usize {
            placed.into_iter().for_each(|task| self.send_start(task, now));
            return true;
        }
        for task in placed.into_iter().rev() {
            self.unplace(task, ledger);
            self.jobs[key].pending.push_front(task.1);
        }
        if count == 1 {
            pass.add_too_large(size);
        }
        let job = &self.jobs[key];
        job.spec.urgent && count == 1 && self.preempt_for(key, ledger, now)
    }

    /// Selects a worker for the next task of a job.
    ///
    /// The tasks of a service are spread over racks; other jobs avoid workers on which their tasks
    /// have failed or that have refused them.
    fn choose_worker(
        &self,
        key: JobKey,
        reserved: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        if job.spec.kind == JobKind::Service {
            return self.spread_fit(key, reserved, now);
        }
        let best = self.workers.best_fit(&job.spec.size, reserved, now)?;
        if !job.avoids(best) {
            return Some(best);
        }
        let fitting = |worker: WorkerKey| {
            let state = self.workers.get(worker)?;
            let free = state.spec.capacity.minus(&state.booked);
            (state.takes_work(now) && job.spec.size.fits(&free)).then_some(worker)
        };
        let usable = |other: &WorkerKey| !job.avoids(*other) && !reserved.contains(other);
        let mut others = self.workers.iter().filter(|(other, _)| usable(other));
        others.find_map(|(other, _)| fitting(other)).or(Some(best))
    }

    /// Selects the worker whose rack runs the fewest tasks of the service.
    ///
    /// Ties are broken by the worker's tasks of the service, and then by all its tasks.
    fn spread_fit(
        &self,
        key: JobKey,
        reserved: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let mut tasks_by_rack: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut tasks_by_worker: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for task in &job.tasks {
            let TaskState::Placed(placement) = task else { continue };
            let Some(worker) = self.workers.get(placement.worker) else { continue };
            *tasks_by_rack.entry(&worker.spec.rack).or_default() += 1;
            *tasks_by_worker.entry(placement.worker).or_default() += 1;
        }
        self.workers
            .iter()
            .filter(|(worker, state)| state.takes_work(now) && !reserved.contains(worker))
            .filter(|(_, state)| {
                job.spec.size.fits(&state.spec.capacity.minus(&state.booked))
            })
            .min_by_key(|(worker, state)| {
                let rack_tasks =
                    tasks_by_rack.get(&state.spec.rack).copied().unwrap_or(0);
                let worker_tasks = tasks_by_worker.get(worker).copied().unwrap_or(0);
                (rack_tasks, worker_tasks, state.tasks)
            })
            .map(|(worker, _)| worker)
    }

    /// Books the resources of a task on a worker, as a new attempt.
    pub(super) fn book_task(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        phase: TaskPhase,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        self.attempts += 1;
        let attempt = (self.epoch << 32) | self.attempts;
        self.book_attempt(
            task,
            TaskPlacement { worker, attempt, since: now, phase, start_expires: None },
            ledger,
        );
    }

    /// Books the resources of a task for a given attempt.
    pub(super) fn book_attempt(
        &mut self,
        task: TaskRef,
        placement: TaskPlacement,
        ledger: &mut TeamLedger,
    ) {
        let (key, index) = task;
        let job = &mut self.jobs[key];
        job.tasks[index as usize] = TaskState::Placed(placement);
        self.workers.book(placement.worker, &job.spec.size);
        ledger.book(job.team, &job.spec.size);
        self.on_worker.entry(placement.worker).or_default().insert(task);
    }

    /// Queues the start command of a placed task, which also grants the task's first lease.
    pub(super) fn send_start(&mut self, task: TaskRef, now: Instant) {
        let (key, index) = task;
        let job = &mut self.jobs[key];
        let TaskState::Placed(placement) = &mut job.tasks[index as usize] else { return };
        let Some(worker) = self.workers.get_mut(placement.worker) else { return };
        placement.start_expires = Some(now + START_EXPIRY + LEASE_MARGIN);
        worker.lease_sent = Some(now);
        self.commands.push(SchedulerCommand::Start {
            worker: worker.spec.name.clone(),
            address: worker.spec.address.clone(),
            task: TaskId { job: job.id.clone(), index, attempt: placement.attempt },
            spec: job.spec.clone(),
            expires: now + START_EXPIRY,
        });
    }
}

/// Returns the weighted dominant share of a team as an integer of the same order.
fn rank(ledger: &TeamLedger, team: TeamKey, total: &ResourceVector) -> u64 {
    // The bit patterns of non-negative floating-point numbers are ordered like their values.
    ledger.weighted_share(team, total).to_bits()
}
