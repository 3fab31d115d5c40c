//! What has to be written to the store, and what was.

use std::time::Duration;

use geraniumwinch_core::Name;

use crate::BootTime;
use crate::JobPhase;
use crate::JobRecord;
use crate::JobRequest;
use crate::Result;

use super::FleetScheduler;
use super::WorkerKey;
use super::job_slot::JobKey;

/// The longest time for which progress that ends no job waits for the store.
const PROGRESS_DELAY: Duration = Duration::from_millis(50);

/// A record that is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The job.
    pub job: Name,
    /// The change that the record holds.
    pub version: u64,
    /// The encoded record.
    pub bytes: Vec<u8>,
}

impl FleetScheduler {
    /// Notes that a job's record has changed.
    pub(super) fn touch(&mut self, key: JobKey, now: BootTime) {
        self.jobs[key].version += 1;
        self.dirty.entry(key).or_insert(now);
    }

    /// Returns whether any change must be written now.
    pub fn has_due_writes(&self, now: BootTime) -> bool {
        self.dirty.iter().any(|(&key, &since)| self.write_due(key, since, now))
    }

    /// Returns whether a job's changes must be written now: those that end it at once, but none
    /// while an earlier one is on its way.
    fn write_due(&self, key: JobKey, since: BootTime, now: BootTime) -> bool {
        let job = &self.jobs[key];
        let due = job.record.phase != job.shown || now >= since + PROGRESS_DELAY;
        due && !job.writing
    }

    /// Takes up to `most` records that must be written now.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be encoded.
    pub fn take_writes(
        &mut self,
        most: usize,
        now: BootTime,
    ) -> Result<Vec<RecordWrite>> {
        let due: Vec<JobKey> = self
            .dirty
            .iter()
            .filter(|&(&key, &since)| self.write_due(key, since, now))
            .map(|(&key, _)| key)
            .take(most)
            .collect();
        let mut writes = Vec::with_capacity(due.len());
        for key in due {
            self.dirty.remove(&key);
            let job = &mut self.jobs[key];
            job.collect_progress();
            job.writing = true;
            let bytes = encode(&job.record)?;
            writes.push(RecordWrite { job: job.id.clone(), version: job.version, bytes });
        }
        Ok(writes)
    }

    /// Notes that the store holds a change of a job.
    pub fn write_completed(&mut self, job: &str, version: u64, phase: JobPhase) {
        let Some(&key) = self.job_ids.get(job) else { return };
        let slot = &mut self.jobs[key];
        slot.writing = false;
        slot.stored = slot.stored.max(version);
        slot.shown = phase;
        let workers: Vec<WorkerKey> = self.workers.keys().collect();
        for worker in workers {
            self.advance_ends(worker);
        }
    }

    /// Has a job's record written again, as the store did not take it.
    pub fn write_rejected(&mut self, job: &str, now: BootTime) {
        if let Some(&key) = self.job_ids.get(job) {
            self.jobs[key].writing = false;
            self.dirty.entry(key).or_insert(now);
        }
    }

    /// Returns the phase that a job has in memory, which the store may not hold yet.
    pub fn current_phase(&self, job: &str) -> Option<JobPhase> {
        let &key = self.job_ids.get(job)?;
        Some(self.jobs[key].record.phase)
    }

    /// Moves the acknowledged ends of a worker over those that the store holds.
    pub(super) fn advance_ends(&mut self, worker: WorkerKey) {
        let jobs = &self.jobs;
        self.workers[worker].advance_stored(|end| {
            end.job.is_none_or(|(key, version)| {
                jobs.get(key).is_none_or(|job| job.stored >= version)
            })
        });
    }

    /// Frees the memory of ended jobs and returns those whose records have outlived
    /// `retention`, at most `most`; the caller removes them from the store.
    pub fn expire_jobs(
        &mut self,
        now: Duration,
        retention: Duration,
        most: usize,
    ) -> Vec<Name> {
        let mut expired = Vec::new();
        for (key, job) in &self.jobs {
            let ended = !job.live() && job.stored == job.version;
            let old = job.record.accepted + retention <= now;
            if ended && old && !self.dirty.contains_key(&key) {
                expired.push(key);
            }
            if expired.len() == most {
                break;
            }
        }
        let idle: Vec<JobKey> = expired
            .into_iter()
            .filter(|&key| self.placed_tasks(key).is_empty())
            .collect();
        let mut names = Vec::with_capacity(idle.len());
        for key in idle {
            if let Some(job) = self.jobs.remove(key) {
                self.job_ids.remove(&job.id);
                names.push(job.id);
            }
        }
        names
    }
}

/// Encodes a record; an ended job's is kept without its request and progress.
fn encode(record: &JobRecord) -> Result<Vec<u8>> {
    if record.phase == JobPhase::Live {
        return record.encode();
    }
    let request = JobRequest { spec: "".into(), steps: Vec::new(), schedule: None };
    let rules = record.rules.clone();
    let account = record.account.clone();
    let mut slim = JobRecord::new(rules, account, record.accepted, request);
    slim.phase = record.phase;
    slim.encode()
}
