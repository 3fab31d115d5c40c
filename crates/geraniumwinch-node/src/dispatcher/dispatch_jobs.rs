//! Submission, query and cancellation of jobs.

use std::time::Instant;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::JobId;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::RecordDigest;
use geraniumwinch_wire::JobResponse;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::PeerIdentity;
use geraniumwinch_wire::PeerMessage;

use crate::journal::JournalOutcome;

use super::Dispatcher;
use super::ENDED_JOB_RETENTION;
use super::journal_requests::FollowUp;
use super::journal_requests::JobAdmission;

impl Dispatcher {
    /// Checks a job and writes it to the journal; it is accepted once it is persisted.
    ///
    /// A submission with the idempotency key of an accepted job gets that job as the response.
    pub(super) fn submit_job(
        &mut self,
        from: &PeerIdentity,
        correlation: u128,
        spec: JobSpec,
        team: Name,
        queue: Name,
        key: Option<RecordDigest>,
    ) {
        if let Some(key) = &key {
            if let Some(job) = self.job_keys.get(key) {
                let response = JobResponse::Accepted(job.clone());
                self.respond(from, correlation, PeerMessage::JobResponse(response));
                return;
            }
            if self.in_flight_keys.contains(key) {
                self.refuse_job(from, correlation, ErrorKind::StillRunning, "");
                return;
            }
        }
        if self.evacuation.is_some() {
            let detail = format!("failure domain {}", self.shared.domain());
            self.refuse_job(from, correlation, ErrorKind::DomainEvacuated, &detail);
            return;
        }
        if let Some(kind) =
            self.scheduler.check(&spec, self.ledger.key_of(&team), &self.ledger)
        {
            let detail = match kind {
                ErrorKind::JobNeverFits => "no worker of the domain is large enough",
                _ => "the team's upper limit never allows it in this domain",
            };
            self.refuse_job(from, correlation, kind, detail);
            return;
        }
        self.job_serial += 1;
        let domain = self.shared.domain().clone();
        let job = JobId { domain, epoch: self.epoch, serial: self.job_serial };
        self.in_flight_keys.extend(key);
        let entry = JournalEntry::JobAccepted {
            job: job.clone(),
            spec: spec.clone(),
            team: team.clone(),
            queue: queue.clone(),
            key,
        };
        let from = from.clone();
        let admission = JobAdmission { from, correlation, job, spec, team, queue, key };
        self.write_journal(vec![entry], FollowUp::AdmitJob(Box::new(admission)));
    }

    /// Refuses a request about a job, with an optional explanation.
    fn refuse_job(
        &self,
        to: &PeerIdentity,
        correlation: u128,
        kind: ErrorKind,
        detail: &str,
    ) {
        let response = refused(kind, detail);
        self.respond(to, correlation, PeerMessage::JobResponse(response));
    }

    /// Admits a job and responds to its submission, given the outcome of the journal write.
    pub(super) fn admit_job(&mut self, admission: JobAdmission, outcome: JournalOutcome) {
        let now = self.shared.now();
        let JobAdmission { from, correlation, job, spec, team, queue, key } = admission;
        if let Some(key) = &key {
            self.in_flight_keys.remove(key);
        }
        if outcome == JournalOutcome::Refused {
            self.refuse_job(&from, correlation, ErrorKind::StoreUnavailable, "");
            return;
        }
        if let Some(key) = key {
            self.job_keys.insert(key, job.clone());
        }
        let team = self.ledger.key_of(&team);
        self.scheduler.submit(job.clone(), spec, team, queue, now);
        let response = match outcome {
            JournalOutcome::Persisted => JobResponse::Accepted(job),
            _ => refused(ErrorKind::StoreUnknown, &format!("the job would be {job}")),
        };
        self.respond(&from, correlation, PeerMessage::JobResponse(response));
    }

    /// Returns the state of a job, or a refusal if it belongs to another team.
    ///
    /// Operators, for whom `team` is `None`, may see every job.
    pub(super) fn job_view(
        &self,
        job: &JobId,
        team: Option<&Name>,
        now: Instant,
    ) -> JobResponse {
        match self.scheduler.view(job, &self.ledger, now) {
            Some(view) if team.is_some_and(|team| view.team != *team) => {
                refused(ErrorKind::TeamForbidden, "")
            }
            Some(view) => JobResponse::View(view),
            None => refused(ErrorKind::JobUnknown, ""),
        }
    }

    /// Cancels a job; the response is sent once the journal write of the cancellation completes.
    pub(super) fn cancel_job(
        &mut self,
        from: &PeerIdentity,
        correlation: u128,
        job: JobId,
        team: Option<&Name>,
        now: Instant,
    ) {
        let view = self.job_view(&job, team, now);
        if matches!(view, JobResponse::Refused { .. }) {
            self.respond(from, correlation, PeerMessage::JobResponse(view));
            return;
        }
        self.scheduler.cancel(&job, &mut self.ledger, now);
        let entry = JournalEntry::JobCancelled { job: job.clone() };
        let follow_up = FollowUp::Cancelled { from: from.clone(), correlation, job };
        self.write_journal(vec![entry], follow_up);
        self.run_commands();
    }

    /// Responds to a cancellation, given the outcome of the journal write.
    pub(super) fn respond_to_cancellation(
        &self,
        to: &PeerIdentity,
        correlation: u128,
        job: &JobId,
        outcome: JournalOutcome,
    ) {
        let response = match outcome {
            JournalOutcome::Persisted => self.job_view(job, None, self.shared.now()),
            _ => refused(ErrorKind::StoreUnknown, "the cancellation may be lost"),
        };
        self.respond(to, correlation, PeerMessage::JobResponse(response));
    }

    /// Records the end of a job, so that it is evicted after the retention period.
    pub(super) fn record_job_end(&mut self, job: JobId) {
        self.ended_jobs.push_back((self.shared.now(), job));
    }

    /// Evicts ended jobs and their idempotency keys after the retention period.
    pub(super) fn evict_ended_jobs(&mut self, now: Instant) {
        while let Some((ended, _)) = self.ended_jobs.front() {
            if now.saturating_duration_since(*ended) < ENDED_JOB_RETENTION {
                return;
            }
            if let Some((_, job)) = self.ended_jobs.pop_front() {
                self.scheduler.remove(&job);
                self.job_keys.retain(|_, other| *other != job);
            }
        }
    }
}

/// Builds the refusal of a request about a job.
pub(super) fn refused(kind: ErrorKind, detail: &str) -> JobResponse {
    JobResponse::Refused {
        kind,
        retry_after_ms: kind.response().retry_after.map(|time| time.as_millis() as u64),
        detail: detail.to_owned(),
    }
}
