//! Runs that make no progress.
//!
//! The members of a gang end together, so a member that has done its own work waits for the others.
//! It is no reason to stop the gang while another member still works.

use std::time::Duration;

use crate::BootTime;
use crate::LossCause;
use crate::RunLoss;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::task_placement::TaskPlacement;
use super::task_ref::TaskRef;

/// The minimum time without progress after which a run counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(2500);
/// A run counts as stalled after no progress for its estimated duration divided by this number, if
/// that is longer than the minimum.
const STALL_ESTIMATE_DIVISOR: u32 = 3;
/// A run counts as stalled after no progress for the time that this many percent have taken it, if that is
/// longer.
const STALL_PERCENTS: u32 = 3;
/// How often the time is doubled at most.
const MAX_DOUBLINGS: u32 = 12;
/// The progress in percent of a run that has done all of its work.
const FULL_PERCENT: u32 = 100;

impl FleetScheduler {
    /// Stops a run that has made no progress for too long, so that the task is placed again.
    pub(super) fn stop_if_stalled(
        &mut self,
        task: TaskRef,
        placement: TaskPlacement,
        now: BootTime,
    ) {
        let job = &self.jobs[task.job];
        let plan = job.plan(task.unit);
        let done = job.units[task.unit as usize].tasks[task.index as usize].done;
        let limit = self.stall_limit(task, &placement);
        let exempt = plan.long_running
            || done
            || self.workers[placement.worker].is_silent()
            || self.is_end_unread(task);
        if exempt
            || now < placement.progressed + limit
            || plan.gang && self.waits_for_members(task, &placement)
        {
            return;
        }
        self.events.push(SchedulerEvent::Stalled {
            task: job.task_name(task),
            run: placement.run,
            worker: self.workers[placement.worker].info.id.clone(),
            percent: placement.percent,
            age: now.saturating_sub(placement.started_at),
        });
        let stalls = &mut self.task_state_mut(task).stalls;
        *stalls = stalls.saturating_add(1);
        self.record_failure(placement.worker, now);
        self.stop(task, RunLoss::single(LossCause::Stalled), now);
    }

    /// Returns the time without progress after which a run counts as stalled: by its task's estimate, and by
    /// the rate that the run has shown. It doubles with each run of the task that counted as stalled, since
    /// the whole percents of a task that lasts change seldom.
    fn stall_limit(&self, task: TaskRef, placement: &TaskPlacement) -> Duration {
        let estimate = self.jobs[task.job].plan(task.unit).estimate;
        let worked = placement.progressed.saturating_sub(placement.started_at);
        let for_percent = worked.checked_div(placement.percent).unwrap_or_default();
        let shown = for_percent.saturating_mul(STALL_PERCENTS);
        let limit = STALL_MIN.max(estimate / STALL_ESTIMATE_DIVISOR).max(shown);
        limit.saturating_mul(1 << self.task_state(task).stalls.min(MAX_DOUBLINGS))
    }

    /// Returns whether a member of a gang has done its work, but another member has not. A member
    /// that stands still counts as stalled by itself.
    fn waits_for_members(&self, task: TaskRef, placement: &TaskPlacement) -> bool {
        let members = &self.jobs[task.job].units[task.unit as usize].tasks;
        let mut placed =
            members.touched().filter_map(|(_, member)| member.placement.as_ref());
        placement.percent >= FULL_PERCENT
            && placed.any(|member| member.percent < FULL_PERCENT)
    }
}
