//! Writes jobs and their progress to the store.

mod open_batch;
mod seal_lane;

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
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::JobPhase;
use geraniumwinch_fleet::JobRecord;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::CallError;
use crate::CellPorts;
use crate::CommitOutcome;
use crate::StoreItem;
use crate::StoreTransaction;
use crate::StoreWrite;
use crate::authority::OwnerAuthority;
use crate::cell_metrics;
use crate::owner_record::JOB_PREFIX;
use crate::owner_record::OWNER_KEY;
use crate::owner_record::SealRecord;
use crate::owner_record::WORKERS_KEY;
use crate::owner_record::encode_workers;
use crate::owner_record::seal_key;

use self::open_batch::BatchEnd;
use self::open_batch::NewJob;
use self::open_batch::OpenBatch;
use self::seal_lane::SealLane;

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
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for an answer.
const LAST_TIMEOUT: Duration = Duration::from_millis(1400);
/// The time without success after which new jobs are refused.
const STALL: Duration = Duration::from_millis(800);
/// The most transactions that are on their way while the store answers.
pub(crate) const LANES: usize = 8;
/// The same while tries fail: the jobs of further ones would get no answer either.
const FAILING_LANES: usize = 2;
/// The most bytes of records in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Who awaits that a job is stored.
type Waiter = oneshot::Sender<Result<(), ErrorKind>>;

/// Writes jobs and their progress to the store.
///
/// Each transaction has the ownership and the seal of its lane as conditions. One without an answer
/// is repeated; a late copy of it finds the seal rewritten and does nothing. While the store
/// answers within [`BATCH_GAP`], one lane carries all; a slow store gets several transactions at
/// once, of different jobs.
pub(crate) struct RecordJournal {
    ports: CellPorts,
    authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    owner_revision: u64,
    lanes: Vec<SealLane>,
    queue: RefCell<VecDeque<NewJob>>,
    waiters: RefCell<HashMap<Name, Vec<Waiter>>>,
    removals: RefCell<Vec<Name>>,
    /// Whether the record of the workers is on its way.
    writing_workers: Cell<bool>,
    /// Since when no transaction has succeeded although one was tried.
    failing: Cell<Option<BootTime>>,
    /// Whether the log was told that the store takes nothing.
    lost: Cell<bool>,
    /// When the last transaction succeeded.
    succeeded: Cell<BootTime>,
    wake: Notify,
    stored: Rc<Notify>,
}

