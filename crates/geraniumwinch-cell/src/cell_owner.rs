//! Takes the ownership of the cell when it is free, and keeps in touch with the owner otherwise.

mod claiming;
mod hand_over;
mod survey;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use geraniumwinch_core::log_event;
use geraniumwinch_fleet::BootTime;
use rand::Rng;

use crate::CallError;
use crate::CellPorts;
use crate::CellSettings;
use crate::VmSize;
use crate::authority::OwnerAuthority;
use crate::catalog_watch::CatalogWatch;
use crate::cell_dispatcher::CellDispatcher;
use crate::cell_metrics;
use crate::member_table::MemberTable;
use crate::owner_record::EPOCH_KEY;
use crate::owner_record::OwnerRecord;
use crate::owner_watch::OwnerWatch;
use crate::peer_message::MemberNote;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_service::PeerClient;

/// The time after which an ownership that is not renewed ends.
pub(crate) const OWNER_TTL: Duration = Duration::from_millis(3000);
/// The time between two renewals.
const RENEWAL: Duration = Duration::from_millis(700);
/// The wait before a failed renewal is repeated.
const RENEWAL_RETRY: Duration = Duration::from_millis(120);
/// The time without a renewal, though some were tried, after which another owner is looked for.
const HAND_OVER_AFTER: Duration = Duration::from_millis(400);
/// The time between two words to the owner.
const HELLO: Duration = Duration::from_millis(400);
/// The time in which the owner has to answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(400);
/// The wait after the owner was not reached.
const HELLO_RETRY: Duration = Duration::from_millis(80);
/// How old the owner's last answer may be for it to count as seen.
const SEEN_AGE: Duration = Duration::from_millis(1000);
/// How old the store's word that nobody owns the cell may be.
const VACANCY_AGE: Duration = Duration::from_millis(3500);
/// The time at the begin of an ownership in which silent processes are not held against it.
const SETTLING: Duration = Duration::from_millis(3000);
/// The fewest known processes among which a majority means anything.
const QUORUM_MIN: usize = 3;
/// The time after a resignation in which a process does not claim.
const RESIGNED_WAIT: Duration = Duration::from_millis(3000);

/// Owns the cell or follows the owner.
pub(crate) struct CellOwner {
    ports: CellPorts,
    settings: Rc<CellSettings>,
    catalog: Rc<CatalogWatch>,
    pub(crate) watch: Rc<OwnerWatch>,
    peers: PeerClient,
    /// The size of this VM.
    size: VmSize,
    /// The number that tells this process from a former one of the same name.
    pub(crate) process: u64,
    active: RefCell<Option<Rc<CellDispatcher>>>,
    members: RefCell<MemberTable>,
    /// The epoch of the owner that answered last, and when.
    seen: Cell<(u64, BootTime)>,
    no_claim_before: Cell<BootTime>,
    stopping: Cell<bool>,
}

impl CellOwner {
    /// Creates the part that owns the cell or follows the owner.
    pub(crate) fn new(
        ports: CellPorts,
        settings: Rc<CellSettings>,
        catalog: Rc<CatalogWatch>,
        watch: Rc<OwnerWatch>,
        peers: PeerClient,
    ) -> Rc<Self> {
        let size = VmSize::from_cpu_share(settings.cpu_share);
        Rc::new(CellOwner {
            ports,
            settings,
            catalog,
            watch,
            peers,
            size,
            process: rand::rng().random(),
            active: RefCell::new(None),
            members: RefCell::default(),
            seen: Cell::new((0, BootTime::ZERO)),
            no_claim_before: Cell::new(BootTime::ZERO),
            stopping: Cell::new(false),
        })
    }

    /// Returns the dispatcher if this process owns the cell.
    pub(crate) fn active(&self) -> Option<Rc<CellDispatcher>> {
        self.active.borrow().clone()
    }

    /// Returns whether the owner has answered within a time, or is this process.
    pub(crate) fn in_touch(&self, age: Duration) -> bool {
        let now = self.ports.clock.now();
        self.active.borrow().is_some() || now < self.seen.get().1 + age
    }

    /// Returns whether the owner of an epoch has answered lately.
    pub(crate) fn owner_seen(&self, epoch: u64) -> bool {
        let (seen_epoch, at) = self.seen.get();
        seen_epoch >= epoch && self.ports.clock.now() < at + SEEN_AGE
    }

    /// Hands the ownership over and claims no other.
    pub(crate) async fn stop(&self) {
        self.stopping.set(true);
        if let Some(active) = self.active() {
            active.resign().await;
        } else if let Some(owner) = self.watch.current() {
            let hello = PeerRequest::Hello(self.note());
            // The owner forgets a silent process anyway.
            let _ = self.peers.call(owner.address, &hello, HELLO_TIMEOUT).await;
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            match self.watch.current() {
                Some(owner) if owner.process == self.process => {
                    self.watch.await_change(HELLO).await;
                }
                Some(owner) => self.follow(&owner).await,
                None if self.may_claim() => self.claim().await,
                None => self.watch.await_change(HELLO_RETRY).await,
            }
        }
    }

    /// Returns whether this process may claim the ownership now.
    fn may_claim(&self) -> bool {
        let now = self.ports.clock.now();
        !self.stopping.get()
            && now >= self.no_claim_before.get()
            && self.watch.vacant(VACANCY_AGE)
    }

    /// Returns what this process says of itself.
    fn note(&self) -> MemberNote {
        MemberNote {
            name: self.settings.name.clone(),
            address: self.settings.peer_address,
            domain: self.settings.domain.clone(),
            version: self.catalog.version(),
            size: self.size,
            stopping: self.stopping.get(),
        }
    }

