//! The choice of what starts next, and where.

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
use super::START_EXPIRY;
use super::SchedulerCommand;
use super::job_state::JobKey;
use super::job_state::TaskPhase;
use super::job_state::TaskPlace;
use super::job_state::TaskRef;
use super::job_state::TaskState;

/// The number of jobs of a team that a pass looks at behind one that does not fit.
const BACKFILL_DEPTH: usize = 8;
/// The time after which a pass is made even if nothing is known to have changed, since allowances and
/// quarantines may have.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// The number of workers for each one whose free room may be held for a team that is behind.
const WORKERS_PER_HOLD: usize = 25;

/// What a pass has learnt about the room that is left.
#[derive(Debug, Default)]
struct PlacementPass {
    too_large: Vec<ResourceVector>,
    /// Workers whose free room is kept for teams that are behind and whose next task fits nowhere.
    held: Vec<WorkerKey>,
}

impl PlacementPass {
    /// Returns whether a size at least this small has already failed to fit.
    fn is_hopeless(&self, size: &ResourceVector) -> bool {
        self.too_large.iter().any(|failed| failed.fits(size))
    }

    /// Notes a size that does not fit and drops the larger ones, which it covers.
    fn note_too_large(&mut self, size: ResourceVector) {
        self.too_large.retain(|failed| !size.fits(failed));
        self.too_large.push(size);
    }
}

impl JobScheduler {
    /// Starts what fits: urgent work first, then the team with the least weighted dominant share.
    pub fn place(&mut self, ledger: &mut TeamLedger, now: Instant) {
        let stale = self.looked.is_none_or(|looked| now - looked >= LOOK_PERIOD);
        if !self.dirty && !stale {
            return;
        }
        self.dirty = false;
        self.looked = Some(now);
        let mut pass = PlacementPass::default();
        for urgent in [true, false] {
            self.place_side(urgent, &mut pass, ledger, now);
        }
    }

    /// Starts what fits of the urgent or the normal work.
    fn place_side(
        &mut self,
        urgent: bool,
        pass: &mut PlacementPass,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let total = self.workers.total();
        let mut ranks: BinaryHeap<Reverse<(u64, TeamKey)>> = BinaryHeap::new();
        for (team, line) in &mut self.lines {
            if !line.side(urgent).is_empty() {
                ranks.push(Reverse((rank(ledger, team, &total), team)));
            }
        }
        let most_held = self.workers.iter().count() / WORKERS_PER_HOLD;
        while let Some(Reverse((_, team))) = ranks.pop() {
            if self.place_next_of(team, urgent, pass, ledger, now) {
                ranks.push(Reverse((rank(ledger, team, &total), team)));
            } else if !urgent && pass.held.len() < most_held {
                self.hold_for(team, pass, ledger, now);
            }
        }
    }

    /// Keeps the free room of a worker for the next task of a team.
    ///
    /// Without this, small tasks of other teams would take every gap before one is wide enough.
    fn hold_for(
        &self,
        team: TeamKey,
        pass: &mut PlacementPass,
        ledger: &TeamLedger,
        now: Instant,
    ) {
        let line = self.lines.get(team);
        let Some(&key) = line.and_then(|line| line.normal.front()) else { return };
        let Some(job) = self.jobs.get(key).filter(|job| !job.pending.is_empty()) else {
            return;
        };
        if job.spec.kind == JobKind::Gang || !ledger.allows(team, 1) {
            return;
        }
        let nearest = self.workers.nearest_fit(&job.spec.size, &pass.held, now);
        pass.held.extend(nearest);
    }

