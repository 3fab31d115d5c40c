//! Crashes of workers, and tasks that cause them.
//!
//! A worker that no longer reports a confirmed attempt, and did not report its end, has crashed or
//! restarted. Whoever started last there is suspected; a task that is suspected again fails.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::RunCrash;
use crate::WorkerKey;

use super::JobScheduler;
use super::TaskOutcome;
use super::job_state::JobKey;
use super::job_state::TaskPlacement;
use super::job_state::TaskRef;

/// An attempt that was lost with its worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostAttempt {
    task: TaskRef,
    crash: RunCrash,
}

impl LostAttempt {
    /// Creates the record of an attempt whose worker last answered a heartbeat that was sent at
    /// `answered`.
    pub(super) fn new(
        task: TaskRef,
        placement: TaskPlacement,
        answered: Option<Instant>,
    ) -> Self {
        let age = answered.map(|at| at.saturating_duration_since(placement.since));
        let confirmed = placement.start_expires.is_none();
        let crash = RunCrash::new(placement.attempt, age.unwrap_or_default(), confirmed);
        LostAttempt { task, crash }
    }
}

impl JobScheduler {
    /// Records the crash of a worker under attempts whose tasks wait again, and fails the tasks that
    /// have caused it as far as can be told. A worker that was leaving has not crashed.
    pub(super) fn record_crash(&mut self, worker: WorkerKey, mut lost: Vec<LostAttempt>) {
        let leaving = self.workers.get(worker).is_none_or(|state| state.spec.leaving);
        let Some(youngest) = lost.iter().map(|attempt| attempt.crash.age).min() else {
            return;
        };
        if leaving {
            return;
        }
        for LostAttempt { task: (key, index), crash } in &mut lost {
            crash.compare_age(youngest);
            let history = self.jobs[*key].crashes.entry(*index).or_default();
            history.clear_if_survived(crash.age);
        }
        let repeated: Vec<TaskRef> = lost
            .iter()
            .filter(|attempt| self.is_repeated(attempt))
            .map(|attempt| attempt.task)
            .collect();
        let culprits: BTreeSet<JobKey> = repeated.iter().map(|(key, _)| *key).collect();
        if culprits.len() == 1 {
            repeated.into_iter().for_each(|task| self.give_up(task));
        }
        for LostAttempt { task, crash } in lost {
            let history = self.jobs[task.0].crashes.entry(task.1).or_default();
            history.add(crash);
            if history.is_exhausted() {
                self.give_up(task);
            }
        }
    }

    /// Returns whether a lost attempt shows that its task has caused the crash.
    fn is_repeated(&self, attempt: &LostAttempt) -> bool {
        let (key, index) = attempt.task;
        let history = self.jobs[key].crashes.get(&index);
        history.is_some_and(|history| history.is_repeated_by(&attempt.crash))
    }

    /// Fails a waiting task that crashes its workers.
    fn give_up(&mut self, task: TaskRef) {
        let state = self.jobs[task.0].tasks[task.1 as usize];
        self.discard_wait(task, state);
        self.end_task(task, TaskOutcome::Failed);
    }
}
