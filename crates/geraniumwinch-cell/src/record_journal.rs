//! Writes jobs and their progress to the store, one transaction at a time.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::Name;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetBoard;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use geraniumwinch_fleet::RecordWrite;
use geraniumwinch_fleet::WorkerCard;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::CallError;
use crate::CellPorts;
use crate::CommitOutcome;
use crate::StoreBatch;
use crate::StoreItem;
use crate::StoreWrite;
use crate::authority::OwnerAuthority;
use crate::cell_metrics;
use crate::owner_record::JOB_PREFIX;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::SEAL_KEY;
use crate::owner_record::SealRecord;
use crate::owner_record::WORKERS_KEY;
use crate::owner_record::encode_workers;

/// The most entries of the store's transactions.
const MAX_ENTRIES: usize = 32;
/// The entries that a transaction spends on its conditions, the seal and the workers.
const FIXED_ENTRIES: usize = 4;
/// The least time between the begins of two transactions.
const BATCH_GAP: Duration = Duration::from_millis(28);
/// The wait before a transaction that failed is tried again.
const RETRY: Duration = Duration::from_millis(60);
/// The wait for the first answer of a transaction, which doubles with each try: where answers are
/// lost, the next try finds out what became of the one before.
const FIRST_TIMEOUT: Duration = Duration::from_millis(350);
/// The longest wait for an answer.
const LAST_TIMEOUT: Duration = Duration::from_millis(1400);
/// The time without success after which new jobs are refused.
const STALL: Duration = Duration::from_millis(800);
/// The most bytes of records in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Who awaits that a job is stored.
type Waiter = oneshot::Sender<Result<(), ErrorKind>>;

/// A job that is to be stored.
struct NewJob {
    id: Name,
    record: JobRecord,
    bytes: Vec<u8>,
}

/// What a transaction holds beside its conditions.
#[derive(Default)]
struct OpenBatch {
    jobs: Vec<NewJob>,
    records: Vec<(RecordWrite, JobPhase)>,
    removals: Vec<Name>,
    /// The workers where tasks may run, if the store doesn't know some.
    workers: Option<Vec<WorkerCard>>,
}

