//! Attempts to commit a batch, until the outcome is known.

use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;

use crate::CallError;
use crate::CommitOutcome;
use crate::StoreItem;
use crate::StoreTransaction;
use crate::StoreWrite;
use crate::cell_metrics;
use crate::owner_record::FenceRecord;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::WORKERS_KEY;
use crate::owner_record::encode_workers;
use crate::owner_record::fence_key;
use crate::owner_record::job_key;

use super::RecordJournal;
use super::commit_lane::CommitLane;
use super::journal_batch::BatchOutcome;
use super::journal_batch::JournalBatch;

/// The delay before a failed transaction is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The timeout of a transaction's first attempt, which doubles with each attempt. If a response is
/// lost, the next attempt finds out whether the transaction was committed.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum timeout of an attempt.
const MAX_TIMEOUT: Duration = Duration::from_millis(1400);

impl RecordJournal {
    /// Creates the transaction of a batch.
    fn transaction(
        &self,
        lane: &CommitLane,
        batch: &JournalBatch,
        fence: FenceRecord,
    ) -> StoreTransaction {
        let expected = vec![
            (OWNER_KEY.to_owned(), self.owner_revision),
            (fence_key(lane.number), lane.revision.get()),
        ];
        let mut writes = vec![StoreWrite {
            key: fence_key(lane.number),
            value: fence.encode(),
            lease: None,
        }];
        let jobs = batch.jobs.iter().map(|job| (&job.id, &job.bytes));
        let records = batch.records.iter().map(|(write, _)| (&write.job, &write.bytes));
        for (job, bytes) in jobs.chain(records) {
            let (key, value) = (job_key(job), bytes.clone());
            writes.push(StoreWrite { key, value, lease: None });
        }
        for withdrawal in &batch.withdrawals {
            let key = withdrawal.key.clone();
            let value = withdrawal.account.as_bytes().to_vec();
            writes.push(StoreWrite { key, value, lease: None });
        }
        if let Some(workers) = &batch.workers {
            let value = encode_workers(workers);
            writes.push(StoreWrite { key: WORKERS_KEY.to_owned(), value, lease: None });
        }
        StoreTransaction { expected, writes, removals: batch.removals.clone() }
    }

    /// Attempts to commit a batch until the outcome is final or the ownership ends.
    pub(super) async fn commit(
        &self,
        lane: &CommitLane,
        batch: &JournalBatch,
    ) -> BatchOutcome {
        let fence = lane.next_fence(self.authority.epoch);
        let transaction = self.transaction(lane, batch, fence);
        let began = self.ports.clock.now();
        let mut maybe_committed = false;
        let mut timeout = INITIAL_TIMEOUT;
        loop {
            if self.authority.is_lost() {
                return BatchOutcome::uncommitted(maybe_committed);
            }
            let outcome = self.ports.store.commit(&transaction, timeout).await;
            timeout = (timeout * 2).min(MAX_TIMEOUT);
            match outcome {
                Ok(CommitOutcome::Committed(revision)) => {
                    lane.revision.set(revision);
                    self.record_success(began);
                    return BatchOutcome::Committed;
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    return if self.find_committed(lane, &items, fence) {
                        self.record_success(began);
                        BatchOutcome::Committed
                    } else {
                        self.authority.report_lost("store");
                        self.conflict_outcome(lane, &items, maybe_committed)
                    };
                }
                Ok(CommitOutcome::LeaseEnded) => {
                    self.authority.report_lost("store");
                    return BatchOutcome::uncommitted(maybe_committed);
                }
                Err(error) => {
                    maybe_committed |= !error.had_no_effect();
                    if self.record_failure(&error, began)
                        && !maybe_committed
                        && batch.has_waiters()
                    {
                        return BatchOutcome::NotCommitted;
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether the fence in a conflict shows that an earlier attempt of a transaction was
    /// committed, and if so records the fence's revision.
    fn find_committed(
        &self,
        lane: &CommitLane,
        items: &[StoreItem],
        fence: FenceRecord,
    ) -> bool {
        let item = lane.find_fence(items);
        let item = item.filter(|item| FenceRecord::decode(&item.value) == Some(fence));
        if let Some(item) = item {
            lane.revision.set(item.revision);
        }
        item.is_some()
    }

    /// Returns the outcome of a transaction whose fence is not in the store when the ownership has
    /// ended.
    ///
    /// If a later owner has rewritten the lane's fence, it may have replaced that of an earlier
    /// attempt. An unchanged fence shows that no attempt was committed.
    fn conflict_outcome(
        &self,
        lane: &CommitLane,
        items: &[StoreItem],
        maybe_committed: bool,
    ) -> BatchOutcome {
        let revision = lane.find_fence(items).map_or(0, |item| item.revision);
        let unchanged = revision == lane.revision.get();
        BatchOutcome::uncommitted(maybe_committed && !unchanged)
    }

    /// Records that a transaction was committed.
    fn record_success(&self, began: BootTime) {
        let now = self.ports.clock.now();
        cell_metrics::record_commit(now.saturating_sub(began));
        if self.loss_logged.replace(false) {
            log_event!(Info, "store-regained", part = "journal");
        }
        self.failing_since.set(None);
        self.last_success.set(now);
    }

    /// Records a failed attempt and returns whether the store is stalled.
    fn record_failure(&self, error: &CallError, began: BootTime) -> bool {
        cell_metrics::count_retry("commit");
        self.last_failure.set(self.ports.clock.now());
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(began.max(self.last_success.get())));
            self.authority.request_renewal();
        }
        let stalled = self.is_stalled();
        if stalled {
            if !self.loss_logged.replace(true) {
                log_event!(Warn, "store-lost", part = "journal", error = error);
            }
            self.refuse_queued();
        }
        stalled
    }
}
