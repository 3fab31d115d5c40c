//! The dispatcher that the owner of the cell runs.

mod admission;
mod job_lookup;
mod job_memory;
mod loading;
mod permission_calls;
mod reporting;
mod scheduler_log;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::ErrorKind;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use geraniumwinch_fleet::FleetScheduler;
use geraniumwinch_fleet::PermissionCounts;
use geraniumwinch_fleet::ShareLimiter;
use geraniumwinch_fleet::WorkerKey;
use tokio::sync::Notify;

use crate::AcceptDelay;
use crate::CellPorts;
use crate::CellSettings;
use crate::WithdrawnJobs;
use crate::WorkKind;
use crate::catalog_watch::CatalogWatch;
use crate::cell_metrics;
use crate::command_sender::CommandSender;
use crate::evacuation_watch::EvacuationWatch;
use crate::member_table::MemberTable;
use crate::owner_authority::OwnerAuthority;
use crate::owner_election::OWNER_TTL;
use crate::owner_record::job_key;
use crate::pass_pacing::PassPacing;
use crate::peer_message::MemberInfo;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_service::PeerClient;
use crate::permission_queue::PermissionQueue;
use crate::record_journal::RecordJournal;
use crate::request_tally::RequestTally;
use crate::task_guard::catch_owner_panic;
use crate::task_guard::spawn_owner_task;
use crate::worker_loop::POLL_WAIT;
use crate::worker_loop::WorkerLoop;

use self::loading::load_fences;
use self::loading::load_jobs;
use self::loading::load_withdrawn_jobs;
use self::loading::load_workers;
use self::loading::refresh_catalog;
use self::scheduler_log::log_scheduler_event;

/// The maximum time between two scheduling passes.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the worker directory is read.
const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// The interval at which the scheduler's counts are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which expired job records are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// The maximum number of records that are removed at a time: far more than can end in the interval, so that
/// only a new owner with many ended jobs needs several intervals.
const EXPIRE_LIMIT: usize = 5_000;
/// The relative margin by which a worker's lease may exceed its nominal duration because of a slow
/// clock and delays.
const LEASE_SLACK: f64 = 0.025;
/// The time after which a silent process is no longer reported to other processes.
const MEMBER_RETENTION: Duration = Duration::from_secs(15);

/// The dispatcher of one epoch's owner.
pub(crate) struct CellDispatcher {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    catalog: Rc<CatalogWatch>,
    peers: PeerClient,
    pub(crate) authority: Rc<OwnerAuthority>,
    scheduler: Rc<RefCell<FleetScheduler>>,
    journal: Rc<RecordJournal>,
    sender: Rc<CommandSender>,
    evacuations: Rc<EvacuationWatch>,
    permission_queue: PermissionQueue,
    /// When pending permission requests were last assigned to VMs.
    assigned_at: Cell<BootTime>,
    /// The permission counts at the last report.
    reported_permissions: Cell<PermissionCounts>,
    pub(crate) members: RefCell<MemberTable>,
    pacing: Rc<RefCell<PassPacing>>,
    pass_due: Rc<Notify>,
    commit_done: Rc<Notify>,
    /// The version of the configuration that the scheduler uses; `None` before the first one.
    applied_version: Cell<Option<u64>>,
    resigned: Cell<bool>,
    /// How late timers were at most since the last report.
    lag: Cell<Duration>,
    shares: RefCell<ShareLimiter>,
    accept_delay: RefCell<AcceptDelay>,
    withdrawn_jobs: RefCell<WithdrawnJobs>,
    /// The requests since the last report.
    requests: Cell<RequestTally>,
}

