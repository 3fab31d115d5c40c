//! Election of the cell's owner: claims a vacant ownership and otherwise sends heartbeats to the
//! owner.

mod claiming;
mod hand_over;
mod quorum_check;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use rand::Rng;
use tokio::sync::Notify;

use crate::CallError;
use crate::CellPorts;
use crate::CellSettings;
use crate::OwnerContact;
use crate::VmSize;
use crate::catalog_watch::CatalogWatch;
use crate::cell_dispatcher::CellDispatcher;
use crate::cell_metrics;
use crate::member_table::MemberTable;
use crate::owner_authority::OwnerAuthority;
use crate::owner_record::EPOCH_KEY;
use crate::owner_record::OwnerRecord;
use crate::owner_watch::OwnerWatch;
use crate::peer_message::MemberInfo;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_service::PeerClient;
use crate::task_guard::catch_owner_panic;
use crate::task_guard::spawn_owner_task;

/// The time to live of an ownership that is not renewed.
pub(crate) const OWNER_TTL: Duration = Duration::from_millis(3000);
/// The interval of renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// The delay before a failed renewal is retried.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(120);
/// How long renewals have to fail before the owner looks for a successor.
const HANDOVER_DELAY: Duration = Duration::from_millis(400);
/// The interval of heartbeats to the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// The timeout for a call to a peer that is no heartbeat.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// The delay after a failed heartbeat.
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(80);
/// The maximum age of the store's last response for a vacancy to be trusted.
const VACANCY_MAX_AGE: Duration = Duration::from_millis(3500);
/// The period after a takeover in which silent processes do not count against the owner.
const STARTUP_GRACE: Duration = Duration::from_millis(3000);
/// The minimum number of known processes for which a majority is meaningful.
const MIN_QUORUM_MEMBERS: usize = 3;
/// How long a process does not claim after it has resigned or panicked, so that another one can.
const CLAIM_COOLDOWN: Duration = Duration::from_millis(3000);

/// Takes part in the election of the cell's owner.
pub(crate) struct OwnerElection {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    catalog: Rc<CatalogWatch>,
    pub(crate) watch: Rc<OwnerWatch>,
    peers: PeerClient,
    /// The size of this VM.
    size: VmSize,
    /// A random number that distinguishes this process from earlier ones of the same name.
    pub(crate) process: u64,
    dispatcher: RefCell<Option<Rc<CellDispatcher>>>,
    members: RefCell<MemberTable>,
    contact: RefCell<OwnerContact>,
    claim_not_before: Cell<BootTime>,
    stopping: Cell<bool>,
    stop_begun: Notify,
}

impl OwnerElection {
    /// Creates a participant in the election.
    pub(crate) fn new(
        ports: CellPorts,
        settings: Rc<CellSettings>,
        catalog: Rc<CatalogWatch>,
        watch: Rc<OwnerWatch>,
        peers: PeerClient,
    ) -> Rc<Self> {
        let size = VmSize::from_cpu_share(settings.cpu_share);
        Rc::new(OwnerElection {
            ports,
            settings,
            catalog,
            watch,
            peers,
            size,
            process: rand::rng().random(),
            dispatcher: RefCell::new(None),
            members: RefCell::default(),
            contact: RefCell::default(),
            claim_not_before: Cell::new(BootTime::ZERO),
            stopping: Cell::new(false),
            stop_begun: Notify::new(),
        })
    }

    /// Returns the dispatcher if this process owns the cell.
    pub(crate) fn dispatcher(&self) -> Option<Rc<CellDispatcher>> {
        self.dispatcher.borrow().clone()
    }

    /// Returns whether this process is the owner or the owner has responded within `age`.
    pub(crate) fn has_recent_contact(&self, age: Duration) -> bool {
        let now = self.ports.clock.now();
        let contact = self.contact.borrow();
        self.dispatcher.borrow().is_some() || contact.responded_within(age, now)
    }

    /// Returns whether the owner of an epoch, or of a later one, responds to this process. If it is not
    /// known, another heartbeat tells.
    pub(crate) async fn sees_owner(&self, epoch: u64) -> bool {
        let seen = self.contact.borrow().sees(epoch, self.ports.clock.now());
        if let Some(seen) = seen {
            return seen;
        }
        let owner = self.watch.current().filter(|owner| {
            owner.epoch >= epoch && owner.address != self.settings.peer_address
        });
        let Some(owner) = owner else { return false };
        // A process that does not serve the ownership yet is not silent.
        self.exchange_heartbeat(&owner).await.is_ok()
    }