impl RecordJournal {
    /// Creates the journal of an epoch; `seals` holds the revisions of the lanes' seals, and
    /// `stored` is notified after each transaction.
    pub(crate) fn new(
        ports: CellPorts,
        authority: Rc<OwnerAuthority>,
        scheduler: Rc<RefCell<FleetScheduler>>,
        owner_revision: u64,
        seals: [u64; LANES],
        stored: Rc<Notify>,
    ) -> Self {
        let lanes = seals.into_iter().enumerate();
        RecordJournal {
            ports,
            authority,
            scheduler,
            owner_revision,
            lanes: lanes.map(|(number, seal)| SealLane::new(number, seal)).collect(),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            removals: RefCell::default(),
            writing_workers: Cell::new(false),
            failing: Cell::new(None),
            lost: Cell::new(false),
            succeeded: Cell::new(BootTime::ZERO),
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

    /// Has the scheduler's changes written.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns whether the store has taken nothing for a while.
    fn is_stalled(&self) -> bool {
        let now = self.ports.clock.now();
        self.failing.get().is_some_and(|since| now > since + STALL)
    }

    /// Writes until the ownership ends.
    pub(crate) async fn run(self: Rc<Self>) {
        while !self.authority.is_lost() {
            self.wake.notified().await;
            while let Some(lane) = self.idle_lane() {
                let batch = self.open_batch(self.ports.clock.now());
                if batch.is_empty() || self.authority.is_lost() {
                    self.close_batch(batch, BatchEnd::NotWritten);
                    break;
                }
                self.lanes[lane].busy.set(true);
                actix_rt::spawn(Rc::clone(&self).write_in(lane, batch));
                tokio::time::sleep(BATCH_GAP).await;
            }
        }
        while self.busy_lanes() > 0 {
            self.wake.notified().await;
        }
        self.fail_waiters();
    }

    /// Returns the number of transactions that are on their way.
    fn busy_lanes(&self) -> usize {
        self.lanes.iter().filter(|lane| lane.busy.get()).count()
    }

    /// Returns the lane for a further transaction, if there may be one.
    fn idle_lane(&self) -> Option<usize> {
        let most = if self.failing.get().is_some() { FAILING_LANES } else { LANES };
        let idle = self.lanes.iter().position(|lane| !lane.busy.get());
        idle.filter(|_| self.busy_lanes() < most)
    }

    /// Makes a transaction in a lane and tells everybody concerned.
    async fn write_in(self: Rc<Self>, lane: usize, batch: OpenBatch) {
        let end = self.write(&self.lanes[lane], &batch).await;
        self.close_batch(batch, end);
        self.lanes[lane].busy.set(false);
        self.wake.notify_one();
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
        let mut scheduler = self.scheduler.borrow_mut();
        if !self.writing_workers.get() {
            batch.workers = scheduler.changed_worker_records();
            self.writing_workers.set(batch.workers.is_some());
        }
        match scheduler.take_writes(entries, now) {
            Ok(writes) => {
                for write in writes {
                    entries -= 1;
                    let phase =
                        scheduler.current_phase(&write.job).unwrap_or(JobPhase::Live);
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
    fn transaction(
        &self,
        lane: &SealLane,
        batch: &OpenBatch,
        seal: SealRecord,
    ) -> StoreTransaction {
        let expected = vec![
            (OWNER_KEY.to_owned(), self.owner_revision),
            (seal_key(lane.number), lane.revision.get()),
        ];
        let mut writes = vec![StoreWrite {
            key: seal_key(lane.number),
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
        StoreTransaction { expected, writes, removals }
    }

    /// Makes a transaction, however often it takes, until the ownership ends.
    async fn write(&self, lane: &SealLane, batch: &OpenBatch) -> BatchEnd {
        let seal = lane.next_seal(self.authority.epoch);
        let transaction = self.transaction(lane, batch, seal);
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
                    lane.revision.set(revision);
                    self.succeed(began);
                    return BatchEnd::Written;
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    return self.resolve_conflict(lane, &items, seal, began);
                }
                Ok(CommitOutcome::LeaseEnded) => {
                    self.authority.lose();
                    return BatchEnd::NotWritten;
                }
                Err(error) => {
                    unanswered |= !error.had_no_effect();
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
        lane: &SealLane,
        items: &[StoreItem],
        seal: SealRecord,
        began: BootTime,
    ) -> BatchEnd {
        let key = seal_key(lane.number);
        match items.iter().find(|item| item.key == key) {
            Some(item) if SealRecord::decode(&item.value) == Some(seal) => {
                lane.revision.set(item.revision);
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
        if self.lost.replace(false) {
            log_event!(Info, "store-regained", part = "journal");
        }
        self.failing.set(None);
        self.succeeded.set(now);
    }

    /// Notes that a try failed and returns whether the store has taken nothing for a while.
    fn note_failure(&self, error: &CallError, began: BootTime) -> bool {
        cell_metrics::count_retry("commit");
        if self.failing.get().is_none() {
            self.failing.set(Some(began.max(self.succeeded.get())));
            self.authority.doubt();
        }
        let stalled = self.is_stalled();
        if stalled {
            if !self.lost.replace(true) {
                log_event!(Warn, "store-lost", part = "journal", error = error);
            }
            self.refuse_queued();
        }
        stalled
    }

    /// Refuses the jobs that are in no transaction yet.
    fn refuse_queued(&self) {
        let queued: Vec<NewJob> = self.queue.borrow_mut().drain(..).collect();
        for job in queued {
            self.answer(&job.id, Err(ErrorKind::StoreUnavailable));
        }
    }

    /// Tells everybody concerned how a transaction ended.
    fn close_batch(&self, batch: OpenBatch, end: BatchEnd) {
        let result = end.result();
        let mut scheduler = self.scheduler.borrow_mut();
        for job in batch.jobs {
            if end == BatchEnd::Written {
                scheduler.accept(job.id.clone(), job.record, self.ports.clock.now());
            }
            self.answer(&job.id, result);
        }
        for (write, phase) in batch.records {
            if end == BatchEnd::Written {
                scheduler.write_completed(&write.job, write.version, phase);
            } else {
                scheduler.write_rejected(&write.job, self.ports.clock.now());
            }
        }
        if let Some(workers) = batch.workers {
            self.writing_workers.set(false);
            match end {
                BatchEnd::Written => scheduler.worker_records_stored(&workers),
                BatchEnd::NotWritten | BatchEnd::Lost => {
                    scheduler.worker_records_rejected()
                }
            }
        }
        drop(scheduler);
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
