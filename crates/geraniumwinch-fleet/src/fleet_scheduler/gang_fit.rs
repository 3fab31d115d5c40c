//! Estimates whether a gang could fit on a full cell after preemption.

use std::cmp::Ordering;
use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;

use super::FleetScheduler;
use super::task_ref::JobKey;
use super::task_ref::TaskRef;
use super::worker_state::WorkerState;

/// How many times over a gang must fit after preemption, since not all of that capacity will become
/// free.
const REQUIRED_FIT_FACTOR: usize = 2;
/// The expected time until its end up to which a more urgent task is waited for.
const SHORT_WAIT: Duration = Duration::from_secs(2);

impl FleetScheduler {
    /// Returns whether a gang fits on its permitted workers once the less urgent tasks there, and the
    /// more urgent ones that end soon, have ended. If so, requesting permissions for more workers is of
    /// no use.
    pub(super) fn fits_after_preemption(
        &self,
        key: JobKey,
        unit: u32,
        needed: usize,
        now: BootTime,
    ) -> bool {
        let plan = self.jobs[key].plan(unit);
        let mut fitting = 0;
        for worker in self.granted_workers(key, unit) {
            let state = &self.workers[worker];
            if !state.usable(now) || !self.is_eligible(key, plan, state) {
                continue;
            }
            let free = self.capacity_after_preemption(key, state, now);
            fitting += self.fits(key, unit, plan, worker, &free) as usize;
            if fitting >= needed * REQUIRED_FIT_FACTOR {
                return true;
            }
        }
        false
    }

    /// Returns a worker's free capacity once the tasks have ended that are less urgent than a job, or
    /// end soon.
    fn capacity_after_preemption(
        &self,
        key: JobKey,
        state: &WorkerState,
        now: BootTime,
    ) -> ResourceVector {
        let priority = self.jobs[key].record.rules.priority;
        let mut others = ResourceVector::default();
        for &task in &state.tasks {
            let job = &self.jobs[task.job];
            let ends = match job.record.rules.priority.cmp(&priority) {
                Ordering::Greater => true,
                Ordering::Equal => false,
                Ordering::Less => self.ends_soon(task, now),
            };
            if ends {
                others.add(&job.plan(task.unit).reserved());
            }
        }
        state.free_without(&others)
    }

    /// Returns whether a task is expected to end soon. Nothing is expected of one that has taken longer
    /// than that, or that lasts.
    fn ends_soon(&self, task: TaskRef, now: BootTime) -> bool {
        let lasting = self.jobs[task.job].plan(task.unit).long_running;
        self.placement_of(task).is_some_and(|placement| {
            let end = placement.started_at.saturating_add(placement.expected);
            !lasting && now <= end && end <= now.saturating_add(SHORT_WAIT)
        })
    }
}
