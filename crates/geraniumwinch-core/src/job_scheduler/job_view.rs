//! Views of jobs for clients and for snapshots.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;
use crate::JobKind;
use crate::Name;
use crate::TeamKey;
use crate::TeamLedger;

use super::JobScheduler;
use super::TaskOutcome;
use super::job_state::JobState;
use super::job_state::TaskPhase;
use super::job_state::TaskState;

/// The status of a job as shown to clients.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The identifier of the job.
    pub id: String,
    /// The team that the job belongs to.
    pub team: Name,
    /// The queue to which the job was submitted.
    pub queue: Name,
    /// The state of the job: `waiting`, `running`, `ended` or `cancelled`.
    pub state: String,
    /// The number of waiting tasks.
    pub waiting: u32,
    /// The number of tasks placed on workers.
    pub running: u32,
    /// The number of tasks that succeeded.
    pub succeeded: u32,
    /// The number of tasks that failed.
    pub failed: u32,
    /// The number of tasks that were cancelled.
    pub cancelled: u32,
    /// The reason why tasks are waiting, if any are.
    pub waits_for: Option<String>,
    /// The time since the job was accepted, or restored after a takeover, in milliseconds.
    pub age_ms: u64,
}

impl JobScheduler {
    /// Returns the status of a job.
    pub fn view(&self, id: &JobId, ledger: &TeamLedger, now: Instant) -> Option<JobView> {
        let job = &self.jobs[*self.by_id.get(id)?];
        let count = |wanted: fn(&TaskState) -> bool| {
            job.tasks.iter().filter(|state| wanted(state)).count() as u32
        };
        let running = count(|state| matches!(state, TaskState::Placed(_)));
        let ended = job.ended as usize == job.tasks.len();
        let state = match (ended, job.cancelled, running) {
            (true, true, _) => "cancelled",
            (true, false, _) => "ended",
            (false, _, 0) => "waiting",
            (false, _, _) => "running",
        };
        Some(JobView {
            id: id.to_string(),
            team: ledger.name(job.team).clone(),
            queue: job.queue.clone(),
            state: state.to_owned(),
            waiting: job.tasks.len() as u32 - running - job.ended,
            running,
            succeeded: count(|state| *state == TaskState::Ended(TaskOutcome::Succeeded)),
            failed: count(|state| *state == TaskState::Ended(TaskOutcome::Failed)),
            cancelled: count(|state| *state == TaskState::Ended(TaskOutcome::Cancelled)),
            waits_for: self.wait_reason(job, ledger, now),
            age_ms: now.saturating_duration_since(job.accepted).as_millis() as u64,
        })
    }

    /// Returns the reason why tasks of a job are waiting, or `None` if none are.
    fn wait_reason(
        &self,
        job: &JobState,
        ledger: &TeamLedger,
        now: Instant,
    ) -> Option<String> {
        let reserved = |state: &TaskState| match state {
            TaskState::Placed(placement) => placement.phase == TaskPhase::Reserved,
            _ => false,
        };
        if job.tasks.iter().any(|state| matches!(state, TaskState::Unlocated { .. })) {
            return Some("workers that have not reported since the takeover".to_owned());
        }
        if job.tasks.iter().any(|state| matches!(state, TaskState::Delayed { .. })) {
            return Some("the backoff after a run that has ended".to_owned());
        }
        if job.tasks.iter().any(reserved) {
            return Some("preempted tasks to leave their worker".to_owned());
        }
        if job.pending.is_empty() {
            return None;
        }
        if self.evacuated {
            return Some(
                "the evacuation of the failure domain to be taken back".to_owned(),
            );
        }
        let together = match job.spec.kind {
            JobKind::Gang => job.pending.len() as u32,
            JobKind::Batch | JobKind::Service => 1,
        };
        if !ledger.allows(job.team, together) {
            let team = ledger.name(job.team);
            return Some(format!("the upper limit of team {team}"));
        }
        if self.workers.best_fit(&job.spec.size, &[], now).is_none() {
            return Some("a worker with enough free room".to_owned());
        }
        Some("its turn".to_owned())
    }

    /// Returns all jobs that have not been removed, for a snapshot.
    pub fn snapshot_jobs(&self) -> impl Iterator<Item = JobSnapshot<'_>> {
        self.jobs.values().map(|job| JobSnapshot { job })
    }
}

/// A job to be included in a snapshot.
#[derive(Debug)]
pub struct JobSnapshot<'a> {
    job: &'a JobState,
}

impl JobSnapshot<'_> {
    /// Returns the identifier of the job.
    pub fn id(&self) -> &JobId {
        &self.job.id
    }

    /// Returns the description of the job.
    pub fn spec(&self) -> &crate::JobSpec {
        &self.job.spec
    }

    /// Returns the team and the queue of the job.
    pub fn team_and_queue(&self) -> (TeamKey, &Name) {
        (self.job.team, &self.job.queue)
    }

    /// Returns whether all tasks have ended.
    pub fn ended(&self) -> bool {
        self.job.ended as usize == self.job.tasks.len()
    }

    /// Returns whether the job was cancelled.
    pub fn cancelled(&self) -> bool {
        self.job.cancelled
    }

    /// Returns the indices and outcomes of the tasks that have ended.
    pub fn ends(&self) -> impl Iterator<Item = (u32, TaskOutcome)> {
        self.job.tasks.iter().enumerate().filter_map(|(index, state)| match state {
            TaskState::Ended(end) => Some((index as u32, *end)),
            _ => None,
        })
    }
}
