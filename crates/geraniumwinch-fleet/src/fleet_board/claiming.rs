//! Room for gangs on a full cell.
//!
//! It answers the pattern of wide gangs that wait while single tasks take each piece of room that
//! comes free: the workers that a gang has chosen take no tasks of its own urgency or a lesser one
//! until it fits.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::WorkerKey;

use super::FleetBoard;
use super::asking::Permit;
use super::job_slot::JobKey;
use super::worker_slot::RoomClaim;
use super::worker_slot::WorkerSlot;

/// How long a claim lasts unless it is made again.
const CLAIM_TIME: Duration = Duration::from_millis(1500);
/// The part of the workers that may be claimed at the same time.
const CLAIMED_SHARE: f64 = 0.4;

/// A worker that could be cleared for a gang.
struct ClearOffer {
    worker: WorkerKey,
    /// The gang's tasks that fit now.
    now_fits: u32,
    /// The gang's tasks that fit once the tasks of other urgencies have ended.
    cleared_fits: u32,
}

impl FleetBoard {
    /// Returns whether a worker's room is being cleared for another gang of this urgency or a
    /// greater one.
    pub(super) fn claimed_from(
        &self,
        key: JobKey,
        unit: u32,
        slot: &WorkerSlot,
        now: BootTime,
    ) -> bool {
        let priority = self.jobs[key].record.rules.priority;
        slot.claim.is_some_and(|claim| {
            claim.until > now
                && (claim.job, claim.unit) != (key, unit)
                && claim.priority <= priority
        })
    }

    /// Claims permitted workers for a gang and returns whether it fits there once they are
    /// cleared.
    pub(super) fn claim(
        &mut self,
        key: JobKey,
        unit: u32,
        needed: usize,
        now: BootTime,
    ) -> bool {
        let mut offers = self.clear_offers(key, unit, now);
        offers.sort_by_key(|offer| std::cmp::Reverse((offer.now_fits, offer.cleared_fits)));
        let mut fitting = 0;
        let mut chosen = Vec::new();
        for offer in offers {
            if fitting >= needed {
                break;
            }
            fitting += offer.cleared_fits as usize;
            chosen.push(offer.worker);
        }
        if fitting < needed {
            return false;
        }
        let others = self.claims_of_others(key, unit, now);
        let most = (self.workers.len() as f64 * CLAIMED_SHARE) as usize;
        if others == 0 || others + chosen.len() <= most {
            self.set_claims(key, unit, &chosen, now);
        }
        true
    }

    /// Returns the permitted workers that could be cleared for a gang.
    fn clear_offers(&self, key: JobKey, unit: u32, now: BootTime) -> Vec<ClearOffer> {
        let plan = self.jobs[key].plan(unit);
        let mut offers = Vec::new();
        for (worker, slot) in &self.workers {
            let open = slot.usable(now) && !self.claimed_from(key, unit, slot, now);
            let permit = self.permit(key, unit, &slot.card.id, now);
            let permitted = matches!(permit, Permit::Valid(_) | Permit::Expired);
            if !open || !permitted || !self.suits(key, plan, slot) {
                continue;
            }
            let cleared = self.cleared_room(key, slot);
            let now_fits = self.fits(key, unit, plan, worker, &slot.free());
            let cleared_fits = self.fits(key, unit, plan, worker, &cleared);
            if cleared_fits > 0 {
                offers.push(ClearOffer { worker, now_fits, cleared_fits });
            }
        }
        offers
    }

    /// Returns a worker's room once the tasks of other urgencies have ended.
    fn cleared_room(&self, key: JobKey, slot: &WorkerSlot) -> ResourceVector {
        let priority = self.jobs[key].record.rules.priority;
        let mut room = slot.free();
        for task in &slot.places {
            let job = &self.jobs[task.job];
            if job.record.rules.priority != priority {
                room.add(&job.plan(task.unit).reserved());
            }
        }
        room
    }

    /// Returns the number of workers that are claimed for other gangs.
    fn claims_of_others(&self, key: JobKey, unit: u32, now: BootTime) -> usize {
        let claims = self.workers.values().filter_map(|slot| slot.claim);
        claims
            .filter(|claim| claim.until > now && (claim.job, claim.unit) != (key, unit))
            .count()
    }

    /// Puts a gang's claims on workers in place of its former ones.
    fn set_claims(&mut self, key: JobKey, unit: u32, chosen: &[WorkerKey], now: BootTime) {
        self.release_claims(key, unit);
        let priority = self.jobs[key].record.rules.priority;
        let claim = RoomClaim { job: key, unit, priority, until: now + CLAIM_TIME };
        for &worker in chosen {
            self.workers[worker].claim = Some(claim);
        }
    }

    /// Ends the claims of a gang.
    pub(super) fn release_claims(&mut self, key: JobKey, unit: u32) {
        for slot in self.workers.values_mut() {
            if slot.claim.is_some_and(|claim| (claim.job, claim.unit) == (key, unit)) {
                slot.claim = None;
            }
        }
    }
}
