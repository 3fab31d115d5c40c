//! Room that is kept for a gang until it can start.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::WorkerKey;

use super::FleetScheduler;
use super::PlacementRound;
use super::job_slot::JobKey;
use super::permissions::Permit;

/// How long room is kept beyond the time that a renewal of permissions takes: tasks that were told
/// to stop end meanwhile.
const CLAIM_TIME: Duration = Duration::from_millis(1200);

/// Room on workers that is kept for the tasks of a gang.
#[derive(Debug)]
pub(super) struct RoomClaim {
    /// The worker of each task.
    workers: Vec<WorkerKey>,
    /// What is kept for each task.
    size: ResourceVector,
    /// When the room is given back.
    until: BootTime,
}

impl FleetScheduler {
    /// Keeps room for the tasks of a gang; `ready` is when its permissions will be there.
    pub(super) fn claim_room(
        &mut self,
        key: JobKey,
        unit: u32,
        workers: &[WorkerKey],
        ready: BootTime,
    ) {
        self.release_claim(key, unit);
        let size = self.jobs[key].plan(unit).reserved();
        for &worker in workers {
            self.workers[worker].used.add(&size);
        }
        let until = ready + CLAIM_TIME;
        let claim = RoomClaim { workers: workers.to_vec(), size, until };
        self.jobs[key].units[unit as usize].claim = Some(claim);
    }

    /// Gives the room back that is kept for a gang, and returns its workers.
    pub(super) fn release_claim(&mut self, key: JobKey, unit: u32) -> Vec<WorkerKey> {
        let claim = self.jobs[key].units[unit as usize].claim.take();
        let Some(claim) = claim else { return Vec::new() };
        for &worker in &claim.workers {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.used.subtract(&claim.size);
            }
        }
        claim.workers
    }

    /// Starts a gang whose room is there, and gives room back that is kept in vain.
    ///
    /// Returns whether nothing else is to be done for the gang now.
    pub(super) fn settle_claim(
        &mut self,
        key: JobKey,
        unit: u32,
        now: BootTime,
        round: &mut PlacementRound,
    ) -> bool {
        let job = &self.jobs[key];
        let slot = &job.units[unit as usize];
        let Some(claim) = &slot.claim else { return false };
        let waiting = slot.waiting as usize;
        let allowed = self.accounts.allows(&job.record.account, &claim.size);
        let sound = claim.workers.len() == waiting
            && allowed >= waiting as u64
            && now < claim.until
            && claim.workers.iter().all(|&worker| self.may_take(key, unit, worker, now));
        if !sound {
            self.release_claim(key, unit);
            // What kept the room from coming free may last.
            self.jobs[key].units[unit as usize].clear_after = now + CLAIM_TIME;
            return false;
        }
        let cleared =
            claim.workers.iter().all(|&worker| self.workers[worker].fits_used());
        if slot.open_requests > 0 || !cleared {
            return true;
        }
        let permitted = self.all_permitted(key, unit, &claim.workers, now);
        let workers = self.release_claim(key, unit);
        if permitted {
            self.start(key, unit, &workers, now, round);
        }
        permitted
    }

    /// Returns whether the permissions of a unit hold for all of some workers.
    pub(super) fn all_permitted(
        &self,
        key: JobKey,
        unit: u32,
        workers: &[WorkerKey],
        now: BootTime,
    ) -> bool {
        let permit = |&worker: &WorkerKey| {
            self.permit(key, unit, &self.workers[worker].info.id, now)
        };
        workers.iter().map(permit).all(|permit| matches!(permit, Permit::Valid(_)))
    }

    /// Returns whether a worker may get tasks of a unit once it has room and the permission holds.
    fn may_take(&self, key: JobKey, unit: u32, worker: WorkerKey, now: BootTime) -> bool {
        self.workers.get(worker).is_some_and(|slot| {
            slot.usable(now)
                && self.permit(key, unit, &slot.info.id, now) != Permit::Denied
        })
    }
}
