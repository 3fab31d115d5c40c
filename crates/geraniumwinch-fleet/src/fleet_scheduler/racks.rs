//! Tasks that are faster in one rack.

use std::cmp::Reverse;
use std::collections::HashMap;

use geraniumwinch_core::Name;

use super::FleetScheduler;
use super::job_slot::JobKey;
use super::placing::RoomOffer;

impl FleetScheduler {
    /// Sorts offers so that `needed` tasks of a unit stand in as few racks as possible: first the
    /// rack that has most of the unit's tasks, then the fullest rack that holds all of them, then
    /// those that hold most.
    pub(super) fn sort_by_rack(
        &self,
        key: JobKey,
        unit: u32,
        needed: usize,
        offers: &mut [RoomOffer],
    ) {
        let mut there: HashMap<Option<&Name>, usize> = HashMap::new();
        for task in &self.jobs[key].units[unit as usize].tasks {
            if let Some(worker) = task.place.and_then(|p| self.workers.get(p.worker)) {
                *there.entry(worker.info.rack.as_ref()).or_default() += 1;
            }
        }
        let mut room: HashMap<Option<&Name>, usize> = HashMap::new();
        for offer in offers.iter() {
            let rack = self.workers[offer.worker].info.rack.as_ref();
            let room = room.entry(rack).or_default();
            *room = room.saturating_add(offer.fits as usize);
        }
        offers.sort_by_key(|offer| {
            let rack = self.workers[offer.worker].info.rack.as_ref();
            let there = there.get(&rack).copied().unwrap_or(0);
            let room = room.get(&rack).copied().unwrap_or(0);
            let holds_all = room >= needed;
            let order = if holds_all { (0, room) } else { (1, usize::MAX - room) };
            (Reverse(there), order, rack)
        });
    }
}
