//! Claims of the ownership: who lets whom claim first, and what the store is told.

use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use rand::Rng;

use crate::CallError;
use crate::CommitOutcome;
use crate::StoreItem;
use crate::authority::OwnerAuthority;
use crate::owner_record::EPOCH_KEY;
use crate::owner_record::EpochRecord;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::OwnerRecord;
use crate::owner_record::claim_batch;

use super::CellOwner;
use super::HELLO;
use super::HELLO_RETRY;
use super::OWNER_TTL;

/// The longest wait for the answer to a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest random wait before a claim.
const CLAIM_JITTER: Duration = Duration::from_millis(40);
/// The wait of a process that reaches few others, so that a better placed one claims first.
const CUT_OFF_WAIT: Duration = Duration::from_millis(900);

impl CellOwner {
    /// Claims the ownership and, if it is won, dispatches until it ends.
    pub(super) async fn claim(self: &Rc<Self>) {
        let jitter = CLAIM_JITTER.mul_f64(rand::rng().random());
        let wait = self.size_wait().await;
        self.watch.await_change(wait + jitter).await;
        if !self.survey(0).await.most_domains {
            self.watch.await_change(CUT_OFF_WAIT).await;
        }
        if !self.may_claim() {
            return;
        }
        match self.try_claim().await {
            Ok(Some((authority, revision))) => self.dispatch(authority, revision).await,
            Ok(None) => self.watch.await_change(HELLO).await,
            Err(error) => {
                log_event!(Warn, "claim-failed", error = error);
                self.watch.await_change(HELLO_RETRY).await;
            }
        }
    }

    /// Returns how long this process lets those on larger VMs claim first.
    async fn size_wait(&self) -> Duration {
        // Without an answer the claim fails anyway.
        let last = self.ports.store.get(EPOCH_KEY).await.ok().flatten();
        let last = last.and_then(|item| EpochRecord::decode(&item.value));
        self.size.claim_delay(last.map(|last| last.size))
    }

    /// Writes the record of a new ownership; nothing if another process was faster.
    async fn try_claim(&self) -> crate::Result<Option<(OwnerAuthority, u64)>> {
        let store = &self.ports.store;
        let sent = self.ports.clock.now();
        let lease = store.grant_lease(OWNER_TTL).await?;
        let last = store.get(EPOCH_KEY).await?;
        let (last_epoch, epoch_revision) = match &last {
            Some(item) => (read_epoch(item)?, item.revision),
            None => (0, 0),
        };
        let record = OwnerRecord {
            epoch: last_epoch + 1,
            name: self.settings.name.clone(),
            process: self.process,
            address: self.settings.peer_address,
            size: self.size,
            lease,
        };
        let outcome =
            store.commit(&claim_batch(&record, epoch_revision), CLAIM_TIMEOUT).await;
        let revision = match outcome {
            Ok(CommitOutcome::Committed(revision)) => Some(revision),
            Ok(_) => None,
            Err(error) if error.had_no_effect() => return Err(error),
            Err(_) => self.find_claim(&record).await?,
        };
        if revision.is_none() {
            // Without a record the lease only takes room until it ends by itself.
            let _ = store.revoke_lease(lease).await;
        }
        let authority = || OwnerAuthority::new(record.epoch, lease, OWNER_TTL, sent);
        Ok(revision.map(|revision| (authority(), revision)))
    }

    /// Finds out whether a claim without an answer was carried out.
    async fn find_claim(&self, record: &OwnerRecord) -> crate::Result<Option<u64>> {
        let item = self.ports.store.get(OWNER_KEY).await?;
        let ours =
            |item: &StoreItem| OwnerRecord::decode(&item.value).as_ref() == Some(record);
        Ok(item.filter(ours).map(|item| item.revision))
    }
}

/// Reads the number of the last epoch: without it, a new owner's orders could bear an older one's.
fn read_epoch(item: &StoreItem) -> crate::Result<u64> {
    let record = EpochRecord::decode(&item.value);
    let message = || format!("{} has {} bytes", item.key, item.value.len());
    let epoch = record.map(|record| record.epoch);
    epoch.ok_or_else(|| CallError::Malformed { message: message() })
}
