//! The journal of jobs and their progress in the store.

mod commit_attempts;
mod commit_lane;
mod journal_batch;

use std::cell::Cell;
use std::cell::Ref;
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
use geraniumwinch_fleet::MemoryUse;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::CellPorts;
use crate::WorkKind;
use crate::owner_authority::OwnerAuthority;
use crate::task_guard::catch_owner_panic;
use crate::task_guard::spawn_owner_task;

use self::commit_lane::CommitLane;
use self::journal_batch::BatchOutcome;
use self::journal_batch::JournalBatch;
use self::journal_batch::NewJob;
use self::journal_batch::NewWithdrawal;

/// The maximum number of entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// The entries reserved for the conditions, the fence and the workers.
const RESERVED_ENTRIES: usize = 4;
/// The minimum time between the starts of a transaction and the next one, unless the former is full.
const BATCH_GAP: Duration = Duration::from_millis(28);
/// The time without a successful transaction after which new jobs are refused.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The delay after a failed attempt before a new job is tried, if no transaction is in flight.
const PROBE_DELAY: Duration = Duration::from_millis(250);
/// The maximum number of concurrent transactions while the store responds.
pub(crate) const LANE_COUNT: usize = 8;
/// The maximum number of concurrent transactions while attempts fail. More transactions would only
/// leave more jobs without a response.
const FAILING_LANE_COUNT: usize = 2;
/// The maximum number of cancellations of unknown jobs in a transaction, so that there is room for jobs.
const MAX_WITHDRAWALS: usize = 8;
/// The size of the job records in a transaction, in bytes, beyond which no further job is added.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Receives the result of storing what a client has sent.
type Waiter = oneshot::Sender<Result<(), ErrorKind>>;

/// The journal of jobs and their progress in the store.
///
/// The conditions of each transaction are the ownership and the fence of its lane. A transaction
/// without a response is retried; a delayed copy of it fails because the fence has been rewritten.
/// If the store responds within [`BATCH_GAP`], a single lane is used. A slower store, or more than fits into
/// a transaction, gets several concurrent transactions, which contain different jobs.
pub(crate) struct RecordJournal {
    ports: CellPorts,
    authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    owner_revision: u64,
    lanes: Vec<CommitLane>,
    queue: RefCell<VecDeque<NewJob>>,
    waiters: RefCell<HashMap<Name, Vec<Waiter>>>,
    /// The memory of the jobs that are being stored.
    pending_memory: RefCell<MemoryUse>,
    /// The cancellations of unknown jobs that are not part of a transaction yet.
    withdrawals: RefCell<VecDeque<NewWithdrawal>>,
    removals: RefCell<Vec<String>>,
    /// Whether a transaction with the workers' record is in flight.
    workers_in_flight: Cell<bool>,
    /// Since when transactions have been attempted without success.
    failing_since: Cell<Option<BootTime>>,
    /// The time of the last failed attempt.
    last_failure: Cell<BootTime>,
    /// Whether the loss of the store has been logged.
    loss_logged: Cell<bool>,
    /// The time of the last successful transaction.
    last_success: Cell<BootTime>,
    wake: Notify,
    commit_done: Rc<Notify>,
}

impl RecordJournal {
    /// Creates the journal of an epoch. `fences` contains the revisions of the lanes' fence
    /// records; `commit_done` is notified after each transaction.
    pub(crate) fn new(
        ports: CellPorts,
        authority: Rc<OwnerAuthority>,
        scheduler: Rc<RefCell<FleetScheduler>>,
        owner_revision: u64,
        fences: [u64; LANE_COUNT],
        commit_done: Rc<Notify>,
    ) -> Self {
        let lanes = fences.into_iter().enumerate();
        RecordJournal {
            ports,
            authority,
            scheduler,
            owner_revision,
            lanes: lanes.map(|(number, fence)| CommitLane::new(number, fence)).collect(),
            queue: RefCell::default(),
            waiters: RefCell::default(),
            pending_memory: RefCell::default(),
            withdrawals: RefCell::default(),
            removals: RefCell::default(),
            workers_in_flight: Cell::new(false),
            failing_since: Cell::new(None),
            last_failure: Cell::new(BootTime::ZERO),
            loss_logged: Cell::new(false),
            last_success: Cell::new(BootTime::ZERO),
            wake: Notify::new(),
            commit_done,
        }
    }

