//! The decisions of the process that owns the cell.

mod admission;
mod asking;
mod board_log;
mod loading;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::ShareLimiter;
use geraniumwinch_fleet::WorkerKey;
use tokio::sync::Notify;

use crate::CellPorts;
use crate::CellSettings;
use crate::authority::OwnerAuthority;
use crate::catalog_watch::CatalogWatch;
use crate::cell_metrics;
use crate::cell_owner::OWNER_TTL;
use crate::command_sender::CommandSender;
use crate::member_table::MemberTable;
use crate::peer_message::MemberNote;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_service::PeerClient;
use crate::permission_desk::PermissionDesk;
use crate::record_journal::RecordJournal;
use crate::worker_loop::WorkerLoop;

use self::board_log::log_scheduler_event;
use self::loading::load_jobs;
use self::loading::load_seals;
use self::loading::load_workers;

/// The longest time between two passes over the scheduler.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// The least time between two passes.
const PASS_GAP: Duration = Duration::from_millis(4);
/// How many times as long as the last pass that time is, so that reports and callers get most of
/// the processor.
const PASS_GAP_FACTOR: u32 = 2;
/// The most of that time.
const PASS_GAP_MAX: Duration = Duration::from_millis(50);
/// The time between two reads of the list of workers.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// The time between two log lines of the scheduler's numbers.
const TELL_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two searches for records that nobody can ask for any longer.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// The most records that are removed at a time.
const EXPIRE_MOST: usize = 200;
/// How much more than its nominal time a worker's lease may last: a slow clock and delays.
const LEASE_SLACK: f64 = 0.025;
/// The time after which a silent process is no longer told to others.
const MEMBER_MEMORY: Duration = Duration::from_secs(15);

/// The owner of the cell at work.
pub(crate) struct CellDispatcher {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    catalog: Rc<CatalogWatch>,
    peers: PeerClient,
    pub(crate) authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    journal: Rc<RecordJournal>,
    sender: Rc<CommandSender>,
    desk: PermissionDesk,
    pub(crate) members: RefCell<MemberTable>,
    pump: Rc<Notify>,
    stored: Rc<Notify>,
    /// The configuration whose limits the scheduler has; none before the first one.
    limits_version: Cell<Option<u64>>,
    resigned: Cell<bool>,
    shares: RefCell<ShareLimiter>,
}

impl CellDispatcher {
    /// Reads what the store holds and creates the dispatcher of an epoch.
    ///
    /// Returns nothing if the ownership ends meanwhile.
    pub(crate) async fn take_over(
        ports: CellPorts,
        settings: Rc<CellSettings>,
        catalog: Rc<CatalogWatch>,
        peers: PeerClient,
        authority: Rc<OwnerAuthority>,
        owner_revision: u64,
    ) -> Option<Rc<Self>> {
        let began = ports.clock.now();
        let lease =
            settings.worker_lease.mul_f64(1.0 + LEASE_SLACK) + Duration::from_millis(200);
        // A former owner that was cut off extends leases until its own ownership ends.
        let uncertain_until = began + lease + OWNER_TTL;
        let scheduler =
            Rc::new(RefCell::new(FleetScheduler::new(authority.epoch, lease)));
        let (jobs, seals, workers) = tokio::join!(
            load_jobs(&ports, &authority, &scheduler, uncertain_until),
            load_seals(&ports, &authority),
            load_workers(&ports, &authority, &scheduler, uncertain_until),
        );
        let (jobs, seals, workers) = (jobs?, seals?, workers?);
        let pump = Rc::new(Notify::new());
        let stored = Rc::new(Notify::new());
        let journal = Rc::new(RecordJournal::new(
            ports.clone(),
            Rc::clone(&authority),
            Rc::clone(&scheduler),
            owner_revision,
            seals,
            Rc::clone(&stored),
        ));
        let sender = Rc::new(CommandSender::new(
            ports.clone(),
            Rc::clone(&authority),
            Rc::clone(&scheduler),
            settings.worker_lease,
            Rc::clone(&pump),
        ));
        let took = ports.clock.now().saturating_sub(began);
        cell_metrics::record_takeover(took);
        log_event!(
            Info,
            "takeover",
            epoch = authority.epoch,
            jobs = jobs,
            ms = took.as_millis()
        );
        let dispatcher = Rc::new(CellDispatcher {
            ports,
            settings,
            catalog,
            peers,
            authority,
            scheduler,
            journal,
            sender,
            desk: PermissionDesk::default(),
            members: RefCell::default(),
            pump,
            stored,
            limits_version: Cell::new(None),
            resigned: Cell::new(false),
            shares: RefCell::default(),
        });
        workers.into_iter().for_each(|worker| dispatcher.run_worker(worker));
        Some(dispatcher)
    }

