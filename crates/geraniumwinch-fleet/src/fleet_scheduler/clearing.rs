//! Whether a gang would fit on a full cell once other tasks have ended.

use geraniumwinch_core::ResourceVector;

use crate::BootTime;

use super::FleetScheduler;
use super::job_slot::JobKey;
use super::permissions::Permit;
use super::worker_slot::WorkerSlot;

/// How many times a gang must fit once workers are cleared: not all of them will be.
const CHOICE: usize = 2;

impl FleetScheduler {
    /// Returns whether a gang fits on the workers that it is permitted on once the tasks of other
    /// urgencies there have ended. Then there is no use in asking about more workers.
    pub(super) fn fits_once_cleared(
        &self,
        key: JobKey,
        unit: u32,
        needed: usize,
        now: BootTime,
    ) -> bool {
        let plan = self.jobs[key].plan(unit);
        let mut fitting = 0;
        for (worker, slot) in &self.workers {
            let permit = self.permit(key, unit, &slot.info.id, now);
            let permitted = matches!(permit, Permit::Valid(_) | Permit::Expired);
            if !permitted || !slot.usable(now) || !self.suits(key, plan, slot) {
                continue;
            }
            let room = self.cleared_room(key, slot);
            fitting += self.fits(key, unit, plan, worker, &room) as usize;
            if fitting >= needed * CHOICE {
                return true;
            }
        }
        false
    }

    /// Returns a worker's room once the tasks of other urgencies have ended.
    fn cleared_room(&self, key: JobKey, slot: &WorkerSlot) -> ResourceVector {
        let priority = self.jobs[key].record.rules.priority;
        let mut others = ResourceVector::default();
        for task in &slot.places {
            let job = &self.jobs[task.job];
            if job.record.rules.priority != priority {
                others.add(&job.plan(task.unit).reserved());
            }
        }
        slot.free_without(&others)
    }
}
