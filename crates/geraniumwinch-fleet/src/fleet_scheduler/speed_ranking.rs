//! Placement by the speeds of workers.
//!
//! It addresses workers that differ in speed. Urgent jobs and chains of steps take the fast ones
//! first, since each wait adds up there; other tasks are placed as if all were alike, which leaves
//! the fast ones to those. A gang runs as its slowest member, so a fast worker beside a slow one is
//! wasted on it. No worker is passed over while work waits that it could run.

use super::FleetScheduler;
use super::WorkerKey;
use super::job_state::URGENT_PRIORITY;
use super::task_ref::JobKey;
use super::worker_offers::WorkerOffer;

impl FleetScheduler {
    /// Sorts the offers for `needed` tasks of a unit by the speed that suits them, if workers are
    /// known to differ. Offers that are worse for another reason stay behind.
    pub(super) fn rank_by_speed(
        &self,
        key: JobKey,
        unit: u32,
        needed: usize,
        offers: &mut [WorkerOffer],
    ) {
        let is_known = self.learning.speeds.known_workers() > 0;
        if !is_known || self.has_suspects(key, unit) {
            return;
        }
        if self.jobs[key].plan(unit).gang {
            let slowest = self.slowest_needed(needed, offers);
            self.sort_offers(offers, |step| (step < slowest, (step - slowest).abs()));
        } else if self.prefers_fast(key) {
            self.sort_offers(offers, |step| -step);
        }
    }

    /// Returns whether the tasks of a job take fast workers first.
    pub(super) fn prefers_fast(&self, key: JobKey) -> bool {
        let record = &self.jobs[key].record;
        let is_chain = record.request.steps.iter().any(|plan| !plan.after.is_empty());
        record.rules.priority == URGENT_PRIORITY || is_chain
    }

    /// Returns the speed by which a worker is chosen for a permission request. A gang needs many
    /// workers with room, so it does not choose by speed.
    pub(super) fn request_speed(
        &self,
        key: JobKey,
        gang: bool,
        worker: WorkerKey,
    ) -> i32 {
        if gang || !self.prefers_fast(key) {
            return 0;
        }
        self.learning.speeds.speed_step(&self.workers[worker].info.id)
    }

    /// Returns the speed of the slowest worker that a gang needs if it takes the fastest ones.
    fn slowest_needed(&self, needed: usize, offers: &[WorkerOffer]) -> i32 {
        let mut speeds: Vec<(i32, usize)> = offers
            .iter()
            .map(|offer| (self.speed_step(offer), offer.fits as usize))
            .collect();
        speeds.sort_unstable_by(|a, b| b.cmp(a));
        let mut covered = 0;
        let enough = |&&(_, fits): &&(i32, usize)| {
            covered += fits;
            covered >= needed
        };
        let slowest = speeds.iter().find(enough).or(speeds.last());
        slowest.map_or(0, |&(step, _)| step)
    }

    /// Sorts offers by a key of the workers' speeds, and otherwise keeps their order.
    fn sort_offers<K: Ord>(
        &self,
        offers: &mut [WorkerOffer],
        speed_key: impl Fn(i32) -> K,
    ) {
        offers.sort_by_cached_key(|offer| {
            let (failing, interfering, remote, ..) = offer.rank;
            (failing, interfering, remote, speed_key(self.speed_step(offer)))
        });
    }

    /// Returns the speed of an offered worker in steps above that of an ordinary one.
    fn speed_step(&self, offer: &WorkerOffer) -> i32 {
        let worker = &self.workers[offer.worker];
        self.learning.speeds.speed_step(&worker.info.id)
    }
}
