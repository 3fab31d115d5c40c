//! Placement of tasks that are faster if they run in the same rack.

use std::cmp::Reverse;
use std::collections::HashMap;

use geraniumwinch_core::Name;

use super::FleetScheduler;
use super::task_ref::JobKey;
use super::worker_offers::WorkerOffer;

impl FleetScheduler {
    /// Sorts offers so that `needed` tasks of a unit use as few racks as possible: first the rack
    /// with the most placed tasks of the unit, then the rack with the least free capacity that fits
    /// all of them, then the racks with the most free capacity.
    pub(super) fn sort_by_rack(
        &self,
        key: JobKey,
        unit: u32,
        needed: usize,
        offers: &mut [WorkerOffer],
    ) {
        let mut placed: HashMap<Option<&Name>, usize> = HashMap::new();
        for (_, task) in self.jobs[key].units[unit as usize].tasks.touched() {
            if let Some(worker) = task.placement.and_then(|p| self.workers.get(p.worker))
            {
                *placed.entry(worker.info.rack.as_ref()).or_default() += 1;
            }
        }
        let mut capacity: HashMap<Option<&Name>, usize> = HashMap::new();
        for offer in offers.iter() {
            let rack = self.workers[offer.worker].info.rack.as_ref();
            let capacity = capacity.entry(rack).or_default();
            *capacity = capacity.saturating_add(offer.fits as usize);
        }
        offers.sort_by_key(|offer| {
            let rack = self.workers[offer.worker].info.rack.as_ref();
            let placed = placed.get(&rack).copied().unwrap_or(0);
            let capacity = capacity.get(&rack).copied().unwrap_or(0);
            let holds_all = capacity >= needed;
            let order =
                if holds_all { (0, capacity) } else { (1, usize::MAX - capacity) };
            (Reverse(placed), order, rack)
        });
    }
}
