//! Job records that have to be written to the store, and the results of writes.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::JobPhase;
use crate::JobRecord;
use crate::JobRequest;
use crate::Result;

use super::FleetScheduler;
use super::WorkerKey;
use super::task_ref::JobKey;

/// The maximum delay before progress that does not end a job is written.
const PROGRESS_DELAY: Duration = Duration::from_millis(50);

/// A job record to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job.
    pub job: Name,
    /// The version of the job that the record holds.
    pub version: u64,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

impl FleetScheduler {
    /// Marks a job's record as changed.
    pub(super) fn mark_dirty(&mut self, key: JobKey, now: BootTime) {
        self.jobs[key].version += 1;
        self.dirty.entry(key).or_insert(now);
    }

    /// Returns whether any record must be written now.
    pub fn has_due_writes(&self, now: BootTime) -> bool {
        self.dirty.iter().any(|(&key, &since)| self.write_due(key, since, now))
    }

    /// Returns whether a job's record must be written now. The end of a job, and starts that the next
    /// owner has to know, are written without delay, but nothing is written while an earlier write is in
    /// flight.
    fn write_due(&self, key: JobKey, since: BootTime, now: BootTime) -> bool {
        let job = &self.jobs[key];
        let urgent = job.record.phase != job.stored_phase
            || self.recorded_starts.is_unwritten(key);
        (urgent || now >= since + PROGRESS_DELAY) && !job.writing
    }

    /// Returns up to `limit` jobs whose records must be written now: first those that have ended, whose
    /// clients wait, then those whose progress has waited the longest.
    fn due_jobs(&self, limit: usize, now: BootTime) -> Vec<JobKey> {
        let mut due: Vec<(bool, BootTime, JobKey)> = self
            .dirty
            .iter()
            .filter(|&(&key, &since)| self.write_due(key, since, now))
            .map(|(&key, &since)| (self.jobs[key].live(), since, key))
            .collect();
        due.sort_unstable();
        due.into_iter().take(limit).map(|(_, _, key)| key).collect()
    }

    /// Returns up to `limit` records that must be written now, and marks them as in flight.
    ///
    /// # Errors
    ///
    /// Fails if a record cannot be encoded.
    pub fn take_writes(
        &mut self,
        limit: usize,
        now: BootTime,
    ) -> Result<Vec<RecordWrite>> {
        let due = self.due_jobs(limit, now);
        let mut writes = Vec::with_capacity(due.len());
        for key in due {
            self.dirty.remove(&key);
            let job = &mut self.jobs[key];
            job.update_progress();
            job.record.open_starts = self.recorded_starts.take_unwritten(key);
            job.writing = true;
            let bytes = encode(&job.record)?;
            writes.push(RecordWrite { job: job.id.clone(), version: job.version, bytes });
        }
        Ok(writes)
    }

    /// Handles the confirmation that the store holds a version of a job's record.
    pub fn write_completed(&mut self, job: &str, version: u64, phase: JobPhase) {
        let Some(&key) = self.job_ids.get(job) else { return };
        let state = &mut self.jobs[key];
        state.writing = false;
        state.stored_version = state.stored_version.max(version);
        state.stored_phase = phase;
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for worker in workers {
            self.advance_ends(worker);
        }
    }

    /// Marks a job's record for another write after the store did not accept it.
    pub fn write_rejected(&mut self, job: &str, now: BootTime) {
        if let Some(&key) = self.job_ids.get(job) {
            self.jobs[key].writing = false;
            self.dirty.entry(key).or_insert(now);
        }
    }

    /// Returns the phase of a job in memory, which may not be in the store yet.
    pub fn current_phase(&self, job: &str) -> Option<JobPhase> {
        let &key = self.job_ids.get(job)?;
        Some(self.jobs[key].record.phase)
    }

    /// Advances the acknowledged ends of a worker past those that the store holds.
    pub(super) fn advance_ends(&mut self, worker: WorkerKey) {
        let jobs = &self.jobs;
        self.workers[worker].advance_stored(|end| {
            end.job.is_none_or(|(key, version)| {
                jobs.get(key).is_none_or(|job| job.stored_version >= version)
            })
        });
    }

    /// Removes up to `limit` jobs whose ends have been in the store for `retention`, and returns them so
    /// that the caller can remove their records from the store. To be called regularly: the time counts
    /// from the first call that finds the end there.
    pub fn expire_jobs(
        &mut self,
        now: BootTime,
        retention: Duration,
        limit: usize,
    ) -> Vec<Name> {
        let mut expired = Vec::new();
        for (key, job) in &mut self.jobs {
            let stored = job.stored_version == job.version;
            if job.live() || !stored || self.dirty.contains_key(&key) {
                continue;
            }
            job.forget_progress();
            let ended_by = *job.ended_by.get_or_insert(now);
            if ended_by.saturating_add(retention) <= now && expired.len() < limit {
                expired.push(key);
            }
        }
        let idle: Vec<JobKey> = expired
            .into_iter()
            .filter(|&key| self.placed_tasks(key).is_empty())
            .collect();
        let mut names = Vec::with_capacity(idle.len());
        for key in idle {
            self.late_starts.forget_job(key);
            self.recorded_starts.forget_job(key);
            if let Some(job) = self.jobs.remove(key) {
                self.job_ids.remove(&job.id);
                self.memory_use.forget_job(&job.record.account, job.memory_bytes);
                names.push(job.id);
            }
        }
        names
    }
}

/// Encodes a record. That of an ended job is written without its request and progress, but with the starts
/// whose copies hold up the acknowledgement of its ends.
fn encode(record: &JobRecord) -> Result<Vec<u8>> {
    if record.phase == JobPhase::Live {
        return record.encode();
    }
    let request = JobRequest::default();
    let rules = record.rules.clone();
    let account = record.account.clone();
    let mut slim = JobRecord::new(rules, account, record.accepted, request);
    slim.phase = record.phase;
    slim.open_starts = record.open_starts.clone();
    slim.encode()
}
