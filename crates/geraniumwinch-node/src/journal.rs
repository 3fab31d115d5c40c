//! The journal of a failure domain, which is written to the store.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::JournalEntry;
use geraniumwinch_wire::MirrorBatch;
use geraniumwinch_wire::PeerMessage;
use tokio::sync::mpsc;

use crate::NodeError;
use crate::Result;
use crate::dispatcher::TakeSnapshot;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::platform_store::PlatformStore;
use crate::platform_store::StoreCondition;
use crate::platform_store::StoreWrite;
use crate::store_keys;

/// Maximum number of entries in a batch, which keeps a stored value well below a megabyte.
const MAX_BATCH: usize = 1000;
/// Number of batches after which the journal is compacted.
const COMPACTION_THRESHOLD: u64 = 300;
/// Number of batches that are read from the store per call.
const PAGE_SIZE: usize = 100;
/// Minimum interval between the starts of two writes, which limits the rate of calls to the store.
const WRITE_PERIOD: Duration = Duration::from_millis(50);
/// How long another process may take to confirm a mirrored batch.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two attempts to write the backlog while the store is unavailable.
const OUTAGE_RETRY_PERIOD: Duration = Duration::from_millis(500);

/// The outcome of writing journal entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JournalOutcome {
    /// The entries are in the store or, while it is unavailable, mirrored by another process.
    Persisted,
    /// The entries may have been written; the write is retried if possible.
    Unknown,
    /// The entries were not written and will not be.
    Refused,
}

impl JournalOutcome {
    /// Combines the outcomes of two sets of entries.
    fn and(self, other: JournalOutcome) -> JournalOutcome {
        if self == other { self } else { JournalOutcome::Unknown }
    }
}

/// A request to write entries to the journal.
pub(crate) struct JournalRequest {
    pub(crate) entries: Vec<JournalEntry>,
    /// Whether the entries replace everything written before.
    pub(crate) snapshot: bool,
    /// Called with the outcome.
    pub(crate) done: Box<dyn FnOnce(JournalOutcome) + Send>,
}

/// The channel through which the journal writer receives its requests.
pub(crate) type JournalSender = mpsc::UnboundedSender<JournalRequest>;

/// A batch of entries with its sequence number.
#[derive(Debug, Clone)]
struct JournalBatch {
    sequence: u64,
    entries: Vec<JournalEntry>,
}

/// Writes the journal of a domain, with one write in flight; waiting requests share the next one.
pub(crate) struct JournalWriter {
    shared: Arc<NodeShared>,
    store: Rc<dyn PlatformStore>,
    epoch: u64,
    owner_revision: i64,
    sequence: u64,
    /// Number of first batches that contain what other processes mirrored in earlier epochs.
    ///
    /// These processes are told that the store has a batch only once it has all of these.
    inherited_batches: u64,
    /// Number of batches written since the last snapshot.
    since_snapshot: u64,
    snapshot_requested: bool,
    /// Batches that are not known to be in the store yet.
    backlog: VecDeque<JournalBatch>,
    next_write: Option<Instant>,
}

/// The outcome of a write to the store.
enum WriteOutcome {
    Written,
    Failed,
    OwnershipLost,
}

impl JournalWriter {
    /// Creates a writer for an epoch whose ownership record is at a revision in the store.
    ///
    /// Its first request must contain the `inherited` entries that were only mirrored so far.
    pub(crate) fn new(
        shared: Arc<NodeShared>,
        store: Rc<dyn PlatformStore>,
        epoch: u64,
        owner_revision: i64,
        inherited: usize,
    ) -> Self {
        JournalWriter {
            shared,
            store,
            epoch,
            owner_revision,
            sequence: 0,
            inherited_batches: inherited.div_ceil(MAX_BATCH) as u64,
            since_snapshot: 0,
            snapshot_requested: false,
            backlog: VecDeque::new(),
            next_write: None,
        }
    }

