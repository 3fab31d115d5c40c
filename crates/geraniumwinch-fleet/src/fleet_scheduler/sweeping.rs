//! What becomes due by time alone.

use std::time::Duration;

use crate::BootTime;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::WorkerKey;
use super::job_slot::PlacePhase;
use super::job_slot::TaskPlace;
use super::job_slot::TaskRef;

/// How long an order to start may be without an answer or a sighting before it is taken back.
const UNKNOWN_GRACE: Duration = Duration::from_millis(700);
/// The time after which an unanswered order to stop is sent again.
const STOP_REPEAT: Duration = Duration::from_millis(600);
/// The least time without progress after which a run is taken for stalled.
const STALL_MIN: Duration = Duration::from_millis(2500);
/// The part of a task's estimated duration without progress after which it is taken for stalled.
const STALL_ESTIMATE_DIVISOR: u32 = 3;

impl FleetScheduler {
    /// Does what has become due: gives up silent workers, takes back unanswered orders, repeats
    /// stops and moves stalled runs.
    pub fn sweep(&mut self, now: BootTime) {
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for worker in workers {
            let slot = &self.workers[worker];
            let expired = slot.silent && slot.expiry <= now;
            let places: Vec<TaskRef> = slot.places.iter().copied().collect();
            for task in places {
                let Some(&place) = self.place_of(task) else { continue };
                if expired {
                    self.expire_place(task, place, now);
                } else {
                    self.sweep_place(task, place, now);
                }
            }
        }
    }

    /// Gives up a run whose worker was silent until its lease expired.
    fn expire_place(&mut self, task: TaskRef, place: TaskPlace, now: BootTime) {
        self.events.push(SchedulerEvent::Expired {
            task: self.jobs[task.job].task_name(task),
            run: place.run,
            worker: self.workers[place.worker].info.id.clone(),
        });
        self.lose(task, now);
    }

    /// Does what is due for one run.
    fn sweep_place(&mut self, task: TaskRef, place: TaskPlace, now: BootTime) {
        match place.phase {
            PlacePhase::Unknown if now >= place.since + UNKNOWN_GRACE => {
                self.stop(task, now);
            }
            PlacePhase::Stopping(None) if now >= place.since + STOP_REPEAT => {
                if let Some(place) = self.place_of_mut(task) {
                    place.since = now;
                }
                self.send_stop(task);
            }
            PlacePhase::Running => self.stop_if_stalled(task, place, now),
            _ => {}
        }
    }

    /// Stops a run that has made no progress for too long, so that it runs elsewhere.
    fn stop_if_stalled(&mut self, task: TaskRef, place: TaskPlace, now: BootTime) {
        let job = &self.jobs[task.job];
        let plan = job.plan(task.unit);
        let done = job.units[task.unit as usize].tasks[task.index as usize].done;
        let limit = STALL_MIN.max(plan.estimate / STALL_ESTIMATE_DIVISOR);
        let exempt = plan.long_running || done || self.workers[place.worker].silent;
        if exempt || now < place.progressed + limit {
            return;
        }
        self.events.push(SchedulerEvent::Stalled {
            task: job.task_name(task),
            run: place.run,
            worker: self.workers[place.worker].info.id.clone(),
        });
        self.blame(place.worker, now);
        self.stop(task, now);
    }
}
