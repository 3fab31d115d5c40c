//! Actions that are triggered by the passage of time.

use std::time::Duration;

use crate::BootTime;
use crate::LossCause;
use crate::RunLoss;
use crate::SchedulerEvent;

use super::FleetScheduler;
use super::WorkerKey;
use super::run_phase::RunPhase;
use super::task_placement::TaskPlacement;
use super::task_ref::TaskRef;

/// How long a task may stay without a response to its start command and without a report of its run
/// before it is stopped.
const UNKNOWN_GRACE: Duration = Duration::from_millis(700);
/// The time after which a stop command without a response is retried.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(600);

impl FleetScheduler {
    /// Performs the actions that are due: abandons the runs of silent workers whose leases have
    /// expired, stops runs whose start command got no response, retries stop commands without a
    /// response, stops stalled runs, and forgets starts that can no longer be executed.
    pub fn sweep(&mut self, now: BootTime) {
        self.late_starts.expire(now);
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for worker in workers {
            self.release_held_ends(worker, now);
            let state = &self.workers[worker];
            let expired = state.has_no_lease(now);
            let tasks: Vec<TaskRef> = state.tasks.iter().copied().collect();
            for task in tasks {
                let Some(&placement) = self.placement_of(task) else { continue };
                if !expired {
                    self.sweep_run(task, placement, now);
                } else if !self.may_run_after_expiry(&placement, now) {
                    self.expire_run(task, placement, now);
                }
            }
        }
        self.sweep_recorded_starts(now);
    }

    /// Abandons a run whose worker was silent until its lease expired.
    fn expire_run(&mut self, task: TaskRef, placement: TaskPlacement, now: BootTime) {
        let worker = &self.workers[placement.worker];
        let lost = worker.silent_since.unwrap_or(now);
        self.events.push(SchedulerEvent::Expired {
            task: self.jobs[task.job].task_name(task),
            run: placement.run,
            worker: worker.info.id.clone(),
            age: lost.saturating_sub(placement.started_at),
            beside: worker.tasks.len() - 1,
        });
        if let Some(lost) = self.lost_run(task, now) {
            self.workers[placement.worker].expired_runs.push(lost);
        }
        self.abandon_run(task, LossCause::LeaseExpired, now);
    }

    /// Performs the actions that are due for one run.
    fn sweep_run(&mut self, task: TaskRef, placement: TaskPlacement, now: BootTime) {
        match placement.phase {
            RunPhase::Unknown if now >= placement.since + UNKNOWN_GRACE => {
                self.stop(task, RunLoss::single(LossCause::StartFailed), now);
            }
            RunPhase::Stopping(None) if now >= placement.since + STOP_RETRY_INTERVAL => {
                if let Some(placement) = self.placement_of_mut(task) {
                    placement.since = now;
                }
                self.send_stop(task);
            }
            RunPhase::Running => self.stop_if_stalled(task, placement, now),
            _ => {}
        }
    }
}
