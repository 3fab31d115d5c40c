//! Jobs that a former owner of the failure domain accepted.

use std::time::Instant;

use crate::JobId;
use crate::JobSpec;
use crate::Name;
use crate::TaskId;
use crate::TeamKey;
use crate::TeamLedger;

use super::JobScheduler;
use super::LEASE_MARGIN;
use super::START_EXPIRY;
use super::TaskOutcome;
use super::job_state::JobState;
use super::job_state::TaskPhase;
use super::job_state::TaskPlace;
use super::job_state::TaskState;

impl JobScheduler {
    /// Takes over a job of a former owner.
    ///
    /// A task that has not ended may run on a worker that has not reported yet. It starts again only
    /// after every lease under which it may run has ended.
    pub fn restore(
        &mut self,
        id: JobId,
        spec: JobSpec,
        team: TeamKey,
        queue: Name,
        now: Instant,
    ) {
        if self.by_id.contains_key(&id) {
            return;
        }
        let until = now + self.task_lease + START_EXPIRY + LEASE_MARGIN;
        let mut job = JobState::new(id.clone(), spec, team, queue, now);
        job.pending.clear();
        job.tasks.fill(TaskState::Unlocated { until });
        let count = job.tasks.len() as u32;
        let key = self.jobs.insert(job);
        self.by_id.insert(id, key);
        self.unlocated.extend((0..count).map(|index| (until, (key, index))));
    }

    /// Takes over the end of a task of a restored job.
    pub fn restore_end(&mut self, id: &JobId, index: u32, end: TaskOutcome) {
        let Some(&key) = self.by_id.get(id) else { return };
        let job = &mut self.jobs[key];
        let Some(&TaskState::Unlocated { until }) = job.tasks.get(index as usize) else {
            return;
        };
        job.tasks[index as usize] = TaskState::Ended(end);
        job.ended += 1;
        self.unlocated.remove(&(until, (key, index)));
    }

    /// Takes over the cancellation of a restored job.
    pub fn restore_cancel(&mut self, id: &JobId) {
        if let Some(&key) = self.by_id.get(id) {
            self.jobs[key].cancelled = true;
        }
    }

    /// Returns where every task is placed, for a planned handover.
    pub fn placements(&self) -> Vec<(TaskId, Name)> {
        let mut placements = Vec::new();
        for (&worker, tasks) in &self.on_worker {
            let Some(state) = self.workers.get(worker) else { continue };
            for &(key, index) in tasks {
                let job = &self.jobs[key];
                let TaskState::Placed(place) = job.tasks[index as usize] else {
                    continue;
                };
                if place.phase == TaskPhase::Reserved {
                    continue;
                }
                let id = TaskId { job: job.id.clone(), index, attempt: place.attempt };
                placements.push((id, state.spec.name.clone()));
            }
        }
        placements
    }

    /// Takes over the placements of a planned handover; what is placed nowhere may start at once.
    pub fn restore_placements(
        &mut self,
        placements: &[(TaskId, Name)],
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        for (id, worker) in placements {
            let Some(&key) = self.by_id.get(&id.job) else { continue };
            let Some(worker) = self.workers.find(worker) else { continue };
            let state = self.jobs[key].tasks.get(id.index as usize);
            let Some(&TaskState::Unlocated { until }) = state else { continue };
            self.unlocated.remove(&(until, (key, id.index)));
            let phase = TaskPhase::Running(now + START_EXPIRY);
            let place = TaskPlace { worker, attempt: id.attempt, since: now, phase };
            self.put_as((key, id.index), place, ledger);
            if let Some(state) = self.workers.get_mut(worker) {
                state.leased = Some(now);
            }
            if self.jobs[key].cancelled {
                self.stop_task((key, id.index), false, now);
            }
        }
        let unplaced = std::mem::take(&mut self.unlocated);
        for (_, task) in unplaced {
            self.requeue(task);
        }
    }
}