    /// Stores a job. Returns once the job is stored, was refused or the outcome is unknown.
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
                self.check_store()?;
                let Ok(bytes) = record.encode() else {
                    return Err(ErrorKind::JobMalformed);
                };
                if record.may_outgrow_store(bytes.len()) {
                    return Err(ErrorKind::BodyTooLarge);
                }
                let (sender, receiver) = oneshot::channel();
                waiters.insert(id.clone(), vec![sender]);
                self.count_pending(&record, MemoryUse::add_job);
                self.queue.borrow_mut().push_back(NewJob { id, record, bytes });
                receiver
            }
        };
        self.wake.notify_one();
        receiver.await.unwrap_or(Err(ErrorKind::StoreUnknown))
    }

    /// Stores the cancellation of a job that is not known. Returns once it is stored, was refused or the
    /// outcome is unknown.
    pub(crate) async fn withdraw(
        &self,
        key: String,
        account: Name,
    ) -> Result<(), ErrorKind> {
        self.check_store()?;
        let (waiter, receiver) = oneshot::channel();
        let withdrawal = NewWithdrawal { key, account, waiter };
        self.withdrawals.borrow_mut().push_back(withdrawal);
        self.wake.notify_one();
        receiver.await.unwrap_or(Err(ErrorKind::StoreUnknown))
    }

    /// Refuses new contents while the store is stalled, unless they are tried to see whether it responds.
    fn check_store(&self) -> Result<(), ErrorKind> {
        if self.is_stalled() && !self.is_probe_due() {
            return Err(ErrorKind::StoreUnavailable);
        }
        Ok(())
    }

    /// Returns the memory that is counted for the jobs that are being stored.
    pub(crate) fn pending_memory(&self) -> Ref<'_, MemoryUse> {
        self.pending_memory.borrow()
    }

    /// Counts a job that is to be stored, or no longer is.
    fn count_pending(
        &self,
        record: &JobRecord,
        count: fn(&mut MemoryUse, account: &Name, bytes: u64),
    ) {
        let mut pending = self.pending_memory.borrow_mut();
        count(&mut pending, &record.account, record.memory_bytes());
    }

    /// Returns whether a job is waiting to be stored.
    pub(crate) fn is_pending(&self, id: &Name) -> bool {
        self.waiters.borrow().contains_key(id)
    }

    /// Removes items that are no longer needed.
    pub(crate) fn remove(&self, keys: Vec<String>) {
        self.removals.borrow_mut().extend(keys);
        self.wake.notify_one();
    }

    /// Triggers a transaction with the scheduler's changes.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns whether the store has not committed a transaction for [`STALL_TIMEOUT`].
    fn is_stalled(&self) -> bool {
        let now = self.ports.clock.now();
        self.failing_since.get().is_some_and(|since| now > since + STALL_TIMEOUT)
    }

    /// Returns whether a new job is tried although the store is stalled. If no transaction is in
    /// flight, only a new one can show that the store responds again.
    fn is_probe_due(&self) -> bool {
        let now = self.ports.clock.now();
        self.in_flight_lanes() == 0 && now >= self.last_failure.get() + PROBE_DELAY
    }

    /// Commits transactions until the ownership ends.
    pub(crate) async fn run(self: Rc<Self>) {
        while !self.authority.is_lost() {
            self.wake.notified().await;
            while self.begin_transactions() {
                tokio::time::sleep(BATCH_GAP).await;
            }
        }
        while self.in_flight_lanes() > 0 {
            self.wake.notified().await;
        }
        self.fail_waiters();
    }

    /// Begins transactions in idle lanes until one has room for more, and returns whether it has begun
    /// any. An owner that falls behind has few turns, and what it must write doesn't get less.
    fn begin_transactions(self: &Rc<Self>) -> bool {
        let mut begun = false;
        while let Some(lane) = self.idle_lane() {
            let batch = self.collect_batch(self.ports.clock.now());
            if batch.is_empty() || self.authority.is_lost() {
                self.finish_batch(batch, BatchOutcome::NotCommitted);
                break;
            }
            let full = batch.is_full;
            self.lanes[lane].in_flight.set(true);
            let commit = Rc::clone(self).commit_in_lane(lane, batch);
            let commit = self.ports.meter.meter(WorkKind::Records, commit);
            spawn_owner_task("journal-lane", &self.authority, commit);
            begun = true;
            if !full {
                break;
            }
        }
        begun
    }

    /// Returns the number of lanes with a transaction in flight.
    fn in_flight_lanes(&self) -> usize {
        self.lanes.iter().filter(|lane| lane.in_flight.get()).count()
    }

    /// Returns an idle lane, unless the maximum number of transactions is in flight.
    fn idle_lane(&self) -> Option<usize> {
        let max_lanes = if self.failing_since.get().is_some() {
            FAILING_LANE_COUNT
        } else {
            LANE_COUNT
        };
        let idle = self.lanes.iter().position(|lane| !lane.in_flight.get());
        idle.filter(|_| self.in_flight_lanes() < max_lanes)
    }

    /// Commits a batch in a lane and reports the result.
    async fn commit_in_lane(self: Rc<Self>, lane: usize, batch: JournalBatch) {
        let commit = self.commit(&self.lanes[lane], &batch);
        let outcome = catch_owner_panic("commit", &self.authority, commit).await;
        self.lanes[lane].in_flight.set(false);
        self.wake.notify_one();
        self.finish_batch(batch, outcome.unwrap_or(BatchOutcome::Unknown));
    }

    /// Collects the contents of the next transaction.
    fn collect_batch(&self, now: BootTime) -> JournalBatch {
        let mut batch = JournalBatch::default();
        let mut entries = MAX_ENTRIES - RESERVED_ENTRIES;
        let mut bytes = 0;
        let mut withdrawals = self.withdrawals.borrow_mut();
        let count = withdrawals.len().min(MAX_WITHDRAWALS);
        batch.withdrawals.extend(withdrawals.drain(..count));
        entries -= count;
        let mut queue = self.queue.borrow_mut();
        while entries > 0 && bytes < MAX_BATCH_BYTES {
            let Some(job) = queue.pop_front() else { break };
            bytes += job.bytes.len();
            entries -= 1;
            batch.jobs.push(job);
        }
        let mut scheduler = self.scheduler.borrow_mut();
        if !self.workers_in_flight.get() {
            batch.workers = scheduler.changed_worker_records();
            self.workers_in_flight.set(batch.workers.is_some());
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
        // Removals are not urgent, and use only the room that is left.
        batch.is_full =
            entries == 0 || bytes >= MAX_BATCH_BYTES || !withdrawals.is_empty();
        let mut removals = self.removals.borrow_mut();
        let kept = removals.len().saturating_sub(entries);
        batch.removals = removals.split_off(kept);
        batch
    }

    /// Refuses what clients wait for and is not part of a transaction yet.
    fn refuse_queued(&self) {
        self.fail_queued(ErrorKind::StoreUnavailable);
        self.commit_done.notify_waiters();
    }

    /// Reports the outcome of a transaction to the scheduler and to the waiting clients.
    fn finish_batch(&self, batch: JournalBatch, outcome: BatchOutcome) {
        let result = outcome.result();
        let mut scheduler = self.scheduler.borrow_mut();
        for job in batch.jobs {
            self.count_pending(&job.record, MemoryUse::remove_job);
            if outcome == BatchOutcome::Committed {
                scheduler.accept(job.id.clone(), job.record, self.ports.clock.now());
            }
            self.complete_waiters(&job.id, result);
        }
        for withdrawal in batch.withdrawals {
            withdrawal.complete(result);
        }
        for (write, phase) in batch.records {
            if outcome == BatchOutcome::Committed {
                scheduler.write_completed(&write.job, write.version, phase);
            } else {
                scheduler.write_rejected(&write.job, self.ports.clock.now());
            }
        }
        if let Some(workers) = batch.workers {
            self.workers_in_flight.set(false);
            match outcome {
                BatchOutcome::Committed => scheduler.worker_records_stored(&workers),
                BatchOutcome::NotCommitted | BatchOutcome::Unknown => {
                    scheduler.worker_records_rejected()
                }
            }
        }
        drop(scheduler);
        if outcome != BatchOutcome::Committed {
            self.removals.borrow_mut().extend(batch.removals);
        }
        self.commit_done.notify_waiters();
    }

    /// Fails what clients wait for and is not part of a transaction yet.
    fn fail_queued(&self, kind: ErrorKind) {
        let queued: Vec<NewJob> = self.queue.borrow_mut().drain(..).collect();
        for job in queued {
            self.count_pending(&job.record, MemoryUse::remove_job);
            self.complete_waiters(&job.id, Err(kind));
        }
        for withdrawal in self.withdrawals.borrow_mut().drain(..) {
            withdrawal.complete(Err(kind));
        }
    }

    /// Sends the result to the submissions that wait for a job.
    fn complete_waiters(&self, id: &Name, result: Result<(), ErrorKind>) {
        for waiter in self.waiters.borrow_mut().remove(id).unwrap_or_default() {
            // The receiver is gone if the client has disconnected.
            let _ = waiter.send(result);
        }
    }

    /// Fails the remaining submissions after the ownership has ended.
    pub(crate) fn fail_waiters(&self) {
        self.fail_queued(ErrorKind::DomainUnowned);
        let left: Vec<Name> = self.waiters.borrow().keys().cloned().collect();
        for id in left {
            self.complete_waiters(&id, Err(ErrorKind::StoreUnknown));
        }
    }
}