    /// Dispatches until the ownership ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let journal = actix_rt::spawn(Rc::clone(&self.journal).run());
        let listing = actix_rt::spawn(Rc::clone(&self).list_workers());
        let mut expired = self.ports.clock.now();
        let mut told = expired;
        while !self.authority.is_lost() {
            let began = self.ports.clock.now();
            self.pass();
            let took = self.ports.clock.now().saturating_sub(began);
            // An elapsed wait needs no handling: a pass is due either way.
            let _ = tokio::time::timeout(PASS_INTERVAL, self.pump.notified()).await;
            let gap = (took * PASS_GAP_FACTOR).clamp(PASS_GAP, PASS_GAP_MAX);
            tokio::time::sleep(gap).await;
            let now = self.ports.clock.now();
            if now >= told + TELL_INTERVAL {
                told = now;
                self.tell_counts(now);
            }
            if now >= expired + EXPIRE_INTERVAL {
                expired = now;
                self.expire_records();
            }
        }
        listing.abort();
        self.journal.wake();
        if journal.await.is_err() {
            log_event!(Error, "child-failed", child = "journal");
        }
        self.stored.notify_waiters();
    }

    /// Shows the scheduler's numbers in the log and the metrics.
    fn tell_counts(&self, now: BootTime) {
        let counts = self.scheduler.borrow().counts(now);
        cell_metrics::set_counts(counts);
        log_event!(
            Info,
            "board",
            live_jobs = counts.live_jobs,
            placed = counts.placed,
            usable_workers = counts.usable_workers,
            workers = counts.workers,
            used = format!("{:.2}", counts.used),
            backlog = format!("{:.2}", self.scheduler.borrow().backlog())
        );
    }

    /// Removes records that nobody can ask for any longer.
    fn expire_records(&self) {
        let wall = self.ports.clock.unix_time();
        let retention = self.settings.job_retention * 2;
        let expired =
            self.scheduler.borrow_mut().expire_jobs(wall, retention, EXPIRE_MOST);
        if !expired.is_empty() {
            self.journal.remove(expired);
        }
    }

    /// Keeps the list of workers and runs a loop for each.
    async fn list_workers(self: Rc<Self>) {
        let mut lost = false;
        while !self.authority.is_lost() {
            match self.ports.directory.list().await {
                Ok(infos) => {
                    if std::mem::take(&mut lost) {
                        log_event!(Info, "store-regained", part = "workers");
                    }
                    cell_metrics::set_workers_listed(self.ports.clock.unix_time());
                    let now = self.ports.clock.now();
                    let fresh = self.scheduler.borrow_mut().set_workers(infos, now);
                    for worker in fresh {
                        self.run_worker(worker);
                    }
                    self.journal.wake();
                }
                Err(error) => {
                    if !lost {
                        log_event!(Warn, "store-lost", part = "workers", error = error);
                    }
                    lost = true;
                }
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    /// Runs the loop of a worker.
    fn run_worker(&self, worker: WorkerKey) {
        let worker_loop = WorkerLoop {
            ports: self.ports.clone(),
            authority: Rc::clone(&self.authority),
            scheduler: Rc::clone(&self.scheduler),
            sender: Rc::clone(&self.sender),
            pump: Rc::clone(&self.pump),
            stored: Rc::clone(&self.stored),
            worker,
        };
        actix_rt::spawn(worker_loop.run());
    }

    /// Does what is due: places tasks, sends orders, asks for permissions and writes changes.
    fn pass(self: &Rc<Self>) {
        let now = self.ports.clock.now();
        self.update_limits();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.sweep(now);
        let mut requests = Vec::new();
        let mut starts = Vec::new();
        // Without a configuration the accounts' limits are not known.
        if self.authority.may_start(now) && self.limits_version.get().is_some() {
            let long_requests = self.desk.long_room(&self.askers(now), now);
            let round = scheduler.place(self.ports.clock.unix_time(), now, long_requests);
            starts = round.starts;
            requests = round.requests;
        }
        let stops = scheduler.take_stops();
        let events = scheduler.take_events();
        let due = scheduler.has_due_writes(now);
        scheduler.update_waiting_load(self.ports.clock.unix_time());
        drop(scheduler);
        for start in starts {
            self.sender.start(start);
        }
        for stop in stops {
            self.sender.stop(stop);
        }
        events.iter().for_each(log_scheduler_event);
        self.desk.push(requests);
        self.assign_asks(now);
        if due {
            self.journal.wake();
        }
    }

    /// Puts the limits of a new configuration in force.
    fn update_limits(&self) {
        let Some(current) = self.catalog.current() else { return };
        let version = Some(current.catalog.version);
        if version != self.limits_version.replace(version) {
            self.scheduler.borrow_mut().set_limits(current.catalog.account_limits());
        }
    }

    /// Answers a request that only the owner answers.
    pub(crate) async fn handle(&self, request: PeerRequest) -> PeerReply {
        let now = self.ports.clock.now();
        if self.authority.is_lost() || self.resigned.get() {
            return PeerReply::NotOwner;
        }
        match request {
            PeerRequest::Hello(note) => self.greet(note, now),
            PeerRequest::Submit(order) => self.submit(order).await,
            PeerRequest::Query(job) => {
                let state = self.scheduler.borrow().stored_state(&job);
                PeerReply::State(state)
            }
            PeerRequest::Cancel(job) => self.cancel(&job, now).await,
            PeerRequest::Waiting(queue) => {
                PeerReply::Waiting(self.scheduler.borrow().waiting_jobs(&queue) as u64)
            }
            PeerRequest::OwnerSeen(_)
            | PeerRequest::ProbeStore
            | PeerRequest::Depose(..)
            | PeerRequest::Catalog
            | PeerRequest::Ask(_) => PeerReply::NotOwner,
        }
    }

    /// Notes that a process is alive and tells it about the others.
    fn greet(&self, note: MemberNote, now: BootTime) -> PeerReply {
        let mut members = self.members.borrow_mut();
        members.heard(note, now);
        members.forget(now, MEMBER_MEMORY);
        PeerReply::Hello(self.authority.epoch, self.catalog.version(), members.all())
    }

    /// Ends the ownership so that another process can take over at once.
    pub(crate) async fn resign(&self) {
        self.resigned.set(true);
        log_event!(Info, "ownership-resigned", epoch = self.authority.epoch);
        cell_metrics::count_ownership("resigned", 0);
        self.authority.lose();
        if let Err(error) = self.ports.store.revoke_lease(self.authority.lease).await {
            log_event!(Warn, "lease-end-failed", error = error);
        }
    }
}
