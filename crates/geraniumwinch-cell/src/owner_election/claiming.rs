//! Claims of a vacant ownership.

use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::FENCES_PER_EPOCH;
use rand::Rng;

use crate::CallError;
use crate::CommitOutcome;
use crate::StoreItem;
use crate::owner_authority::OwnerAuthority;
use crate::owner_record::EPOCH_KEY;
use crate::owner_record::EpochRecord;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::OwnerRecord;
use crate::owner_record::claim_transaction;

use super::HEARTBEAT_INTERVAL;
use super::HEARTBEAT_RETRY_DELAY;
use super::OWNER_TTL;
use super::OwnerElection;

/// The timeout for the transaction that claims the ownership.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);
/// The maximum random delay before a claim.
const CLAIM_JITTER: Duration = Duration::from_millis(40);
/// The additional delay of a process that reaches few others, so that a better connected process
/// claims first.
const PARTITIONED_CLAIM_DELAY: Duration = Duration::from_millis(900);

impl OwnerElection {
    /// Claims the ownership and, if the claim succeeds, runs the dispatcher until the ownership
    /// ends.
    ///
    /// If the owner changes meanwhile, the claim is given up: a later vacancy needs new delays.
    pub(super) async fn claim(self: &Rc<Self>) {
        let changes = self.watch.changes();
        let jitter = CLAIM_JITTER.mul_f64(rand::rng().random());
        let wait = self.size_based_delay().await;
        self.watch.await_change(wait + jitter).await;
        if !self.probe_peers(0).await.domain_majority {
            self.watch.await_change(PARTITIONED_CLAIM_DELAY).await;
        }
        if !self.may_claim() || self.watch.changes() != changes {
            return;
        }
        match self.try_claim().await {
            Ok(Some((authority, revision))) => {
                self.run_dispatcher(authority, revision).await
            }
            Ok(None) => self.watch.await_change(HEARTBEAT_INTERVAL).await,
            Err(error) => {
                log_event!(Warn, "claim-failed", error = error);
                self.watch.await_change(HEARTBEAT_RETRY_DELAY).await;
            }
        }
    }

    /// Returns how long this process lets processes on larger VMs claim first.
    async fn size_based_delay(&self) -> Duration {
        // If this read fails, the claim fails as well.
        let last = self.ports.store.get(EPOCH_KEY).await.ok().flatten();
        let last = last.and_then(|item| EpochRecord::decode(&item.value));
        self.size.claim_delay(last.map(|last| last.size))
    }

    /// Writes the record of a new ownership. Returns `None` if another process claimed it first.
    async fn try_claim(&self) -> crate::Result<Option<(OwnerAuthority, u64)>> {
        let store = &self.ports.store;
        let sent = self.ports.clock.now();
        let lease = store.grant_lease(OWNER_TTL).await?;
        let last = store.get(EPOCH_KEY).await?;
        let (epoch, epoch_revision) = match &last {
            Some(item) => (read_epoch(item)? + FENCES_PER_EPOCH, item.revision),
            None => (1, 0),
        };
        let record = OwnerRecord {
            epoch,
            name: self.settings.name.clone(),
            process: self.process,
            address: self.settings.peer_address,
            size: self.size,
            lease,
        };
        let outcome = store
            .commit(&claim_transaction(&record, epoch_revision), CLAIM_TIMEOUT)
            .await;
        let revision = match outcome {
            Ok(CommitOutcome::Committed(revision)) => Some(revision),
            Ok(_) => None,
            Err(error) if error.had_no_effect() => return Err(error),
            Err(_) => self.find_claim(&record).await?,
        };
        if revision.is_none() {
            // An unused lease only takes up space until it expires.
            let _ = store.revoke_lease(lease).await;
        }
        let authority = || OwnerAuthority::new(record.epoch, lease, OWNER_TTL, sent);
        Ok(revision.map(|revision| (authority(), revision)))
    }

    /// Checks whether a claim whose response was lost was committed.
    async fn find_claim(&self, record: &OwnerRecord) -> crate::Result<Option<u64>> {
        let item = self.ports.store.get(OWNER_KEY).await?;
        let ours =
            |item: &StoreItem| OwnerRecord::decode(&item.value).as_ref() == Some(record);
        Ok(item.filter(ours).map(|item| item.revision))
    }
}

/// Reads the number of the last epoch. Without it, a new owner's commands could carry the epoch of
/// an earlier owner.
fn read_epoch(item: &StoreItem) -> crate::Result<u64> {
    let record = EpochRecord::decode(&item.value);
    let message = || format!("value of `{}` ({} bytes)", item.key, item.value.len());
    let epoch = record.map(|record| record.epoch);
    epoch.ok_or_else(|| CallError::Malformed { message: message() })
}
