//! Handling of responses to commands, and of commands without a response.

use crate::BootTime;
use crate::LossCause;
use crate::StartEffect;
use crate::StartOutcome;
use crate::TaskName;

use super::FleetScheduler;
use super::WorkerKey;
use super::run_phase::RunPhase;
use super::task_ref::TaskRef;
use super::worker_state::WorkerState;

impl FleetScheduler {
    /// Records that a copy of a start command is about to be sent. Until then, the worker has certainly not
    /// begun the run.
    pub fn start_sent(&mut self, worker: WorkerKey, name: &TaskName, run: u64) {
        if let Some(copies) = self.copies_mut(worker, name, run) {
            copies.record_sent();
        }
    }

    /// Records the effect of a copy of a start command that was sent. If the worker has certainly not begun
    /// the run, the run is no longer suspected of having crashed it.
    pub fn start_settled(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        effect: StartEffect,
        now: BootTime,
    ) {
        let Some(copies) = self.copies_mut(worker, name, run) else { return };
        copies.record_effect(effect);
        if !copies.may_have_begun()
            && let Some(task) = self.find_task(name)
        {
            self.clear_suspicion(worker, task, run, now);
        }
    }

    /// Records that a copy of a start command got no response.
    ///
    /// The worker may have executed it, or may still execute it, so no refusal of another copy
    /// releases the run.
    pub fn start_unanswered(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        now: BootTime,
    ) {
        if let Some(copies) = self.copies_mut(worker, name, run) {
            copies.record_unanswered(now);
        }
        self.record_open_start(worker, name, run, now);
        let task = self.find_run(worker, name, run);
        if let Some(placement) = task.and_then(|task| self.placement_of_mut(task)) {
            placement.started_at = now;
        }
    }

    /// Records that all copies of a start command got a response after all, so that the worker executes
    /// none of them later.
    pub fn start_answered(&mut self, worker: WorkerKey, name: &TaskName, run: u64) {
        if let Some(copies) = self.copies_mut(worker, name, run) {
            copies.record_answered();
        }
    }

    /// Returns whether the start command of a run is still wanted: the run has not been reported,
    /// released or stopped.
    pub fn wants_start(&self, worker: WorkerKey, name: &TaskName, run: u64) -> bool {
        let task = self.find_run(worker, name, run);
        let placement = task.and_then(|task| self.placement_of(task));
        placement.is_some_and(|p| p.phase == RunPhase::Starting)
    }

    /// Returns whether start commands may be sent to a worker now: it is listed, accepts tasks, responds
    /// and is not evacuated, and the store records that any job's tasks may run there.
    pub fn accepts_starts(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_some_and(WorkerState::accepts_starts)
    }

    /// Returns whether a copy of the start command of a placed run was sent and got no response.
    pub fn is_start_unanswered(
        &self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
    ) -> bool {
        let task = self.find_run(worker, name, run);
        let placement = task.and_then(|task| self.placement_of(task));
        placement.is_some_and(|placement| placement.copies.is_unanswered())
    }

    /// Handles the outcome of a command to start a task: the response to its last copy.
    pub fn start_outcome(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        if let Some(copies) = self.copies_mut(worker, name, run) {
            copies.record_outcome();
        }
        let Some(task) = self.find_run(worker, name, run) else { return };
        match outcome {
            StartOutcome::Started => self.confirm_start(task, now),
            StartOutcome::Unknown => self.start_unknown(worker, task, now),
            StartOutcome::Refused
            | StartOutcome::StaleRun
            | StartOutcome::NotPermitted
            | StartOutcome::Unhealthy => self.start_refused(worker, task, outcome, now),
        }
    }

    /// Handles the confirmation that a worker runs a task.
    fn confirm_start(&mut self, task: TaskRef, now: BootTime) {
        if let Some(placement) = self.placement_of_mut(task)
            && matches!(placement.phase, RunPhase::Starting | RunPhase::Unknown)
        {
            placement.phase = RunPhase::Running;
            placement.since = now;
            placement.progressed = now;
        }
        if let Some(placement) = self.placement_of_mut(task) {
            placement.confirmed = true;
        }
        self.mark_started(task, now);
    }

    /// Handles a start of which it is unknown whether the worker has executed it.
    fn start_unknown(&mut self, worker: WorkerKey, task: TaskRef, now: BootTime) {
        let Some(placement) = self.placement_of_mut(task) else { return };
        if placement.phase == RunPhase::Starting {
            placement.phase = RunPhase::Unknown;
            placement.since = now;
            self.record_failure(worker, now);
        }
    }

    /// Handles a refused start: the task waits again if the worker executed no copy of the command.
    fn start_refused(
        &mut self,
        worker: WorkerKey,
        task: TaskRef,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        if outcome == StartOutcome::NotPermitted {
            let unit = &mut self.jobs[task.job].units[task.unit as usize];
            unit.permissions.expire(worker, now);
        }
        let unanswered =
            self.placement_of(task).is_some_and(|p| p.copies.is_unanswered());
        if unanswered {
            self.start_unknown(worker, task, now);
            return;
        }
        if outcome == StartOutcome::Unhealthy {
            self.record_failure(worker, now);
        }
        self.abandon_run(task, LossCause::StartFailed, now);
    }

    /// Handles a worker's response to a command to stop a run.
    pub fn stop_response(
        &mut self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
        now: BootTime,
    ) {
        let Some(task) = self.find_run(worker, name, run) else { return };
        if let Some(placement) = self.placement_of_mut(task) {
            placement.phase = RunPhase::Stopping(Some(now));
        }
    }

    /// Returns the task that is placed on a worker with the given run number.
    pub(super) fn find_run(
        &self,
        worker: WorkerKey,
        name: &TaskName,
        run: u64,
    ) -> Option<TaskRef> {
        let task = self.find_task(name)?;
        let placement = self.placement_of(task)?;
        (placement.worker == worker && placement.run == run).then_some(task)
    }
}
