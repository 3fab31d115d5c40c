//! Permissions to place steps on workers.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::PermissionGrant;
use crate::PermissionRequest;
use crate::StepName;
use crate::WorkerKey;
use crate::run_order::is_long_call;

use super::FleetScheduler;
use super::job_slot::JobKey;

/// The share of workers that a queue's permissions are taken to allow before any answer.
const INITIAL_SHARE: f64 = 0.4;
/// The weight of a new answer in the learnt share.
const SHARE_GAIN: f64 = 0.2;
/// How much more room a question covers than the step needs.
const REQUEST_SURPLUS: f64 = 2.5;
/// The same for a gang, as a part of the room of empty workers: most of it is taken.
const GANG_REQUEST_SURPLUS: f64 = 4.5;
/// The fewest workers of a first question.
const REQUEST_MIN: usize = 8;
/// The most workers that one question names; the service takes up to 100, but several shorter
/// calls of several VMs take less time.
const REQUEST_MAX: usize = 60;
/// The most questions that are open for a step.
const REQUEST_PARTS: usize = 4;
/// The time before a question that failed is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What is known of the permission to place a step on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Permit {
    /// It may be placed; the proof goes with the start, where the queue needs one.
    Valid(Option<Name>),
    /// It was allowed, but the proof has expired.
    Expired,
    /// Nobody has asked.
    Unasked,
    /// It may not be placed there.
    Denied,
}

impl FleetScheduler {
    /// Returns what is known of the permission to place a unit on a worker.
    pub(super) fn permit(
        &self,
        key: JobKey,
        unit: u32,
        worker: &Name,
        now: BootTime,
    ) -> Permit {
        let job = &self.jobs[key];
        if job.record.rules.permission.is_none() {
            return Permit::Valid(None);
        }
        match job.units[unit as usize].permissions.get(worker) {
            None => Permit::Unasked,
            Some(None) => Permit::Denied,
            Some(Some(grant)) if grant.until > now => {
                Permit::Valid(Some(grant.ticket.clone()))
            }
            Some(Some(_)) => Permit::Expired,
        }
    }

    /// Chooses the workers of a first question from those with room, most room first.
    ///
    /// `rooms` holds workers with the number of the step's tasks that fit there now and, as a
    /// second order, in an empty worker. A full cell is asked about as a whole, as one call that
    /// names more workers is shorter than two calls. A gang's room is made on the allowed workers,
    /// so that it needs enough of them even if they are full now.
    pub(super) fn choose_candidates(
        &self,
        key: JobKey,
        gang: bool,
        needed: usize,
        mut rooms: Vec<(WorkerKey, u32, u32)>,
    ) -> Vec<Name> {
        rooms.sort_by_key(|&(_, now, ever)| std::cmp::Reverse((now, ever)));
        let queue = &self.jobs[key].record.rules.queue;
        let share = self.allowed_share.get(queue).copied().unwrap_or(INITIAL_SHARE);
        let surplus = if gang { GANG_REQUEST_SURPLUS } else { REQUEST_SURPLUS };
        let wanted = needed as f64 * surplus / share.max(0.05);
        let mut covered = 0.0;
        let mut names = Vec::new();
        for (worker, now_fits, ever_fits) in rooms {
            let enough = covered >= wanted && names.len() >= REQUEST_MIN;
            if enough || names.len() == REQUEST_MAX * REQUEST_PARTS {
                break;
            }
            covered += f64::from(if gang { ever_fits } else { now_fits });
            names.push(self.workers[worker].info.id.clone());
        }
        names
    }

    /// Creates the questions about a unit, unless some are open or failed ones are too recent.
    ///
    /// At most `budget` of them are long: one that had to wait for a VM would be answered when
    /// the room is gone.
    pub(super) fn request_permissions(
        &mut self,
        key: JobKey,
        unit: u32,
        workers: &[Name],
        now: BootTime,
        budget: &mut usize,
    ) -> Vec<PermissionRequest> {
        let job = &mut self.jobs[key];
        let step = job.step_name(unit);
        let Some(cost) = job.record.rules.permission else { return Vec::new() };
        let slot = &mut job.units[unit as usize];
        if workers.is_empty() || slot.open_requests > 0 || now < slot.retry_after {
            return Vec::new();
        }
        let part = workers.len().div_ceil(workers.len().div_ceil(REQUEST_MAX));
        let priority = job.record.rules.priority;
        let mut requests = Vec::new();
        for workers in workers.chunks(part) {
            let (step, workers) = (step.clone(), workers.to_vec());
            let call_time = cost.call_time(workers.len());
            if is_long_call(call_time) {
                if *budget == 0 {
                    break;
                }
                *budget -= 1;
            }
            requests.push(PermissionRequest { step, priority, call_time, workers });
        }
        slot.open_requests = requests.len();
        requests
    }

    /// Finds the unit that a step's name means.
    fn find_unit(&self, step: &StepName) -> Option<(JobKey, u32)> {
        let &key = self.job_ids.get(&step.job)?;
        let steps = self.jobs[key].record.request.steps.len() as u32;
        let unit = step.occurrence.checked_mul(steps)? + step.step;
        ((unit as usize) < self.jobs[key].units.len()).then_some((key, unit))
    }

    /// Returns how long a permission for a step holds.
    pub fn permission_validity(&self, step: &StepName) -> Option<Duration> {
        let (key, _) = self.find_unit(step)?;
        self.jobs[key].record.rules.permission.map(|cost| cost.validity)
    }

    /// Takes in the answer to a question: the workers that were asked about and the grants.
    pub fn permission_answered(
        &mut self,
        step: &StepName,
        asked: &[Name],
        grants: Vec<PermissionGrant>,
    ) {
        let Some((key, unit)) = self.find_unit(step) else { return };
        self.finish_request(key, unit);
        let job = &mut self.jobs[key];
        let slot = &mut job.units[unit as usize];
        let fresh = asked.iter().filter(|id| !slot.permissions.contains_key(*id)).count();
        for id in asked {
            slot.permissions.entry(id.clone()).or_insert(None);
        }
        let granted = grants.len();
        for grant in grants {
            slot.permissions.insert(grant.worker.clone(), Some(grant));
        }
        if fresh == asked.len() && fresh > 0 {
            let queue = job.record.rules.queue.clone();
            let share = self.allowed_share.entry(queue).or_insert(INITIAL_SHARE);
            *share += (granted as f64 / fresh as f64 - *share) * SHARE_GAIN;
        }
    }

    /// Notes that a question was not answered.
    pub fn permission_failed(&mut self, step: &StepName, now: BootTime) {
        let Some((key, unit)) = self.find_unit(step) else { return };
        self.finish_request(key, unit);
        self.jobs[key].units[unit as usize].retry_after = now + RETRY_DELAY;
    }

    /// Counts a question off.
    fn finish_request(&mut self, key: JobKey, unit: u32) {
        let slot = &mut self.jobs[key].units[unit as usize];
        slot.open_requests = slot.open_requests.saturating_sub(1);
    }
}
