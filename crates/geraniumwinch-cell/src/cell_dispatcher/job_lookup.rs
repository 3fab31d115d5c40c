//! Queries and cancellations of jobs.

use std::time::Duration;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::JobPhase;

use crate::peer_message::CancelMessage;
use crate::peer_message::PeerReply;

use super::CellDispatcher;

/// The maximum wait for the store to confirm the ownership before a job is denied.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

impl CellDispatcher {
    /// Returns the state of a job.
    pub(super) async fn query(&self, job: &Name, now: BootTime) -> PeerReply {
        let state = || self.scheduler.borrow().stored_state(job);
        if state().is_none()
            && let Err(reply) = self.confirm_ownership(now).await
        {
            return reply;
        }
        PeerReply::State(state())
    }

    /// Cancels a job and replies when the cancellation is stored.
    pub(super) async fn cancel(
        &self,
        message: CancelMessage,
        now: BootTime,
    ) -> PeerReply {
        let job = &message.id;
        self.await_submission(job).await;
        let cancel = || self.scheduler.borrow_mut().cancel(job, now);
        if !cancel() {
            if let Err(reply) = self.confirm_ownership(now).await {
                return reply;
            }
            // The job may have arrived while the ownership was being confirmed.
            self.await_submission(job).await;
            if !cancel() {
                return self.withdraw(message).await;
            }
        }
        self.pass_due.notify_one();
        self.journal.wake();
        self.await_end(job).await
    }

    /// Cancels a job that is not known: an attempt to submit it may still be on its way, and may reach the
    /// next owner.
    async fn withdraw(&self, message: CancelMessage) -> PeerReply {
        let CancelMessage { id, account } = message;
        let now = self.ports.clock.now();
        let key = self.withdrawn_jobs.borrow_mut().add(&id, &account, now);
        let Some(key) = key else {
            return PeerReply::Refused(ErrorKind::TeamLimit);
        };
        match self.journal.withdraw(key, account).await {
            Ok(()) => PeerReply::State(None),
            Err(kind) => self.uncommitted_reply(kind),
        }
    }

    /// Returns the reply to a request whose change was not committed for certain, or may have been. One that
    /// was not committed by an owner that has been replaced may be served by the next one.
    pub(super) fn uncommitted_reply(&self, kind: ErrorKind) -> PeerReply {
        let uncommitted =
            matches!(kind, ErrorKind::StoreUnavailable | ErrorKind::DomainUnowned);
        if uncommitted && self.authority.is_lost() {
            PeerReply::NotOwner
        } else {
            PeerReply::Refused(kind)
        }
    }

    /// Waits until a submitted job is stored or refused.
    async fn await_submission(&self, job: &Name) {
        loop {
            let changed = self.commit_done.notified();
            if !self.journal.is_pending(job) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the end of a job is stored.
    async fn await_end(&self, job: &Name) -> PeerReply {
        loop {
            let changed = self.commit_done.notified();
            let state = self.scheduler.borrow().stored_state(job);
            match state {
                Some((JobPhase::Live, _)) => {}
                state => return PeerReply::State(state),
            }
            if self.authority.is_lost() {
                return PeerReply::Refused(ErrorKind::StoreUnknown);
            }
            changed.await;
        }
    }

    /// Confirms that this process owned the cell at `since`, so that a job that it does not know
    /// is not stored. If it can't, returns the reply to the request: another process may have
    /// become the owner and accepted the job.
    async fn confirm_ownership(&self, since: BootTime) -> Result<(), PeerReply> {
        if self.authority.confirm(since, CONFIRM_TIMEOUT).await {
            Ok(())
        } else if self.authority.is_lost() {
            Err(PeerReply::NotOwner)
        } else {
            Err(PeerReply::Refused(ErrorKind::DomainUnowned))
        }
    }
}