    /// Starts one task or gang of a team and returns whether anything started.
    fn place_next_of(
        &mut self,
        team: TeamKey,
        urgent: bool,
        pass: &mut PlacementPass,
        ledger: &mut TeamLedger,
        now: Instant,
    ) -> bool {
        let mut position = 0;
        while position < BACKFILL_DEPTH {
            let Some(line) = self.lines.get_mut(team) else { return false };
            let Some(&key) = line.side(urgent).get(position) else { return false };
            let waits = self.jobs.get(key).is_some_and(|job| !job.pending.is_empty());
            if !waits {
                line.side(urgent).remove(position);
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

    /// Starts the next task of a job, or the whole of a gang.
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
        if pass.is_hopeless(&size) {
            return job.spec.urgent && count == 1 && self.preempt_for(key, ledger, now);
        }
        let mut placed = Vec::new();
        for _ in 0..count {
            let Some(worker) = self.choose_worker(key, &pass.held, now) else { break };
            let index =
                self.jobs[key].pending.pop_front().expect("the job has waiting tasks");
            let task = (key, index);
            self.put(task, worker, TaskPhase::Starting, ledger, now);
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
            pass.note_too_large(size);
        }
        let job = &self.jobs[key];
        job.spec.urgent && count == 1 && self.preempt_for(key, ledger, now)
    }

    /// Chooses a worker for a job's next task; a service avoids the racks of its other tasks.
    fn choose_worker(
        &self,
        key: JobKey,
        held: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        if job.spec.kind == JobKind::Service {
            return self.spread_fit(key, held, now);
        }
        let best = self.workers.best_fit(&job.spec.size, held, now)?;
        if !job.failed_on.contains(&best) {
            return Some(best);
        }
        let room = |worker: WorkerKey| {
            let state = self.workers.get(worker)?;
            let free = state.spec.capacity.minus(&state.booked);
            (state.takes_work(now) && job.spec.size.fits(&free)).then_some(worker)
        };
        let usable =
            |other: &WorkerKey| !job.failed_on.contains(other) && !held.contains(other);
        let mut others = self.workers.iter().filter(|(other, _)| usable(other));
        others.find_map(|(other, _)| room(other)).or(Some(best))
    }

    /// Chooses the worker whose rack, and then itself, holds the fewest tasks of the service.
    fn spread_fit(
        &self,
        key: JobKey,
        held: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = &self.jobs[key];
        let mut racks: BTreeMap<&Name, u32> = BTreeMap::new();
        let mut hosts: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        for task in &job.tasks {
            let TaskState::Placed(place) = task else { continue };
            let Some(worker) = self.workers.get(place.worker) else { continue };
            *racks.entry(&worker.spec.rack).or_default() += 1;
            *hosts.entry(place.worker).or_default() += 1;
        }
        self.workers
            .iter()
            .filter(|(worker, state)| state.takes_work(now) && !held.contains(worker))
            .filter(|(_, state)| {
                job.spec.size.fits(&state.spec.capacity.minus(&state.booked))
            })
            .min_by_key(|(worker, state)| {
                let in_rack = racks.get(&state.spec.rack).copied().unwrap_or(0);
                let on_host = hosts.get(worker).copied().unwrap_or(0);
                (in_rack, on_host, state.tasks)
            })
            .map(|(worker, _)| worker)
    }

    /// Books room for a task under a new attempt.
    pub(super) fn put(
        &mut self,
        task: TaskRef,
        worker: WorkerKey,
        phase: TaskPhase,
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        self.attempts += 1;
        let attempt = (self.epoch << 32) | self.attempts;
        self.put_as(task, TaskPlace { worker, attempt, since: now, phase }, ledger);
    }

    /// Books room for a task under a given attempt.
    pub(super) fn put_as(
        &mut self,
        task: TaskRef,
        place: TaskPlace,
        ledger: &mut TeamLedger,
    ) {
        let (key, index) = task;
        let job = &mut self.jobs[key];
        job.tasks[index as usize] = TaskState::Placed(place);
        self.workers.book(place.worker, &job.spec.size);
        ledger.book(job.team, &job.spec.size);
        self.on_worker.entry(place.worker).or_default().insert(task);
    }

    /// Sends the start command of a placed task, which gives it its first lease.
    pub(super) fn send_start(&mut self, task: TaskRef, now: Instant) {
        let (key, index) = task;
        let job = &self.jobs[key];
        let TaskState::Placed(place) = job.tasks[index as usize] else { return };
        let Some(worker) = self.workers.get_mut(place.worker) else { return };
        worker.leased = Some(now);
        self.commands.push(SchedulerCommand::Start {
            worker: worker.spec.name.clone(),
            address: worker.spec.address.clone(),
            task: TaskId { job: job.id.clone(), index, attempt: place.attempt },
            spec: job.spec.clone(),
            expires_in: START_EXPIRY,
        });
    }
}

/// Returns a team's weighted dominant share as an integer that keeps the order.
fn rank(ledger: &TeamLedger, team: TeamKey, total: &ResourceVector) -> u64 {
    // The bits of non-negative floating-point numbers are ordered like the numbers.
    ledger.weighted_share(team, total).to_bits()
}
