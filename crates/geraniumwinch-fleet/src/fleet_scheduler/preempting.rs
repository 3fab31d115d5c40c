//! Room for urgent tasks and gangs at the cost of less urgent ones.
//!
//! It answers the patterns of a burst of urgent jobs and of wide gangs on a full cell: backfilled
//! tasks take each gap before a gang finds all of its places at once. Tasks with checkpoints lose
//! little when they are stopped, and each is stopped once at most.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::SchedulerEvent;
use crate::WorkerKey;

use super::FleetScheduler;
use super::PlacementRound;
use super::job_slot::JobKey;
use super::job_slot::JobLateness;
use super::job_slot::PlacePhase;
use super::job_slot::TaskRef;
use super::permissions::Permit;
use super::placing::times;

/// The progress in percent up to which a task without checkpoints may be stopped.
const EXPENDABLE_PERCENT: u32 = 15;
/// The time between two searches for workers of a gang that doesn't fit.
const CLEAR_INTERVAL: Duration = Duration::from_millis(120);

/// A place that a task of a gang gets once some tasks have stopped.
struct ClearedPlace {
    worker: WorkerKey,
    /// The processors of the tasks that are stopped for this place and earlier ones there.
    cost: u64,
    victims: Vec<TaskRef>,
}

impl FleetScheduler {
    /// Stops less urgent tasks on permitted workers so that `needed` tasks of a unit fit.
    ///
    /// Only the most urgent jobs that can still be in time do this.
    pub(super) fn preempt(
        &mut self,
        key: JobKey,
        unit: u32,
        needed: usize,
        wall: Duration,
        now: BootTime,
    ) {
        let job = &self.jobs[key];
        if job.record.rules.priority != 0 || job.lateness(wall) != JobLateness::InTime {
            return;
        }
        let mut victims = Vec::new();
        let mut found = 0;
        for worker in self.permitted_workers(key, unit, now) {
            if found >= needed {
                break;
            }
            let places = self.cleared_places(key, unit, worker, 1);
            found += places.len();
            victims.extend(places.into_iter().flat_map(|place| place.victims));
        }
        self.stop_victims(&victims, now);
    }

    /// Returns whether workers are searched for a gang that doesn't fit now; that takes time, so
    /// that it is not done in each pass.
    pub(super) fn may_search(&mut self, key: JobKey, unit: u32, now: BootTime) -> bool {
        let slot = &mut self.jobs[key].units[unit as usize];
        let due = slot.open_requests == 0 && now >= slot.clear_after;
        if due {
            slot.clear_after = now + CLEAR_INTERVAL;
        }
        due
    }

    /// Stops less urgent tasks so that a gang that can still be in time fits as a whole, and keeps
    /// the room: work that is stopped for nothing is lost.
    pub(super) fn clear_for_gang(
        &mut self,
        key: JobKey,
        unit: u32,
        needed: usize,
        wall: Duration,
        now: BootTime,
        round: &mut PlacementRound,
    ) {
        let job = &self.jobs[key];
        if job.units[unit as usize].open_requests > 0
            || job.lateness(wall) != JobLateness::InTime
        {
            return;
        }
        let mut places = Vec::new();
        for worker in self.permitted_workers(key, unit, now) {
            places.extend(self.cleared_places(key, unit, worker, needed));
        }
        if places.len() < needed {
            return;
        }
        places.sort_by_key(|place| place.cost);
        places.truncate(needed);
        let workers: Vec<WorkerKey> = places.iter().map(|place| place.worker).collect();
        if self.all_permitted(key, unit, &workers, now) {
            self.claim_room(key, unit, &workers, now);
        } else if !self.renew(key, unit, &workers, true, now, round) {
            return;
        }
        let victims: Vec<TaskRef> =
            places.into_iter().flat_map(|place| place.victims).collect();
        self.stop_victims(&victims, now);
    }

