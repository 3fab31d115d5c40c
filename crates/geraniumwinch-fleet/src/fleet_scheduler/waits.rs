//! Why tasks wait.

use crate::BootTime;
use crate::WaitCause;

use super::FleetScheduler;
use super::task_ref::JobKey;

impl FleetScheduler {
    /// Updates what a job has waited for, after an attempt to start tasks of a unit.
    pub(super) fn update_waits(&mut self, key: JobKey, unit: u32, now: BootTime) {
        let cause = self.wait_cause(key, unit, now);
        self.jobs[key].waits.set(cause, now);
    }

    /// Returns what the waiting tasks of a unit wait for after an attempt to start them; `None` if
    /// none waits.
    fn wait_cause(&self, key: JobKey, unit: u32, now: BootTime) -> Option<WaitCause> {
        let job = &self.jobs[key];
        let state = &job.units[unit as usize];
        if state.waiting == 0 {
            return None;
        }
        let plan = job.plan(unit);
        let needed = if plan.gang { u64::from(state.waiting) } else { 1 };
        if self.accounts.allows(&job.record.account, &plan.reserved()) < needed {
            return Some(WaitCause::AccountLimit);
        }
        if job.record.rules.permission.is_none() {
            return Some(WaitCause::Capacity);
        }
        let permitted = state.permissions.grants().iter().any(|grant| {
            (plan.gang || grant.until > now) && self.workers.contains_key(grant.worker)
        });
        let asks = state.open_requests > 0 || !permitted;
        Some(if asks { WaitCause::Permission } else { WaitCause::Capacity })
    }
}
