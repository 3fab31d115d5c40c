//! Capacity that is reserved for a gang until it can start.

use std::time::Duration;

use geraniumwinch_core::ResourceVector;

use crate::BootTime;
use crate::SchedulerEvent;
use crate::WorkerKey;

use super::FleetScheduler;
use super::PlacementRound;
use super::permissions::PermissionState;
use super::task_ref::JobKey;

/// How long a reservation lasts beyond the expected renewal of permissions. The preempted tasks end
/// during this time.
const RESERVATION_TIME: Duration = Duration::from_millis(1200);

/// Capacity on workers that is reserved for the tasks of a gang.
#[derive(Debug, Clone)]
pub(super) struct GangReservation {
    /// The worker of each task.
    workers: Vec<WorkerKey>,
    /// The resources reserved for each task.
    size: ResourceVector,
    /// When the capacity was reserved.
    since: BootTime,
    /// When the reservation expires.
    until: BootTime,
}

impl GangReservation {
    /// Returns the worker of each task.
    pub(super) fn workers(&self) -> &[WorkerKey] {
        &self.workers
    }
}

impl FleetScheduler {
    /// Reserves capacity for the tasks of a gang, replacing an earlier reservation. `ready` is the
    /// time when the permissions are expected.
    pub(super) fn reserve_capacity(
        &mut self,
        key: JobKey,
        unit: u32,
        workers: &[WorkerKey],
        now: BootTime,
        ready: BootTime,
    ) {
        self.release_reservation(key, unit);
        let size = self.jobs[key].plan(unit).reserved();
        for &worker in workers {
            self.workers[worker].used.add(&size);
        }
        let until = ready + RESERVATION_TIME;
        let reservation =
            GangReservation { workers: workers.to_vec(), size, since: now, until };
        self.jobs[key].units[unit as usize].reservation = Some(reservation);
    }

    /// Releases the reservation of a gang, if any, and returns its workers.
    pub(super) fn release_reservation(
        &mut self,
        key: JobKey,
        unit: u32,
    ) -> Vec<WorkerKey> {
        let reservation = self.jobs[key].units[unit as usize].reservation.take();
        let Some(reservation) = reservation else { return Vec::new() };
        for &worker in &reservation.workers {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.used.subtract(&reservation.size);
            }
        }
        reservation.workers
    }

    /// Starts a gang once its reserved capacity is free and its permissions are valid, and releases
    /// reservations that are no longer valid.
    ///
    /// Returns true if nothing else is to be done for the gang in this pass.
    pub(super) fn start_reserved(
        &mut self,
        key: JobKey,
        unit: u32,
        now: BootTime,
        round: &mut PlacementRound,
    ) -> bool {
        let job = &self.jobs[key];
        let state = &job.units[unit as usize];
        let Some(reservation) = &state.reservation else { return false };
        if let Some(reason) = self.lapse_reason(key, unit, reservation, now) {
            self.events.push(SchedulerEvent::ReservationLapsed {
                step: job.step_name(unit),
                cpu_millis: reservation
                    .size
                    .cpu_millis
                    .saturating_mul(reservation.workers.len() as u64),
                held: now.saturating_sub(reservation.since),
                reason,
            });
            self.release_reservation(key, unit);
            // Whatever prevented the capacity from becoming free may persist, so wait before the
            // next search.
            self.jobs[key].units[unit as usize].next_search = now + RESERVATION_TIME;
            return false;
        }
        let capacity_free = reservation
            .workers
            .iter()
            .all(|&worker| self.workers[worker].is_within_capacity());
        if state.open_requests > 0 || !capacity_free {
            return true;
        }
        let permitted = self.all_permitted(key, unit, &reservation.workers, now);
        let workers = self.release_reservation(key, unit);
        if permitted {
            self.start(key, unit, &workers, now, round);
        }
        permitted
    }

    /// Returns why the reservation of a gang is no longer valid, if it is not.
    fn lapse_reason(
        &self,
        key: JobKey,
        unit: u32,
        reservation: &GangReservation,
        now: BootTime,
    ) -> Option<&'static str> {
        let job = &self.jobs[key];
        let waiting = job.units[unit as usize].waiting as usize;
        let allowed = self.accounts.allows(&job.record.account, &reservation.size);
        let usable = |&worker: &WorkerKey| self.may_take(key, unit, worker, now);
        if reservation.workers.len() != waiting {
            Some("changed")
        } else if allowed < waiting as u64 {
            Some("account-limit")
        } else if now >= reservation.until {
            Some("expired")
        } else if !reservation.workers.iter().all(usable) {
            Some("worker")
        } else {
            None
        }
    }

    /// Returns whether a unit has valid permissions for all of the given workers.
    pub(super) fn all_permitted(
        &self,
        key: JobKey,
        unit: u32,
        workers: &[WorkerKey],
        now: BootTime,
    ) -> bool {
        let permission = |&worker: &WorkerKey| self.permission(key, unit, worker, now);
        workers
            .iter()
            .map(permission)
            .all(|permission| permission == PermissionState::Valid)
    }

    /// Returns whether a worker could run tasks of a unit, apart from free capacity and the expiry
    /// of its permission.
    fn may_take(&self, key: JobKey, unit: u32, worker: WorkerKey, now: BootTime) -> bool {
        let plan = self.jobs[key].plan(unit);
        self.workers.get(worker).is_some_and(|state| {
            state.usable(now)
                && self.is_eligible(key, plan, state)
                && self.permission(key, unit, worker, now) != PermissionState::Denied
        })
    }
}