    /// Returns the workers that a unit is or was permitted on and that take tasks.
    fn permitted_workers(&self, key: JobKey, unit: u32, now: BootTime) -> Vec<WorkerKey> {
        let plan = self.jobs[key].plan(unit);
        let mut permitted = Vec::new();
        for (worker, slot) in &self.workers {
            let permit = self.permit(key, unit, &slot.info.id, now);
            let granted = matches!(permit, Permit::Valid(_) | Permit::Expired);
            if granted && slot.usable(now) && self.suits(key, plan, slot) {
                permitted.push(worker);
            }
        }
        permitted
    }

    /// Returns up to `most` places that tasks of a unit get on a worker, the cheapest first.
    fn cleared_places(
        &self,
        key: JobKey,
        unit: u32,
        worker: WorkerKey,
        most: usize,
    ) -> Vec<ClearedPlace> {
        let job = &self.jobs[key];
        let plan = job.plan(unit);
        let size = plan.reserved();
        let slot = &self.workers[worker];
        let empty = self.fits(key, unit, plan, worker, &slot.info.capacity) as usize;
        let most = most.min(empty);
        let mut candidates = self.candidates(worker, job.record.rules.priority);
        let mut given_back = self.stopping_size(worker);
        let mut taken = ResourceVector::default();
        let mut places: Vec<ClearedPlace> = Vec::new();
        let mut cost = 0;
        let mut victims = Vec::new();
        while places.len() < most {
            let room = slot.free_without(&given_back).minus(&taken);
            if times(&size, &room) > 0 {
                taken.add(&size);
                let victims = std::mem::take(&mut victims);
                places.push(ClearedPlace { worker, cost, victims });
                continue;
            }
            let Some(task) = candidates.pop() else { break };
            let freed = self.jobs[task.job].plan(task.unit).reserved();
            given_back.add(&freed);
            cost += freed.cpu_millis;
            victims.push(task);
        }
        places
    }

    /// Returns what the tasks of a worker take that are being stopped.
    fn stopping_size(&self, worker: WorkerKey) -> ResourceVector {
        let mut size = ResourceVector::default();
        for &task in &self.workers[worker].places {
            let stopping = self
                .place_of(task)
                .is_some_and(|place| matches!(place.phase, PlacePhase::Stopping(_)));
            if stopping {
                size.add(&self.jobs[task.job].plan(task.unit).reserved());
            }
        }
        size
    }

    /// Returns the tasks of a worker that may be stopped for a job of an urgency, the least urgent
    /// ones last.
    fn candidates(&self, worker: WorkerKey, priority: u32) -> Vec<TaskRef> {
        let places = self.workers[worker].places.iter().copied();
        let mut candidates: Vec<TaskRef> =
            places.filter(|&task| self.expendable(task, priority)).collect();
        candidates.sort_by_key(|task| {
            let job = &self.jobs[task.job];
            (job.record.rules.priority, job.serial)
        });
        candidates
    }

    /// Returns whether a task may be stopped for a job of an urgency.
    fn expendable(&self, task: TaskRef, priority: u32) -> bool {
        let job = &self.jobs[task.job];
        let plan = job.plan(task.unit);
        let Some(place) = self.place_of(task) else { return false };
        let slot = &job.units[task.unit as usize].tasks[task.index as usize];
        let young = priority == 0 && place.percent <= EXPENDABLE_PERCENT;
        job.record.rules.priority > priority
            && place.phase == PlacePhase::Running
            && !plan.gang
            && !plan.long_running
            && !slot.preempted
            && (plan.saves_progress || young)
    }

    /// Stops the chosen tasks.
    fn stop_victims(&mut self, victims: &[TaskRef], now: BootTime) {
        for &task in victims {
            let Some(&place) = self.place_of(task) else { continue };
            self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
                .preempted = true;
            self.events.push(SchedulerEvent::Preempted {
                task: self.jobs[task.job].task_name(task),
                run: place.run,
                worker: self.workers[place.worker].info.id.clone(),
            });
            self.stop(task, now);
        }
    }
}