    /// Tells the owner that this process is alive and draws conclusions from the answer.
    async fn follow(&self, owner: &OwnerRecord) {
        if owner.name == self.settings.name && !self.stopping.get() {
            // The record is of a former process at this place, which is gone.
            self.depose(owner, "restart").await;
            return;
        }
        let hello = PeerRequest::Hello(self.note());
        let sent = self.ports.clock.now();
        match self.peers.call(owner.address, &hello, HELLO_TIMEOUT).await {
            Ok(PeerReply::Hello(epoch, version, members)) => {
                self.seen.set((epoch, sent));
                self.members.borrow_mut().replace(members, sent);
                if version > self.catalog.version() {
                    self.fetch_catalog(owner.address).await;
                }
                self.watch.await_change(HELLO).await;
            }
            Err(CallError::NotSent { .. }) => {
                if !self.stopping.get() && self.confirm_gone(owner).await {
                    self.depose(owner, "refused").await;
                } else {
                    self.watch.await_change(HELLO_RETRY).await;
                }
            }
            Err(_) if !self.stopping.get() && self.silent_owner(owner).await => {
                self.depose(owner, "silent").await;
            }
            _ => self.watch.await_change(HELLO_RETRY).await,
        }
    }

    /// Takes a newer configuration over from a peer.
    async fn fetch_catalog(&self, from: SocketAddr) {
        let call = self.peers.call(from, &PeerRequest::Catalog, HELLO_TIMEOUT);
        if let Ok(PeerReply::Catalog(Some(bytes))) = call.await {
            self.catalog.offer(&bytes, "peer");
        }
    }

    /// Ends the lease of an owner whose process is gone.
    async fn depose(&self, owner: &OwnerRecord, reason: &str) {
        self.end_lease(owner.epoch, owner.lease, reason).await;
        self.watch.await_change(HELLO_RETRY).await;
    }

    /// Ends the lease of the owner of an epoch and returns whether the store has done so.
    pub(crate) async fn end_lease(&self, epoch: u64, lease: u64, reason: &str) -> bool {
        log_event!(Warn, "owner-deposed", epoch = epoch, reason = reason);
        let result = self.ports.store.revoke_lease(lease).await;
        if let Err(error) = &result {
            log_event!(Warn, "lease-end-failed", error = error);
        }
        result.is_ok()
    }

    /// Returns whether the store answers this process now.
    pub(crate) async fn store_answers(&self) -> bool {
        self.ports.store.get(EPOCH_KEY).await.is_ok()
    }

    /// Dispatches until the ownership ends.
    async fn dispatch(self: &Rc<Self>, authority: OwnerAuthority, revision: u64) {
        let authority = Rc::new(authority);
        cell_metrics::count_ownership("taken", authority.epoch);
        log_event!(Info, "ownership-taken", epoch = authority.epoch, revision = revision);
        let keeping = actix_rt::spawn(Rc::clone(self).keep(Rc::clone(&authority)));
        let dispatcher = CellDispatcher::take_over(
            self.ports.clone(),
            Rc::clone(&self.settings),
            Rc::clone(&self.catalog),
            self.peers.clone(),
            Rc::clone(&authority),
            revision,
        )
        .await;
        if let Some(dispatcher) = dispatcher {
            *self.active.borrow_mut() = Some(Rc::clone(&dispatcher));
            dispatcher.run().await;
            *self.active.borrow_mut() = None;
        }
        authority.lose();
        keeping.abort();
        cell_metrics::count_ownership("ended", 0);
        log_event!(Info, "ownership-ended", epoch = authority.epoch);
        // A record that is left ends with its lease.
        let _ = self.ports.store.revoke_lease(authority.lease).await;
        let now = self.ports.clock.now();
        self.no_claim_before.set(self.no_claim_before.get().max(now + HELLO_RETRY));
    }

    /// Renews the ownership until it ends.
    async fn keep(self: Rc<Self>, authority: Rc<OwnerAuthority>) {
        let began = self.ports.clock.now();
        let mut failing: Option<BootTime> = None;
        while !authority.is_lost() {
            let sent = self.ports.clock.now();
            let pause = match self.ports.store.renew_lease(authority.lease).await {
                Ok(true) => {
                    authority.renew(sent);
                    failing = None;
                    RENEWAL
                }
                Ok(false) => {
                    log_event!(
                        Warn,
                        "ownership-lost",
                        epoch = authority.epoch,
                        by = "lease"
                    );
                    authority.lose();
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
                    let due = self.ports.clock.now() > since + HAND_OVER_AFTER;
                    if due && self.hand_over(&authority).await {
                        return;
                    }
                    RENEWAL_RETRY
                }
            };
            if sent > began + SETTLING && self.yield_to_larger(&authority).await {
                return;
            }
            if sent > began + SETTLING && self.is_cut_off(sent) {
                log_event!(Warn, "owner-cut-off", epoch = authority.epoch);
                self.no_claim_before.set(sent + RESIGNED_WAIT);
                if let Some(active) = self.active() {
                    active.resign().await;
                }
                return;
            }
            match failing {
                None => authority.await_doubt(pause).await,
                Some(_) => tokio::time::sleep(pause).await,
            }
        }
    }

    /// Returns whether the owner hears from fewer than half of the processes that it knows.
    fn is_cut_off(&self, now: BootTime) -> bool {
        let Some(active) = self.active() else { return false };
        let members = active.members.borrow();
        let known = members.all().len();
        known >= QUORUM_MIN && (members.live(now).len() + 1) * 2 < known + 1
    }
}
