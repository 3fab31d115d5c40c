//! Attribution of lost runs to the decisions and failures that ended them.
//!
//! The first decision to stop a run counts. Members of a gang may be reported as ended before the
//! member whose loss broke the gang, so their work is kept back until its cause is known or the
//! gang starts again.

use std::collections::BTreeMap;

use crate::BootTime;
use crate::JobPhase;
use crate::LossCause;
use crate::LossTally;
use crate::RunLoss;
use crate::RunOutcome;
use crate::lost_work::core_seconds;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_placement::TaskPlacement;
use super::task_ref::TaskRef;

impl FleetScheduler {
    /// Returns and clears the work that was lost since the last call, by cause.
    pub fn take_lost_work(&mut self) -> BTreeMap<RunLoss, LossTally> {
        self.lost_work.take()
    }

    /// Accounts for a run that has ended and is no longer placed.
    pub(super) fn account_end(
        &mut self,
        task: TaskRef,
        placement: &TaskPlacement,
        outcome: RunOutcome,
        now: BootTime,
    ) {
        let cpu_millis = self.jobs[task.job].plan(task.unit).reserved().cpu_millis;
        if self.is_used(task, outcome) {
            return;
        }
        let tally = LossTally::of_run(cpu_millis, placement.unsaved(now));
        match placement.work.loss.or_else(|| own_loss(outcome)) {
            Some(loss) => self.count_loss(task, loss, tally),
            None => self.count_unexplained(task, tally),
        }
    }

    /// Accounts for a run that is abandoned without a reported end.
    pub(super) fn account_abandoned(
        &mut self,
        task: TaskRef,
        placement: &TaskPlacement,
        cause: LossCause,
        now: BootTime,
    ) {
        let lost = !self.task_state(task).done && placement.confirmed;
        let crashed = cause == LossCause::WorkerLost;
        let silent_since =
            self.workers.get(placement.worker).and_then(|state| state.silent_since);
        let end = silent_since.filter(|_| crashed).unwrap_or(now);
        let loss = placement.work.loss.unwrap_or(RunLoss::single(cause));
        if lost {
            let cpu_millis = self.jobs[task.job].plan(task.unit).reserved().cpu_millis;
            let tally = LossTally::of_run(cpu_millis, placement.unsaved(end));
            self.count_loss(task, loss, tally);
        } else {
            self.set_gang_cause(task, loss.cause);
        }
    }

    /// Accounts for the orphaned runs of a worker since its last report.
    pub(super) fn account_orphans(&mut self, worker: WorkerKey, now: BootTime) {
        let state = &mut self.workers[worker];
        let time = now.saturating_sub(state.reported_at);
        state.reported_at = now;
        let core_seconds = core_seconds(state.orphan_usage.cpu_millis, time);
        let tally = LossTally { runs: 0, core_seconds };
        self.lost_work.add(RunLoss::single(LossCause::Orphaned), tally);
    }

    /// Notes why a run of a gang member ends, unless another member's loss is known already.
    pub(super) fn set_gang_cause(&mut self, task: TaskRef, cause: LossCause) {
        let job = &mut self.jobs[task.job];
        if !job.plan(task.unit).gang {
            return;
        }
        let end = &mut job.units[task.unit as usize].gang_end;
        if end.cause.is_none() {
            end.cause = Some(cause);
            let pending = std::mem::take(&mut end.pending);
            self.lost_work.add(RunLoss::of_gang(cause), pending);
        }
    }

    /// Returns the loss of the other members of a gang that was broken, if its cause is known.
    pub(super) fn gang_loss(&self, task: TaskRef) -> Option<RunLoss> {
        let end = &self.jobs[task.job].units[task.unit as usize].gang_end;
        end.cause.map(RunLoss::of_gang)
    }

    /// Forgets why the former run of a gang ended, when its next run begins or its job ends.
    pub(super) fn reset_gang_end(&mut self, task: TaskRef) {
        let unit = &mut self.jobs[task.job].units[task.unit as usize];
        let end = std::mem::take(&mut unit.gang_end);
        self.lost_work.add(RunLoss::of_gang(LossCause::Unknown), end.pending);
    }

    /// Returns why the runs of a job are lost that ended in the given phase.
    pub(super) fn job_loss(phase: JobPhase) -> RunLoss {
        RunLoss::single(match phase {
            JobPhase::Cancelled => LossCause::Cancelled,
            JobPhase::Failed => LossCause::JobFailed,
            JobPhase::Live | JobPhase::Completed => LossCause::JobCompleted,
        })
    }

    /// Returns whether the work of a run that has ended is of use: it is done while its job still
    /// needs it, or the run belongs to a gang that is done.
    fn is_used(&self, task: TaskRef, outcome: RunOutcome) -> bool {
        let job = &self.jobs[task.job];
        let phase = job.record.phase;
        let needed = matches!(phase, JobPhase::Live | JobPhase::Completed);
        let done_with_gang = job.plan(task.unit).gang && self.task_state(task).done;
        needed && (outcome == RunOutcome::Done || done_with_gang)
    }

    /// Counts the loss of a run.
    fn count_loss(&mut self, task: TaskRef, loss: RunLoss, tally: LossTally) {
        self.set_gang_cause(task, loss.cause);
        self.lost_work.add(loss, tally);
    }

    /// Counts the loss of a run that has ended without a cause of its own: that of a gang member
    /// under the cause of the first lost member, as soon as it is known.
    fn count_unexplained(&mut self, task: TaskRef, tally: LossTally) {
        let job = &mut self.jobs[task.job];
        let gang = job.plan(task.unit).gang;
        let end = &mut job.units[task.unit as usize].gang_end;
        match end.cause {
            _ if !gang => {
                self.lost_work.add(RunLoss::single(LossCause::Unknown), tally);
            }
            Some(cause) => self.lost_work.add(RunLoss::of_gang(cause), tally),
            None => end.pending.add(tally),
        }
    }
}

/// Returns the loss of a run that no decision of this owner has ended, if its outcome tells.
fn own_loss(outcome: RunOutcome) -> Option<RunLoss> {
    let cause = match outcome {
        RunOutcome::Broken | RunOutcome::Alone | RunOutcome::Stopped => return None,
        RunOutcome::Failed => LossCause::Failed,
        RunOutcome::LeaseExpired => LossCause::LeaseExpired,
        // The job has ended otherwise.
        RunOutcome::Done => LossCause::Cancelled,
    };
    Some(RunLoss::single(cause))
}