impl CellDispatcher {
    /// Loads the state from the store and creates the dispatcher of an epoch.
    ///
    /// Returns `None` if the ownership ends before the state is loaded.
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
        // A former owner that was partitioned keeps extending leases until its own ownership ends.
        let uncertain_until = began + lease + OWNER_TTL;
        let mut scheduler = FleetScheduler::new(authority.epoch, lease);
        scheduler.set_report_interval(settings.worker_heartbeat);
        let scheduler = Rc::new(RefCell::new(scheduler));
        let pass_due = Rc::new(Notify::new());
        let evacuations = Rc::new(EvacuationWatch::new(
            ports.clone(),
            Rc::clone(&authority),
            Rc::clone(&scheduler),
            Rc::clone(&pass_due),
            settings.evacuation_bound,
        ));
        let (jobs, withdrawn_jobs, fences, workers, evacuated, ()) = tokio::join!(
            load_jobs(&ports, &authority, &scheduler, uncertain_until),
            load_withdrawn_jobs(&ports, &authority),
            load_fences(&ports, &authority),
            load_workers(&ports, &authority, &scheduler, uncertain_until),
            evacuations.load(),
            refresh_catalog(&ports, &authority, &catalog),
        );
        let (jobs, withdrawn_jobs) = (jobs?, withdrawn_jobs?);
        let (fences, workers, ()) = (fences?, workers?, evacuated?);
        let commit_done = Rc::new(Notify::new());
        let journal = Rc::new(RecordJournal::new(
            ports.clone(),
            Rc::clone(&authority),
            Rc::clone(&scheduler),
            owner_revision,
            fences,
            Rc::clone(&commit_done),
        ));
        let sender = Rc::new(CommandSender::new(
            ports.clone(),
            Rc::clone(&authority),
            Rc::clone(&scheduler),
            Rc::clone(&evacuations),
            settings.worker_lease,
            Rc::clone(&pass_due),
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
            evacuations,
            permission_queue: PermissionQueue::default(),
            assigned_at: Cell::default(),
            reported_permissions: Cell::default(),
            members: RefCell::default(),
            pacing: Rc::default(),
            pass_due,
            commit_done,
            applied_version: Cell::new(None),
            resigned: Cell::new(false),
            lag: Cell::default(),
            shares: RefCell::default(),
            accept_delay: RefCell::default(),
            withdrawn_jobs: RefCell::new(withdrawn_jobs),
            requests: Cell::default(),
        });
        // Reports are judged by the rules in force.
        dispatcher.apply_catalog();
        workers.into_iter().for_each(|worker| dispatcher.run_worker(worker));
        Some(dispatcher)
    }

    /// Runs until the ownership ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let journal = Rc::clone(&self.journal).run();
        let journal = self.ports.meter.meter(WorkKind::Records, journal);
        let journal = spawn_owner_task("journal", &self.authority, journal);
        let listing = Rc::clone(&self).list_workers();
        let listing = spawn_owner_task("worker-list", &self.authority, listing);
        let evacuations = Rc::clone(&self.evacuations).run();
        let evacuations = spawn_owner_task("evacuations", &self.authority, evacuations);
        // What the process has done before its ownership is not the owner's work.
        for kind in WorkKind::ALL {
            self.ports.meter.take(kind);
        }
        // A panic has ended the ownership.
        let _ = catch_owner_panic("passes", &self.authority, self.run_passes()).await;
        listing.abort();
        evacuations.abort();
        self.evacuations.end();
        self.journal.wake();
        if journal.await.is_err() {
            log_event!(Error, "child-failed", child = "journal");
        }
        self.journal.fail_waiters();
        self.commit_done.notify_waiters();
    }

    /// Runs scheduling passes until the ownership ends.
    async fn run_passes(self: &Rc<Self>) {
        let mut expired = self.ports.clock.now();
        let mut reported = expired;
        while !self.authority.is_lost() {
            let began = self.ports.clock.now();
            self.ports.meter.time(WorkKind::Passes, || self.run_pass());
            let took = self.ports.clock.now().saturating_sub(began);
            // A timeout needs no handling: a pass runs either way.
            let _ = tokio::time::timeout(PASS_INTERVAL, self.pass_due.notified()).await;
            let gap = self.pacing.borrow_mut().record(took);
            let paused = self.ports.clock.now();
            tokio::time::sleep(gap).await;
            let now = self.ports.clock.now();
            self.record_lag(now.saturating_sub(paused + gap));
            if now >= reported + REPORT_INTERVAL {
                reported = now;
                self.report_counts(now);
                self.report_permissions(now);
            }
            if now >= expired + EXPIRE_INTERVAL {
                expired = now;
                self.expire_records();
            }
        }
    }

    /// Removes the records of jobs that can no longer be queried, and of cancellations that no longer count.
    fn expire_records(&self) {
        let now = self.ports.clock.now();
        let retention = self.settings.job_retention.saturating_add(EXPIRE_INTERVAL);
        let expired =
            self.scheduler.borrow_mut().expire_jobs(now, retention, EXPIRE_LIMIT);
        let mut keys: Vec<String> = expired.iter().map(job_key).collect();
        keys.extend(self.withdrawn_jobs.borrow_mut().take_expired(now));
        if !keys.is_empty() {
            self.journal.remove(keys);
        }
    }

    /// Reads the worker directory periodically and starts a loop for each new worker.
    async fn list_workers(self: Rc<Self>) {
        let mut disconnected = false;
        while !self.authority.is_lost() {
            let sent = self.ports.clock.now();
            match self.ports.directory.list().await {
                Ok(list) => {
                    if std::mem::take(&mut disconnected) {
                        log_event!(Info, "store-regained", part = "workers");
                    }
                    cell_metrics::set_workers_listed(self.ports.clock.unix_time());
                    let now = self.ports.clock.now();
                    let added = self.scheduler.borrow_mut().list_workers(list, sent, now);
                    for worker in added {
                        self.run_worker(worker);
                    }
                    self.journal.wake();
                }
                Err(error) => {
                    if !disconnected {
                        log_event!(Warn, "store-lost", part = "workers", error = error);
                    }
                    disconnected = true;
                }
            }
            tokio::time::sleep(LIST_INTERVAL).await;
        }
    }

    /// Starts the loop of a worker.
    fn run_worker(&self, worker: WorkerKey) {
        let worker_loop = WorkerLoop {
            ports: self.ports.clone(),
            authority: Rc::clone(&self.authority),
            scheduler: Rc::clone(&self.scheduler),
            sender: Rc::clone(&self.sender),
            pass_due: Rc::clone(&self.pass_due),
            commit_done: Rc::clone(&self.commit_done),
            pacing: Rc::clone(&self.pacing),
            worker,
            typical_wait: Cell::new(POLL_WAIT),
        };
        let polls = self.ports.meter.meter(WorkKind::Polls, worker_loop.run());
        spawn_owner_task("worker-loop", &self.authority, polls);
    }

    /// Runs a scheduling pass: places tasks, sends commands, requests permissions and triggers
    /// writes.
    fn run_pass(self: &Rc<Self>) {
        let now = self.ports.clock.now();
        self.apply_catalog();
        let job_bytes = self.job_bytes();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_placed_memory(job_bytes);
        scheduler.sweep(now);
        let mut requests = Vec::new();
        let mut starts = Vec::new();
        // Without a configuration, the limits of the accounts are unknown.
        let known =
            self.applied_version.get().is_some() && self.evacuations.permits_starts(now);
        if self.authority.may_start(now) && known {
            let callers = self.permission_callers(now);
            let period = self.pacing.borrow().period();
            let calls = self.permission_queue.budget(&callers, now, period);
            let round = scheduler.place(self.ports.clock.unix_time(), now, calls);
            starts = round.starts;
            requests = round.requests;
        }
        let stops = scheduler.take_stops();
        let events = scheduler.take_events();
        let due = scheduler.has_due_writes(now);
        scheduler.update_waiting_load(self.ports.clock.unix_time());
        drop(scheduler);
        for stop in stops {
            self.sender.stop(stop);
        }
        for start in starts {
            self.sender.start(start);
        }
        events.iter().for_each(log_scheduler_event);
        self.permission_queue.push(requests);
        self.assign_requests(now);
        if due {
            self.journal.wake();
        }
    }

    /// Applies the account limits and the rules of queues of a new configuration.
    fn apply_catalog(&self) {
        let Some(current) = self.catalog.current() else { return };
        let version = Some(current.catalog.version);
        if version != self.applied_version.replace(version) {
            let now = self.ports.clock.now();
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.set_limits(current.catalog.account_limits());
            scheduler.set_queues(current.catalog.queue_rules(), now);
        }
    }

    /// Handles a request that only the owner can serve. After a panic it is not known what has become of
    /// the request.
    pub(crate) async fn handle(&self, request: PeerRequest) -> PeerReply {
        let (kind, mut tally) = (work_kind(&request), self.requests.get());
        tally.submissions += u64::from(kind == WorkKind::Submissions);
        tally.lookups += u64::from(kind == WorkKind::Lookups);
        tally.heartbeats += u64::from(kind == WorkKind::Heartbeats);
        self.requests.set(tally);
        let work = self.ports.meter.meter(kind, self.serve(request));
        let reply = catch_owner_panic("request", &self.authority, work).await;
        reply.unwrap_or(PeerReply::Refused(ErrorKind::StoreUnknown))
    }

    async fn serve(&self, request: PeerRequest) -> PeerReply {
        let now = self.ports.clock.now();
        if self.authority.is_lost() || self.resigned.get() {
            return PeerReply::NotOwner;
        }
        match request {
            PeerRequest::Heartbeat(member) => self.register_member(member, now),
            PeerRequest::Submit(message) => self.submit(message).await,
            PeerRequest::Query(job) => self.query(&job, now).await,
            PeerRequest::Cancel(message) => self.cancel(message, now).await,
            PeerRequest::Waiting(queue) => {
                PeerReply::Waiting(self.scheduler.borrow().waiting_jobs(&queue) as u64)
            }
            PeerRequest::OwnerSeen(_)
            | PeerRequest::ProbeStore
            | PeerRequest::RevokeOwnership(..)
            | PeerRequest::Catalog
            | PeerRequest::Permission(_) => PeerReply::NotOwner,
        }
    }

    /// Records the heartbeat of a process and returns the known processes.
    fn register_member(&self, member: MemberInfo, now: BootTime) -> PeerReply {
        let mut members = self.members.borrow_mut();
        members.record_heartbeat(member, now);
        members.remove_silent(now, MEMBER_RETENTION);
        PeerReply::Heartbeat(self.authority.epoch, self.catalog.version(), members.all())
    }

    /// Gives up the ownership so that another process can take over immediately.
    pub(crate) async fn resign(&self) {
        self.resigned.set(true);
        log_event!(Info, "ownership-resigned", epoch = self.authority.epoch);
        cell_metrics::count_ownership("resigned", 0);
        self.authority.mark_lost();
        if let Err(error) = self.ports.store.revoke_lease(self.authority.lease).await {
            log_event!(Warn, "lease-end-failed", error = error);
        }
    }
}

/// Returns the kind of work of a request that only the owner can serve.
fn work_kind(request: &PeerRequest) -> WorkKind {
    match request {
        PeerRequest::Submit(_) => WorkKind::Submissions,
        PeerRequest::Heartbeat(_) => WorkKind::Heartbeats,
        _ => WorkKind::Lookups,
    }
}
