//! Admission of jobs.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::RunState;
use geraniumwinch_fleet::JobRecord;

use crate::peer_message::PeerReply;
use crate::peer_message::SubmitMessage;

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
        if self.may_precede_denial(&message) {
            return PeerReply::Refused(ErrorKind::DeadlineUnmeetable);
        }
        let id = message.id.clone();
        match self.store(message).await {
            Ok(()) => {
                self.pass_due.notify_one();
                PeerReply::Accepted
            }
            Err(kind) => {
                if kind.response().run == RunState::NotRun {
                    self.deny(&id);
                }
                PeerReply::Refused(kind)
            }
        }
    }

    /// Returns whether a submission may have been sent before its job was denied, so that it may
    /// be a delayed copy.
    fn may_precede_denial(&self, message: &SubmitMessage) -> bool {
        let sent = message.sent.filter(|sent| sent.epoch == self.authority.epoch);
        let sent = sent.map(|sent| sent.time);
        !self.journal.is_pending(&message.id)
            && self.denied_jobs.borrow().precedes_denial(&message.id, sent)
    }

    /// Records that a client is told that a job does not run.
    pub(super) fn deny(&self, job: &Name) {
        self.denied_jobs.borrow_mut().deny(job, self.ports.clock.now());
    }

    /// Stores a job, or returns why it is refused.
    async fn store(&self, message: SubmitMessage) -> Result<(), ErrorKind> {
        let SubmitMessage { id, rules, account, request, .. } = message;
        let unix_time = self.ports.clock.unix_time();
        let record = JobRecord::new(rules, account, unix_time, request);
        if !self.journal.is_pending(&id)
            && let Some(kind) = self.refusal_reason(&record)
        {
            return Err(kind);
        }
        self.journal.create(id, record).await
    }

    /// Returns why a new job is refused, or `None` if it is admitted.
    ///
    /// A job is refused if the jobs ahead of it would make it late. The threshold is lower for an
    /// account that has exceeded its share.
    fn refusal_reason(&self, record: &JobRecord) -> Option<ErrorKind> {
        let within_share = self.charge_share(&record.account);
        let load = self.scheduler.borrow().admission_load(record);
        if load > 1.0 {
            Some(ErrorKind::DeadlineUnmeetable)
        } else if !within_share && load > OVER_SHARE_MAX_LOAD {
            Some(ErrorKind::TeamLimit)
        } else {
            None
        }
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