    /// Writes requests until the channel is closed or the ownership is lost.
    ///
    /// Returns whether the ownership was lost.
    pub(crate) async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<JournalRequest>,
    ) -> bool {
        loop {
            let request = if self.backlog.is_empty() {
                requests.recv().await
            } else {
                match tokio::time::timeout(OUTAGE_RETRY_PERIOD, requests.recv()).await {
                    Ok(request) => request,
                    Err(_) => {
                        if self.flush_backlog().await {
                            return true;
                        }
                        continue;
                    }
                }
            };
            let Some(first) = request else { return false };
            self.wait_for_write_period().await;
            let mut batch = vec![first];
            let mut size = batch[0].entries.len();
            while size < MAX_BATCH && !batch.iter().any(|request| request.snapshot) {
                let Ok(next) = requests.try_recv() else { break };
                size += next.entries.len();
                batch.push(next);
            }
            if self.write_requests(batch).await {
                return true;
            }
        }
    }

    /// Waits until the next write may start; requests that arrive meanwhile join it.
    async fn wait_for_write_period(&mut self) {
        let now = self.shared.now();
        if let Some(next) = self.next_write
            && next > now
        {
            tokio::time::sleep(next - now).await;
        }
        self.next_write = Some(self.shared.now() + WRITE_PERIOD);
    }

    /// Writes the entries of several requests together; returns whether the ownership is lost.
    async fn write_requests(&mut self, requests: Vec<JournalRequest>) -> bool {
        let first = self.sequence + 1;
        let snapshot = requests.iter().any(|request| request.snapshot);
        let mut entries = Vec::new();
        let mut done = Vec::new();
        for request in requests {
            entries.extend(request.entries);
            done.push(request.done);
        }
        let mut combined: Option<JournalOutcome> = None;
        let mut lost = false;
        for chunk in entries.chunks(MAX_BATCH) {
            let (outcome, chunk_lost) = self.persist(chunk.to_vec()).await;
            combined = Some(combined.map_or(outcome, |others| others.and(outcome)));
            lost |= chunk_lost;
        }
        // A request without entries only waits for the requests before it, which are complete.
        let outcome = combined.unwrap_or(JournalOutcome::Persisted);
        if snapshot
            && outcome == JournalOutcome::Persisted
            && !lost
            && self.backlog.is_empty()
        {
            self.delete_before(first).await;
        }
        done.into_iter().for_each(|done| done(outcome));
        if !lost
            && self.since_snapshot >= COMPACTION_THRESHOLD
            && !self.snapshot_requested
        {
            self.snapshot_requested = true;
            if let Some(dispatcher) = self.shared.dispatcher.load_full() {
                dispatcher.do_send(TakeSnapshot);
            }
        }
        lost
    }

    /// Writes entries to the store, or mirrors them to another process while it is unavailable.
    ///
    /// Returns the outcome and whether the ownership is lost.
    async fn persist(&mut self, entries: Vec<JournalEntry>) -> (JournalOutcome, bool) {
        self.sequence += 1;
        self.since_snapshot += 1;
        let batch = JournalBatch { sequence: self.sequence, entries };
        if !self.backlog.is_empty() && self.flush_backlog().await {
            return (JournalOutcome::Unknown, true);
        }
        let mut attempted = false;
        if self.backlog.is_empty() {
            attempted = true;
            match self.write(&batch).await {
                WriteOutcome::Written => return (JournalOutcome::Persisted, false),
                WriteOutcome::OwnershipLost => return (JournalOutcome::Unknown, true),
                WriteOutcome::Failed => {}
            }
        }
        let mirrored = self.mirror(&batch).await;
        if mirrored || attempted {
            self.backlog.push_back(batch);
        }
        match (mirrored, attempted) {
            (true, _) => (JournalOutcome::Persisted, false),
            (false, true) => (JournalOutcome::Unknown, false),
            (false, false) => (JournalOutcome::Refused, false),
        }
    }

    /// Writes the backlog to the store; returns whether the ownership is lost.
    async fn flush_backlog(&mut self) -> bool {
        while let Some(batch) = self.backlog.front().cloned() {
            match self.write(&batch).await {
                WriteOutcome::Written => {
                    self.backlog.pop_front();
                }
                WriteOutcome::Failed => return false,
                WriteOutcome::OwnershipLost => return true,
            }
        }
        false
    }

    /// Tries to write a batch; a batch that an earlier attempt has written counts as written.
    async fn write(&mut self, batch: &JournalBatch) -> WriteOutcome {
        let started = self.shared.now();
        let domain = self.shared.domain();
        let key = store_keys::journal(domain, self.epoch, batch.sequence);
        let value =
            serde_json::to_vec(&batch.entries).expect("entries can be written as JSON");
        let owner =
            StoreCondition::Unchanged(store_keys::owner(domain), self.owner_revision);
        let absent = StoreCondition::Absent(key.clone());
        let put = StoreWrite::Put { key: key.clone(), value: value.clone(), lease: None };
        let commit = self.store.commit(&[owner, absent], &[put]).await;
        self.shared.record_store_call(commit.is_ok());
        let outcome = match commit {
            Ok(commit) if commit.succeeded => WriteOutcome::Written,
            Ok(_) => self.resolve_conflict(&key, &value).await,
            Err(_) => WriteOutcome::Failed,
        };
        if matches!(outcome, WriteOutcome::Written) {
            if batch.sequence >= self.inherited_batches {
                self.shared.committed_sequence.store(batch.sequence, Ordering::Relaxed);
            }
            node_metrics::record_journal(self.shared.now() - started);
        }
        outcome
    }

    /// Finds out why the conditions of a write failed: an earlier attempt took effect, or the
    /// ownership is lost.
    async fn resolve_conflict(&self, key: &str, value: &[u8]) -> WriteOutcome {
        match self.store.get(key).await {
            Ok(Some(record)) if record.value == value => WriteOutcome::Written,
            Ok(_) => WriteOutcome::OwnershipLost,
            Err(_) => WriteOutcome::Failed,
        }
    }

    /// Mirrors a batch to the other processes of the domain; returns whether one has confirmed it.
    ///
    /// Only processes in the stored list of members are used, since a new owner requests the
    /// mirrored entries from these alone.
    async fn mirror(&self, batch: &JournalBatch) -> bool {
        let message = PeerMessage::MirrorAppend(MirrorBatch {
            epoch: self.epoch,
            sequence: batch.sequence,
            entries: batch.entries.clone(),
        });
        let members = self.shared.members.list();
        let members = members
            .iter()
            .filter(|(_, member)| !member.stopping && member.in_store_record);
        let mut calls: FuturesUnordered<_> = members
            .map(|(_, member)| {
                self.shared.link.call(member.address, message.clone(), MIRROR_TIMEOUT)
            })
            .collect();
        while let Some(response) = calls.next().await {
            if matches!(response, Ok(PeerMessage::Done)) {
                return true;
            }
        }
        false
    }

    /// Deletes the batches before a snapshot.
    async fn delete_before(&mut self, sequence: u64) {
        let domain = self.shared.domain();
        let prefix = store_keys::journal_prefix(domain);
        let first = store_keys::journal(domain, self.epoch, sequence);
        let owner =
            StoreCondition::Unchanged(store_keys::owner(domain), self.owner_revision);
        let delete = StoreWrite::DeleteRange(prefix, first);
        let commit = self.store.commit(&[owner], &[delete]).await;
        self.shared.record_store_call(commit.is_ok());
        self.since_snapshot = 0;
        self.snapshot_requested = false;
        log_event!(Info, "journal-compacted", domain = domain, sequence = sequence);
    }
}

/// Reads the whole journal of a domain from the store.
pub(crate) async fn read_journal(
    store: &dyn PlatformStore,
    domain: &Name,
) -> Result<Vec<JournalEntry>> {
    let prefix = store_keys::journal_prefix(domain);
    let mut entries = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = store.list(&prefix, after.as_deref(), PAGE_SIZE).await?;
        for record in &page {
            let batch: Vec<JournalEntry> = serde_json::from_slice(&record.value)
                .map_err(|error| {
                    let key = record.key.clone();
                    NodeError::StoredValue { key, message: error.to_string() }
                })?;
            entries.extend(batch);
        }
        match page.last() {
            Some(last) if page.len() == PAGE_SIZE => after = Some(last.key.clone()),
            _ => return Ok(entries),
        }
    }
}