    /// Hands the ownership over and stops claiming it.
    pub(crate) async fn stop(&self) {
        self.stopping.set(true);
        self.stop_begun.notify_waiters();
        if let Some(dispatcher) = self.dispatcher() {
            dispatcher.resign().await;
        } else if let Some(owner) = self.watch.current() {
            let heartbeat = PeerRequest::Heartbeat(self.member_info());
            // Without this message, the owner detects the stop by missing heartbeats.
            let _ = self.peers.call(owner.address, &heartbeat, PEER_TIMEOUT).await;
        }
    }

    /// Runs until the process exits.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            match self.watch.current() {
                Some(owner) if owner.process == self.process => {
                    self.give_up_claim(&owner).await;
                }
                Some(owner) => self.send_heartbeat(&owner).await,
                None if self.may_claim() => self.claim().await,
                None => self.watch.await_change(HEARTBEAT_RETRY_DELAY).await,
            }
        }
    }

    /// Returns whether this process may claim the ownership now.
    fn may_claim(&self) -> bool {
        let now = self.ports.clock.now();
        !self.stopping.get()
            && now >= self.claim_not_before.get()
            && self.watch.is_vacant(VACANCY_MAX_AGE)
    }

    /// Returns the information that this process reports to the owner.
    fn member_info(&self) -> MemberInfo {
        MemberInfo {
            name: self.settings.name.clone(),
            address: self.settings.peer_address,
            domain: self.settings.domain.clone(),
            version: self.catalog.version(),
            size: self.size,
            job_bytes: self.settings.vm.job_bytes(),
            stopping: self.stopping.get(),
        }
    }

    /// Sends a heartbeat to the owner and handles the result.
    async fn send_heartbeat(&self, owner: &OwnerRecord) {
        if owner.name == self.settings.name && !self.stopping.get() {
            // The record was written by an earlier process of the same name, which is gone.
            self.revoke_owner(owner, "restart").await;
            return;
        }
        match self.exchange_heartbeat(owner).await {
            Ok(Some(version)) => {
                if version > self.catalog.version() {
                    self.fetch_catalog(owner.address).await;
                }
                self.watch.await_change(HEARTBEAT_INTERVAL).await;
            }
            Err(CallError::NotSent { .. }) => {
                if !self.stopping.get() && self.confirm_owner_down(owner).await {
                    self.revoke_owner(owner, "refused").await;
                } else {
                    self.watch.await_change(HEARTBEAT_RETRY_DELAY).await;
                }
            }
            Err(_) if !self.stopping.get() && self.is_owner_silent(owner).await => {
                self.revoke_owner(owner, "silent").await;
            }
            _ => self.watch.await_change(HEARTBEAT_RETRY_DELAY).await,
        }
    }

    /// Sends a heartbeat to the owner, and returns the version of its configuration; `None` if the
    /// process does not serve the ownership now.
    async fn exchange_heartbeat(
        &self,
        owner: &OwnerRecord,
    ) -> crate::Result<Option<u64>> {
        let heartbeat = PeerRequest::Heartbeat(self.member_info());
        let timeout = self.contact.borrow().timeout(owner.epoch);
        cell_metrics::set_heartbeat_timeout(timeout);
        let sent = self.ports.clock.now();
        match self.peers.call(owner.address, &heartbeat, timeout).await {
            Ok(PeerReply::Heartbeat(epoch, version, members)) => {
                let took = self.ports.clock.now().saturating_sub(sent);
                self.contact.borrow_mut().record_response(epoch, sent, took);
                self.members.borrow_mut().replace(members, sent);
                Ok(Some(version))
            }
            Ok(_) => Ok(None),
            Err(error) => {
                self.contact.borrow_mut().record_miss(owner.epoch, sent);
                Err(error)
            }
        }
    }

    /// Fetches a newer configuration from a peer.
    async fn fetch_catalog(&self, from: SocketAddr) {
        let call = self.peers.call(from, &PeerRequest::Catalog, PEER_TIMEOUT);
        if let Ok(PeerReply::Catalog(Some(bytes))) = call.await {
            self.catalog.apply_if_newer(&bytes, "peer");
        }
    }

    /// Revokes the lease of this process's own record, which no dispatcher serves: the ownership has
    /// ended, or the claim was committed without a response.
    async fn give_up_claim(&self, owner: &OwnerRecord) {
        self.watch.await_change(HEARTBEAT_RETRY_DELAY).await;
        if self.watch.current().as_ref() == Some(owner) {
            self.revoke_owner(owner, "unserved").await;
        }
    }

    /// Revokes the lease of an owner that is down.
    async fn revoke_owner(&self, owner: &OwnerRecord, reason: &str) {
        self.revoke_owner_lease(owner.epoch, owner.lease, reason).await;
        self.watch.await_change(HEARTBEAT_RETRY_DELAY).await;
    }

    /// Revokes the lease of an epoch's owner and returns whether the store confirmed it.
    pub(crate) async fn revoke_owner_lease(
        &self,
        epoch: u64,
        lease: u64,
        reason: &str,
    ) -> bool {
        log_event!(Warn, "owner-deposed", epoch = epoch, reason = reason);
        let result = self.ports.store.revoke_lease(lease).await;
        if let Err(error) = &result {
            log_event!(Warn, "lease-end-failed", error = error);
        }
        result.is_ok()
    }

    /// Returns whether the store responds to this process.
    pub(crate) async fn is_store_reachable(&self) -> bool {
        self.ports.store.get(EPOCH_KEY).await.is_ok()
    }

    /// Runs the dispatcher until the ownership ends.
    async fn run_dispatcher(self: &Rc<Self>, authority: OwnerAuthority, revision: u64) {
        let authority = Rc::new(authority);
        cell_metrics::count_ownership("taken", authority.epoch);
        log_event!(
            Info,
            "ownership-taken",
            epoch = authority.epoch,
            revision = revision,
            vm_cpu_millis = self.size.cpu_millis(),
        );
        let renewal = Rc::clone(self).renew_until_lost(Rc::clone(&authority));
        let renewal = spawn_owner_task("renewal", &authority, renewal);
        let take_over = CellDispatcher::take_over(
            self.ports.clone(),
            Rc::clone(&self.settings),
            Rc::clone(&self.catalog),
            self.peers.clone(),
            Rc::clone(&authority),
            revision,
        );
        let loading = catch_owner_panic("takeover", &authority, take_over);
        // The signal to stop may have arrived during the claim, or may arrive during the loading.
        let dispatcher = tokio::select! {
            biased;
            () = self.await_stop() => None,
            dispatcher = loading => dispatcher.flatten(),
        };
        if let Some(dispatcher) = dispatcher {
            *self.dispatcher.borrow_mut() = Some(Rc::clone(&dispatcher));
            dispatcher.run().await;
            *self.dispatcher.borrow_mut() = None;
        }
        authority.mark_lost();
        renewal.abort();
        cell_metrics::count_ownership("ended", 0);
        log_event!(Info, "ownership-ended", epoch = authority.epoch);
        // If this call fails, the record expires with its lease.
        let _ = self.ports.store.revoke_lease(authority.lease).await;
        let now = self.ports.clock.now();
        let pause = match authority.has_panicked() {
            true => CLAIM_COOLDOWN,
            false => HEARTBEAT_RETRY_DELAY,
        };
        self.claim_not_before.set(self.claim_not_before.get().max(now + pause));
    }

    /// Waits until the process has to stop.
    async fn await_stop(&self) {
        while !self.stopping.get() {
            self.stop_begun.notified().await;
        }
    }

    /// Renews the ownership until it ends.
    async fn renew_until_lost(self: Rc<Self>, authority: Rc<OwnerAuthority>) {
        let began = self.ports.clock.now();
        let mut failing: Option<BootTime> = None;
        while !authority.is_lost() {
            let sent = self.ports.clock.now();
            let pause = match self.ports.store.renew_lease(authority.lease).await {
                Ok(true) => {
                    authority.renew(sent);
                    failing = None;
                    RENEWAL_INTERVAL
                }
                Ok(false) => {
                    authority.report_lost("lease");
                    return;
                }
                Err(error) => {
                    log_event!(
                        Warn,
                        "renewal-failed",
                        epoch = authority.epoch,
                        error = error
                    );
                    let since = *failing.get_or_insert(sent);
                    let due = self.ports.clock.now() > since + HANDOVER_DELAY;
                    if due && self.hand_over(&authority).await {
                        return;
                    }
                    RENEWAL_RETRY_DELAY
                }
            };
            if sent > began + STARTUP_GRACE && self.yield_to_larger_vm(&authority).await {
                return;
            }
            if sent > began + STARTUP_GRACE && self.is_partitioned(sent) {
                log_event!(Warn, "owner-cut-off", epoch = authority.epoch);
                self.claim_not_before.set(sent + CLAIM_COOLDOWN);
                if let Some(dispatcher) = self.dispatcher() {
                    dispatcher.resign().await;
                }
                return;
            }
            match failing {
                None => authority.await_renewal_request(pause).await,
                Some(_) => tokio::time::sleep(pause).await,
            }
        }
    }

    /// Returns whether the owner receives heartbeats from fewer than half of the known processes.
    fn is_partitioned(&self, now: BootTime) -> bool {
        let Some(dispatcher) = self.dispatcher() else { return false };
        let members = dispatcher.members.borrow();
        let known = members.all().len();
        known >= MIN_QUORUM_MEMBERS && (members.live(now).len() + 1) * 2 < known + 1
    }
}
