//! Room for urgent tasks at the cost of less urgent ones.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BoardEvent;
use crate::BootTime;
use crate::WorkerKey;

use super::FleetBoard;
use super::asking::Permit;
use super::job_slot::JobKey;
use super::job_slot::JobLateness;
use super::job_slot::PlacePhase;
use super::job_slot::TaskRef;
use super::placing::times;

/// The progress in percent up to which a task without checkpoints may be stopped.
const EXPENDABLE_PERCENT: u32 = 15;

impl FleetBoard {
    /// Stops less urgent tasks on permitted workers so that `needed` tasks of a unit fit.
    ///
    /// Only the most urgent jobs that can still be in time do this, and a gang only if all its
    /// tasks fit then: work that is stopped for nothing is lost.
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
        let plan = job.plan(unit).clone();
        let size = plan.reserved();
        let mut fitting = 0;
        let mut chosen = Vec::new();
        for (worker, slot) in &self.workers {
            if fitting >= needed {
                break;
            }
            let permit = self.permit(key, unit, &slot.card.id, now);
            let permitted = matches!(permit, Permit::Valid(_) | Permit::Expired);
            if !permitted || !slot.usable(now) || !self.suits(key, &plan, slot) {
                continue;
            }
            let mut room = self.room_after_stops(worker);
            let victims = self.victims(worker, key, &size, &mut room);
            let fits = times(&size, &room) as usize;
            fitting += fits;
            if fits > 0 {
                chosen.extend(victims);
            }
        }
        if fitting >= needed || !plan.gang {
            self.stop_victims(&chosen, now);
        }
    }

    /// Returns the room of a worker once the runs that are being stopped have ended.
    fn room_after_stops(&self, worker: WorkerKey) -> ResourceVector {
        let slot = &self.workers[worker];
        let mut room = slot.free();
        for &task in &slot.places {
            let stopping = self
                .place_of(task)
                .is_some_and(|place| matches!(place.phase, PlacePhase::Stopping(_)));
            if stopping {
                room.add(&self.jobs[task.job].plan(task.unit).reserved());
            }
        }
        room
    }

    /// Chooses tasks to stop, the least urgent ones first, until a task of `size` fits.
    fn victims(
        &self,
        worker: WorkerKey,
        key: JobKey,
        size: &ResourceVector,
        room: &mut ResourceVector,
    ) -> Vec<TaskRef> {
        let priority = self.jobs[key].record.rules.priority;
        let mut candidates: Vec<TaskRef> = self.workers[worker]
            .places
            .iter()
            .copied()
            .filter(|&task| self.expendable(task, priority))
            .collect();
        candidates.sort_by_key(|task| {
            let job = &self.jobs[task.job];
            std::cmp::Reverse((job.record.rules.priority, job.serial))
        });
        let mut victims = Vec::new();
        for task in candidates {
            if times(size, room) > 0 {
                break;
            }
            room.add(&self.jobs[task.job].plan(task.unit).reserved());
            victims.push(task);
        }
        victims
    }

    /// Returns whether a task may be stopped for a job of an urgency.
    fn expendable(&self, task: TaskRef, priority: u32) -> bool {
        let job = &self.jobs[task.job];
        let plan = job.plan(task.unit);
        let Some(place) = self.place_of(task) else { return false };
        let slot = &job.units[task.unit as usize].tasks[task.index as usize];
        let cheap = plan.saves_progress || place.percent <= EXPENDABLE_PERCENT;
        job.record.rules.priority > priority
            && place.phase == PlacePhase::Running
            && !plan.gang
            && !slot.preempted
            && cheap
    }

    /// Stops the chosen tasks.
    fn stop_victims(&mut self, victims: &[TaskRef], now: BootTime) {
        for &task in victims {
            let Some(&place) = self.place_of(task) else { continue };
            self.jobs[task.job].units[task.unit as usize].tasks[task.index as usize]
                .preempted = true;
            self.events.push(BoardEvent::Preempted {
                task: self.jobs[task.job].task_name(task),
                run: place.run,
                worker: self.workers[place.worker].card.id.clone(),
            });
            self.stop(task, now);
        }
    }
}
