//! Admission of jobs.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::JobRecord;

use crate::peer_message::PeerReply;
use crate::peer_message::SubmitMessage;
use crate::request_tally::RequestTally;

use super::CellDispatcher;

/// The maximum admission load for a job that exceeds its account's share, that is, the fraction of
/// its allowed waiting time that the jobs ahead of it take.
const OVER_SHARE_MAX_LOAD: f64 = 0.4;

impl CellDispatcher {
    /// Stores a job. Repeated submissions store it once.
    pub(super) async fn submit(&self, message: SubmitMessage) -> PeerReply {
        if self.scheduler.borrow().stored_state(&message.id).is_some() {
            return PeerReply::Accepted;
        }
        let SubmitMessage { id, rules, account, request } = message;
        let now = self.ports.clock.now();
        if self.withdrawn_jobs.borrow().refuses(&id, now) {
            self.count_submission(|tally| tally.refused += 1);
            return PeerReply::Refused(ErrorKind::JobWithdrawn);
        }
        let unix_time = self.ports.clock.unix_time();
        // The process that took the request may have another version of the configuration.
        let rules = self.scheduler.borrow().rules_in_force(rules);
        let record = JobRecord::new(rules, account, unix_time, request);
        if !self.journal.is_pending(&id)
            && let Some(kind) = self.refusal_reason(&record)
        {
            self.count_submission(|tally| tally.refused += 1);
            return PeerReply::Refused(kind);
        }
        let began = self.ports.clock.now();
        let result = self.journal.create(id, record).await;
        let now = self.ports.clock.now();
        self.accept_delay.borrow_mut().record(now.saturating_sub(began), now);
        match result {
            Ok(()) => {
                self.count_submission(|tally| {
                    tally.stored += 1;
                    tally.storing += now.saturating_sub(began);
                });
                self.pass_due.notify_one();
                PeerReply::Accepted
            }
            Err(kind) => self.uncommitted_reply(kind),
        }
    }

    /// Counts what has become of a submission.
    fn count_submission(&self, count: impl FnOnce(&mut RequestTally)) {
        let mut tally = self.requests.get();
        count(&mut tally);
        self.requests.set(tally);
    }

    /// Returns why a new job is refused, or `None` if it is admitted.
    ///
    /// A job is refused if there is no room for it, or if the jobs ahead of it would make it late. The
    /// threshold is lower for an account that has exceeded its share.
    fn refusal_reason(&self, record: &JobRecord) -> Option<ErrorKind> {
        let within_share = self.charge_share(&record.account);
        if let Some(kind) = self.memory_refusal(record) {
            return Some(kind);
        }
        let load = self.admission_load(record);
        if load > 1.0 {
            Some(ErrorKind::DeadlineUnmeetable)
        } else if !within_share && load > OVER_SHARE_MAX_LOAD {
            Some(ErrorKind::TeamLimit)
        } else {
            None
        }
    }

    /// Returns the load that a new job meets, by processors, by calls to the permission service, or by
    /// the time that the owner takes to accept jobs.
    fn admission_load(&self, record: &JobRecord) -> f64 {
        let now = self.ports.clock.now();
        let vms = self.permission_callers(now).len();
        let available = self.permission_queue.available(record.rules.priority, vms, now);
        let scheduler = self.scheduler.borrow();
        let delay = self.accept_delay.borrow().expected(now);
        let delay_load = delay.as_secs_f64() / scheduler.slack(record).as_secs_f64();
        let call_load = scheduler.call_load(record, available, vms);
        scheduler.admission_load(record).max(call_load).max(delay_load)
    }

    /// Counts a new job of an account and returns whether the account is within its share.
    fn charge_share(&self, account: &Name) -> bool {
        let weight = self.catalog.current().and_then(|current| {
            let limits = current.catalog.accounts.iter().map(|found| &found.limit);
            limits
                .filter(|limit| limit.account == *account)
                .map(|limit| limit.weight)
                .next()
        });
        let Some(weight) = weight else { return true };
        let now = self.ports.clock.now();
        self.shares.borrow_mut().try_take(account, weight, now)
    }
}
