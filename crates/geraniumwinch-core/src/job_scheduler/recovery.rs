//! The restoration of jobs that a former owner of the failure domain accepted.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::JobId;
use crate::JobKind;
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
use super::job_state::TaskPlacement;
use super::job_state::TaskState;

/// The name that stands for a worker that is not known, in the placements of a handover.
const UNLOCATED_WORKER: &str = "";

impl JobScheduler {
    /// Restores a job of a former owner.
    ///
    /// Tasks that have not ended may be running on workers that have not reported yet. Such a task is
    /// started again only after all leases under which it may be running have expired.
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

    /// Records since when the former owner has sent nothing, if it has not handed over its placements.
    ///
    /// A worker gets no tasks until it has responded to a heartbeat that is sent after all starts of the
    /// former owner have expired, since one may still take its capacity.
    pub fn set_former_owner_silent(&mut self, since: Instant) {
        self.former_starts_expire = Some(since + START_EXPIRY + LEASE_MARGIN);
    }

    /// Restores the outcome of a task of a restored job.
    pub fn restore_end(&mut self, id: &JobId, index: u32, end: TaskOutcome) {
        let Some(&key) = self.by_id.get(id) else { return };
        let job = &mut self.jobs[key];
        // Earlier versions have recorded the success of a service's task as its end.
        if end == TaskOutcome::Succeeded && job.spec.kind == JobKind::Service {
            return;
        }
        let Some(&TaskState::Unlocated { until }) = job.tasks.get(index as usize) else {
            return;
        };
        job.tasks[index as usize] = TaskState::Ended(end);
        job.ended += 1;
        self.unlocated.remove(&(until, (key, index)));
    }

    /// Restores the cancellation of a restored job.
    pub fn restore_cancel(&mut self, id: &JobId) {
        if let Some(&key) = self.by_id.get(id) {
            self.jobs[key].cancelled = true;
        }
    }

    /// Queues unlocated tasks again once all leases under which they may be running have expired.
    pub(super) fn requeue_unlocated(&mut self, now: Instant) {
        let longest = self.task_lease + START_EXPIRY + LEASE_MARGIN;
        self.unsettled_renewals.retain(|_, sent| *sent + longest > now);
        if !self.unsettled_renewals.is_empty() {
            return;
        }
        while let Some(&(due, task)) = self.unlocated.first() {
            if due > now {
                return;
            }
            self.unlocated.pop_first();
            self.requeue(task);
        }
    }

    /// Returns the placements of all tasks that may be running, for a planned handover. A task that is not
    /// located may run on any worker, in any attempt: it gets [`UNLOCATED_WORKER`] and attempt 0.
    pub fn placements(&self) -> Vec<(TaskId, Name)> {
        let mut placements = Vec::new();
        for (&worker, tasks) in &self.on_worker {
            let Some(state) = self.workers.get(worker) else { continue };
            for &(key, index) in tasks {
                let job = &self.jobs[key];
                let TaskState::Placed(placement) = job.tasks[index as usize] else {
                    continue;
                };
                if placement.phase == TaskPhase::Reserved {
                    continue;
                }
                let id =
                    TaskId { job: job.id.clone(), index, attempt: placement.attempt };
                placements.push((id, state.spec.name.clone()));
            }
        }
        let unlocated = self.unlocated.iter().filter_map(|&(_, (key, index))| {
            let job = self.jobs.get(key)?.id.clone();
            Some((TaskId { job, index, attempt: 0 }, UNLOCATED_WORKER.into()))
        });
        placements.extend(unlocated);
        placements
    }

    /// Restores the placements of a planned handover.
    ///
    /// Tasks of restored jobs that are not among the placements may start immediately. Those that are placed
    /// on a worker that is not listed remain unlocated.
    pub fn restore_placements(
        &mut self,
        placements: &[(TaskId, Name)],
        ledger: &mut TeamLedger,
        now: Instant,
    ) {
        let mut unlocated = BTreeSet::new();
        for (id, worker) in placements {
            let Some(&key) = self.by_id.get(&id.job) else { continue };
            let state = self.jobs[key].tasks.get(id.index as usize);
            let Some(&TaskState::Unlocated { until }) = state else { continue };
            let task = (key, id.index);
            self.unlocated.remove(&(until, task));
            let Some(worker) = self.workers.find(worker) else {
                unlocated.insert((until, task));
                continue;
            };
            let start_expires = now + START_EXPIRY + LEASE_MARGIN;
            let phase = TaskPhase::Running(start_expires);
            let placement = TaskPlacement {
                worker,
                attempt: id.attempt,
                since: now,
                phase,
                start_expires: Some(start_expires),
            };
            self.book_attempt(task, placement, ledger);
            if let Some(state) = self.workers.get_mut(worker) {
                state.lease_sent = Some(now);
            }
            if self.jobs[key].cancelled {
                self.stop_task(task, false, now);
            }
        }
        if !unlocated.is_empty() {
            self.set_former_owner_silent(now);
        }
        let unplaced = std::mem::replace(&mut self.unlocated, unlocated);
        for (_, task) in unplaced {
            self.requeue(task);
        }
    }
}
