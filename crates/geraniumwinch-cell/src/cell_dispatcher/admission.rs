//! New jobs and cancels.

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;

use crate::peer_message::JobOrder;
use crate::peer_message::PeerReply;

use super::CellDispatcher;

/// The part of the time that a job can wait that others before it may take for a job beyond its
/// account's share.
const EXCESS_LOAD: f64 = 0.4;

impl CellDispatcher {
    /// Stores a job, once however often it comes.
    pub(super) async fn submit(&self, order: JobOrder) -> PeerReply {
        if self.scheduler.borrow().stored_state(&order.id).is_some() {
            return PeerReply::Accepted;
        }
        let JobOrder { id, rules, account, request } = order;
        let wall = self.ports.clock.unix_time();
        let record = JobRecord::new(rules, account, wall, request);
        if !self.journal.is_pending(&id)
            && let Some(kind) = self.refusal(&record)
        {
            return PeerReply::Refused(kind);
        }
        match self.journal.create(id, record).await {
            Ok(()) => {
                self.pump.notify_one();
                PeerReply::Accepted
            }
            Err(kind) => PeerReply::Refused(kind),
        }
    }

    /// Returns why a new job is not taken, if it isn't: one that would be late behind those before
    /// it, and sooner one of an account that has sent more than its share.
    fn refusal(&self, record: &JobRecord) -> Option<ErrorKind> {
        let within_share = self.take_share(&record.account);
        let load = self.scheduler.borrow().admission_load(record);
        if load > 1.0 {
            Some(ErrorKind::DeadlineUnmeetable)
        } else if !within_share && load > EXCESS_LOAD {
            Some(ErrorKind::TeamLimit)
        } else {
            None
        }
    }

    /// Counts a new job of an account and returns whether it is within the account's share.
    fn take_share(&self, account: &Name) -> bool {
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

    /// Cancels a job and answers once the store holds it.
    pub(super) async fn cancel(&self, job: &Name, now: BootTime) -> PeerReply {
        if !self.scheduler.borrow_mut().cancel(job, now) {
            return PeerReply::State(None);
        }
        self.pump.notify_one();
        self.journal.wake();
        loop {
            let changed = self.stored.notified();
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
}