impl OpenBatch {
    /// Returns whether there is nothing to write.
    fn is_empty(&self) -> bool {
        self.jobs.is_empty()
            && self.records.is_empty()
            && self.removals.is_empty()
            && self.workers.is_none()
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchEnd {
    /// It was made.
    Written,
    /// It was not made and won't be.
    NotWritten,
    /// The ownership has ended, and it is not known whether it was made.
    Lost,
}

/// Writes jobs and their progress to the store.
///
/// Each transaction has the ownership and the seal of the one before as conditions. A transaction
/// without an answer is repeated; a late copy of it finds the seal rewritten and does nothing.
pub(crate) struct RecordJournal {
    ports: CellPorts,
    authority: Rc<OwnerAuthority>,
    board: Rc<RefCell<FleetBoard>>,
    owner_revision: u64,
    seal_revision: Cell<u64>,
    batch: Cell<u64>,
    queue: RefCell<VecDeque<NewJob>>,
    waiters: RefCell<HashMap<Name, Vec<Waiter>>>,
    removals: RefCell<Vec<Name>>,
    /// Since when no transaction has succeeded although one was tried.
    stalled: Cell<Option<BootTime>>,
    wake: Notify,
    stored: Rc<Notify>,
}

impl RecordJournal {
    /// Creates the journal of an epoch; `stored` is notified after each transaction.
    pub(crate) fn new(
        ports: CellPorts,
        authority: Rc<OwnerAuthority>,
        board: Rc<RefCell<FleetBoard>>,
        owner_revision: u64,
        seal_revision: u64,
        stored: Rc<Notify>,
    ) -> Self {
        RecordJournal {
            ports,
            authority,
            board,
            owner_revision,
            seal_revision: Cell::new(seal_revision),
            batch: Cell::new(0),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            removals: RefCell::default(),
            stalled: Cell::new(None),
            wake: Notify::new(),
            stored,
        }
    }

    /// Stores a job and returns when it is stored or certainly is not.
    pub(crate) async fn create(
        &self,
        id: Name,
        record: JobRecord,
    ) -> Result<(), ErrorKind> {
        let receiver = {
            let mut waiters = self.waiters.borrow_mut();
            if let Some(waiting) = waiters.get_mut(&id) {
                let (sender, receiver) = oneshot::channel();
                waiting.push(sender);
                receiver
            } else {
                if self.is_stalled() {
                    return Err(ErrorKind::StoreUnavailable);
                }
                let Ok(bytes) = record.encode() else {
                    return Err(ErrorKind::JobMalformed);
                };
                let (sender, receiver) = oneshot::channel();
                waiters.insert(id.clone(), vec![sender]);
                self.queue.borrow_mut().push_back(NewJob { id, record, bytes });
                receiver
            }
        };
        self.wake.notify_one();
        receiver.await.unwrap_or(Err(ErrorKind::StoreUnknown))
    }

    /// Returns whether a job is on its way to the store.
    pub(crate) fn is_pending(&self, id: &Name) -> bool {
        self.waiters.borrow().contains_key(id)
    }

    /// Has the records of jobs removed that nobody can ask for any longer.
    pub(crate) fn remove(&self, jobs: Vec<Name>) {
        self.removals.borrow_mut().extend(jobs);
        self.wake.notify_one();
    }

    /// Has the board's changes written.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns whether the store has taken nothing for a while.
    fn is_stalled(&self) -> bool {
        let now = self.ports.clock.now();
        self.stalled.get().is_some_and(|since| now > since + STALL)
    }

    /// Writes until the ownership ends.
    pub(crate) async fn run(self: Rc<Self>) {
        while !self.authority.is_lost() {
            self.wake.notified().await;
            loop {
                let began = self.ports.clock.now();
                let batch = self.open_batch(began);
                if batch.is_empty() {
                    break;
                }
                let end = self.write(&batch).await;
                self.close_batch(batch, end);
                if self.authority.is_lost() {
                    break;
                }
                let spent = self.ports.clock.now().saturating_sub(began);
                tokio::time::sleep(BATCH_GAP.saturating_sub(spent)).await;
            }
        }
        self.fail_waiters();
    }

    /// Collects what goes into the next transaction.
    fn open_batch(&self, now: BootTime) -> OpenBatch {
        let mut batch = OpenBatch::default();
        let mut entries = MAX_ENTRIES - FIXED_ENTRIES;
        let mut bytes = 0;
        let mut queue = self.queue.borrow_mut();
        while entries > 0 && bytes < MAX_BATCH_BYTES {
            let Some(job) = queue.pop_front() else { break };
            bytes += job.bytes.len();
            entries -= 1;
            batch.jobs.push(job);
        }
        let mut board = self.board.borrow_mut();
        batch.workers = board.unrecorded_workers();
        match board.take_writes(entries, now) {
            Ok(writes) => {
                for write in writes {
                    entries -= 1;
                    let phase = board.phase(&write.job).unwrap_or(JobPhase::Live);
                    batch.records.push((write, phase));
                }
            }
            Err(error) => log_event!(Error, "record-unwritable", error = error),
        }
        let mut removals = self.removals.borrow_mut();
        let kept = removals.len().saturating_sub(entries);
        batch.removals = removals.split_off(kept);
        batch
    }

    /// Creates the transaction of a batch.
    fn transaction(&self, batch: &OpenBatch, number: u64) -> StoreBatch {
        let expected = vec![
            (OWNER_KEY.to_owned(), self.owner_revision),
            (SEAL_KEY.to_owned(), self.seal_revision.get()),
        ];
        let seal = SealRecord { epoch: self.authority.epoch, batch: number };
        let mut writes = vec![StoreWrite {
            key: SEAL_KEY.to_owned(),
            value: seal.encode(),
            lease: None,
        }];
        let jobs = batch.jobs.iter().map(|job| (&job.id, &job.bytes));
        let records = batch.records.iter().map(|(write, _)| (&write.job, &write.bytes));
        for (job, bytes) in jobs.chain(records) {
            let key = format!("{JOB_PREFIX}{job}");
            writes.push(StoreWrite { key, value: bytes.clone(), lease: None });
        }
        if let Some(workers) = &batch.workers {
            let value = encode_workers(workers);
            writes.push(StoreWrite { key: WORKERS_KEY.to_owned(), value, lease: None });
        }
        let removals =
            batch.removals.iter().map(|job| format!("{JOB_PREFIX}{job}")).collect();
        StoreBatch { expected, writes, removals }
    }

    /// Makes a transaction, however often it takes, until the ownership ends.
    async fn write(&self, batch: &OpenBatch) -> BatchEnd {
        let number = self.batch.get() + 1;
        self.batch.set(number);
        let transaction = self.transaction(batch, number);
        let began = self.ports.clock.now();
        let mut unanswered = false;
        let mut timeout = FIRST_TIMEOUT;
        loop {
            if self.authority.is_lost() {
                return if unanswered { BatchEnd::Lost } else { BatchEnd::NotWritten };
            }
            let outcome = self.ports.store.commit(&transaction, timeout).await;
            timeout = (timeout * 2).min(LAST_TIMEOUT);
            match outcome {
                Ok(CommitOutcome::Committed(revision)) => {
                    self.seal_revision.set(revision);
                    self.succeed(began);
                    return BatchEnd::Written;
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    return self.resolve_conflict(&items, number, began);
                }
                Ok(CommitOutcome::LeaseEnded) => {
                    self.authority.lose();
                    return BatchEnd::NotWritten;
                }
                Err(error) => {
                    unanswered |= !error.without_effect();
                    if self.note_failure(&error, began)
                        && !unanswered
                        && !batch.jobs.is_empty()
                    {
                        return BatchEnd::NotWritten;
                    }
                }
            }
            tokio::time::sleep(RETRY).await;
        }
    }

    /// Finds out whether an earlier try of a transaction was made.
    fn resolve_conflict(
        &self,
        items: &[StoreItem],
        number: u64,
        began: BootTime,
    ) -> BatchEnd {
        let seal = items.iter().find(|item| item.key == SEAL_KEY);
        let ours = SealRecord { epoch: self.authority.epoch, batch: number };
        match seal {
            Some(item) if SealRecord::decode(&item.value) == Some(ours) => {
                self.seal_revision.set(item.revision);
                self.succeed(began);
                BatchEnd::Written
            }
            _ => {
                log_event!(
                    Warn,
                    "ownership-lost",
                    epoch = self.authority.epoch,
                    by = "store"
                );
                self.authority.lose();
                BatchEnd::NotWritten
            }
        }
    }

    /// Notes that a transaction was made.
    fn succeed(&self, began: BootTime) {
        let now = self.ports.clock.now();
        cell_metrics::record_commit(now.saturating_sub(began));
        if self.is_stalled() {
            log_event!(Info, "store-regained", part = "journal");
        }
        self.stalled.set(None);
    }

    /// Notes that a try failed and returns whether the store has taken nothing for a while.
    fn note_failure(&self, error: &CallError, began: BootTime) -> bool {
        cell_metrics::count_retry("commit");
        let stalled = self.is_stalled();
        if self.stalled.get().is_none() {
            self.stalled.set(Some(began));
        }
        if !stalled && self.is_stalled() {
            log_event!(Warn, "store-lost", part = "journal", error = error);
        }
        self.is_stalled()
    }

    /// Tells everybody concerned how a transaction ended.
    fn close_batch(&self, batch: OpenBatch, end: BatchEnd) {
        let result = match end {
            BatchEnd::Written => Ok(()),
            BatchEnd::NotWritten => Err(ErrorKind::StoreUnavailable),
            BatchEnd::Lost => Err(ErrorKind::StoreUnknown),
        };
        let mut board = self.board.borrow_mut();
        for job in batch.jobs {
            if end == BatchEnd::Written {
                board.accept(job.id.clone(), job.record);
            }
            self.answer(&job.id, result);
        }
        for (write, phase) in batch.records {
            if end == BatchEnd::Written {
                board.written(&write.job, write.version, phase);
            } else {
                board.rewrite(&write.job, self.ports.clock.now());
            }
        }
        if let Some(workers) = batch.workers.filter(|_| end == BatchEnd::Written) {
            board.workers_recorded(&workers);
        }
        drop(board);
        if end != BatchEnd::Written {
            self.removals.borrow_mut().extend(batch.removals);
        }
        self.stored.notify_waiters();
    }

    /// Answers those who await a job.
    fn answer(&self, id: &Name, result: Result<(), ErrorKind>) {
        for waiter in self.waiters.borrow_mut().remove(id).unwrap_or_default() {
            // A caller that has gone away needs no answer.
            let _ = waiter.send(result);
        }
    }

    /// Answers those who still wait when the ownership has ended.
    fn fail_waiters(&self) {
        let queued: Vec<NewJob> = self.queue.borrow_mut().drain(..).collect();
        for job in queued {
            self.answer(&job.id, Err(ErrorKind::DomainUnowned));
        }
        let left: Vec<Name> = self.waiters.borrow().keys().cloned().collect();
        for id in left {
            self.answer(&id, Err(ErrorKind::StoreUnknown));
        }
    }
}
