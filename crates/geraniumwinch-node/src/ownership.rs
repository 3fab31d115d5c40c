//! Ownership of the process's failure domain: heartbeats, failure detection and leases.

mod owned_domain;
mod owner_record;
mod take_over;

pub(crate) use self::owned_domain::OwnedDomain;
use self::owned_domain::RecoveredState;
pub(crate) use self::owner_record::OwnerRecord;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use geraniumwinch_core::log_event;
use geraniumwinch_wire::HandoverState;
use geraniumwinch_wire::HeartbeatRequest;
use geraniumwinch_wire::HeartbeatResponse;
use geraniumwinch_wire::OwnerReport;
use geraniumwinch_wire::OwnerView;
use geraniumwinch_wire::PeerMessage;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::node_shared::NodeShared;
use crate::platform_store::PlatformStore;
use crate::store_keys;
use crate::vm_list::VmList;
use crate::worker_port::WorkerPort;

/// Interval between two ticks of the fence.
const FENCE_TICK: Duration = Duration::from_millis(20);

/// The adapters to the platform's services.
pub(crate) struct PlatformPorts {
    /// The key-value store.
    pub(crate) store: Rc<dyn PlatformStore>,

    pub(crate) vm_list: Rc<dyn VmList>,

    pub(crate) workers: Rc<dyn WorkerPort>,
}

/// A request to the ownership manager.
pub(crate) enum OwnershipRequest {
    /// Takes over the domain from its owner, given its state; the response is whether it succeeded.
    AcceptHandover(Box<HandoverState>, oneshot::Sender<bool>),
    /// Hands the domain over to another process, if this process owns it.
    HandOver(oneshot::Sender<()>),
}

/// Sends heartbeats to the owner of the domain, or maintains the ownership of this process.
pub(crate) struct OwnershipManager {
    shared: Arc<NodeShared>,
    ports: Rc<PlatformPorts>,
    owned: RefCell<Option<OwnedDomain>>,
    /// The address of an owner that does not respond, and since when.
    silent_since: RefCell<Option<(SocketAddr, Instant)>>,
    /// The epoch whose owner has received the held slots, or 0 if none has.
    reported_epoch: RefCell<u64>,
}

impl OwnershipManager {
    /// Creates a manager that owns nothing.
    pub(crate) fn new(shared: Arc<NodeShared>, ports: Rc<PlatformPorts>) -> Rc<Self> {
        Rc::new(OwnershipManager {
            shared,
            ports,
            owned: RefCell::new(None),
            silent_since: RefCell::new(None),
            reported_epoch: RefCell::new(0),
        })
    }

    /// Ticks the fence until the process ends; the fence suspends decisions after a pause.
    pub(crate) async fn run_fence(shared: Arc<NodeShared>) {
        let mut ticker = tokio::time::interval(FENCE_TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticker.tick().await;
            if shared.fence.tick(shared.now()) {
                log_event!(Warn, "ownership-suspended", domain = shared.domain());
            }
        }
    }

    /// Runs a tick per heartbeat period and handles requests, until the process ends.
    pub(crate) async fn run(
        self: Rc<Self>,
        requests: Rc<tokio::sync::Mutex<mpsc::UnboundedReceiver<OwnershipRequest>>>,
    ) {
        let mut requests = requests.lock().await;
        loop {
            let period = self.shared.settings.peer_heartbeat;
            tokio::select! {
                Some(request) = requests.recv() => self.handle(request).await,
                () = tokio::time::sleep(period) => self.tick().await,
            }
        }
    }

    /// Handles a request.
    async fn handle(&self, request: OwnershipRequest) {
        match request {
            OwnershipRequest::AcceptHandover(state, done) => {
                let taken = self.accept_handover(*state).await;
                let _ = done.send(taken);
            }
            OwnershipRequest::HandOver(done) => {
                self.hand_over().await;
                let _ = done.send(());
            }
        }
    }

    /// Maintains the ownership, sends a heartbeat to the owner, or looks for an owner.
    async fn tick(&self) {
        if self.owns() {
            self.maintain().await;
            return;
        }
        if self.known_owner().is_none() {
            self.discover().await;
        }
        if let Some(owner) = self.known_owner().filter(|_| !self.owns()) {
            self.send_heartbeat(owner).await;
        }
    }

    /// Returns the owner that this process follows.
    fn known_owner(&self) -> Option<OwnerView> {
        self.shared.owner.borrow().as_ref().map(|owner| owner.view.clone())
    }

    /// Returns whether this process owns the domain.
    fn owns(&self) -> bool {
        self.owned.borrow().is_some()
    }

    /// Maintains the ownership, and steps down if it is lost.
    async fn maintain(&self) {
        let owned = self.owned.borrow_mut().take();
        let Some(mut owned) = owned else { return };
        let still_owned = owned.maintain().await;
        if still_owned {
            *self.owned.borrow_mut() = Some(owned);
        } else {
            self.step_down(owned);
        }
    }

    /// Stops serving the domain after its ownership was lost or handed over.
    fn step_down(&self, owned: OwnedDomain) {
        log_event!(
            Warn,
            "ownership-lost",
            domain = self.shared.domain(),
            epoch = owned.epoch()
        );
        owned.close();
        self.shared.owner.send_replace(None);
    }

    /// Looks up the owner in the store, or queries the seeds while the store is unavailable.
    ///
    /// Claims a domain that never had an owner.
    async fn discover(&self) {
        let domain = self.shared.domain();
        let record = self.ports.store.get(&store_keys::owner(domain)).await;
        self.shared.record_store_call(record.is_ok());
        match record {
            Ok(None) => self.claim(None).await,
            Ok(Some(record)) => {
                let known = self.known_owner().map(|owner| owner.epoch);
                if let Some(found) = OwnerRecord::decode(&record)
                    && known.is_none_or(|epoch| found.view.epoch > epoch)
                {
                    self.follow(found.view);
                }
            }
            Err(_) => self.query_seeds().await,
        }
    }

    /// Queries the seeds of the domain for its owner until one responds with it.
    async fn query_seeds(&self) {
        let own = self.shared.link.identity().address;
        let domain = self.shared.domain();
        let seeds = self.shared.settings.seeds_of(domain).to_vec();
        for seed in seeds.into_iter().filter(|seed| *seed != own) {
            let timeout = self.shared.settings.peer_heartbeat;
            let response =
                self.shared.link.call(seed, PeerMessage::OwnerRequest, timeout).await;
            if let Ok(PeerMessage::OwnerResponse(OwnerReport { owner: Some(owner) })) =
                response
            {
                self.follow(owner);
                return;
            }
        }
    }

    /// Starts following an owner that has not responded to a heartbeat yet.
    ///
    /// The time of its last response is set to one lease period ago, since there was none yet.
    fn follow(&self, view: OwnerView) {
        let now = self.shared.now();
        let last_response =
            now.checked_sub(self.shared.settings.owner_lease).unwrap_or(now);
        *self.silent_since.borrow_mut() = None;
        self.shared.set_owner(view, last_response);
    }

    /// Sends a heartbeat to the owner, with the held slots if this epoch has not received them yet.
    async fn send_heartbeat(&self, owner: OwnerView) {
        let now = self.shared.now();
        let own = self.shared.link.identity().address;
        let held = (*self.reported_epoch.borrow() != owner.epoch)
            .then(|| self.shared.held_slots.granted_by(self.shared.domain(), now));
        let report = HeartbeatRequest {
            epoch: owner.epoch,
            revision: self.shared.catalog.view().revision,
            held,
            stopping: self.shared.stopping(),
        };
        let timeout = self.shared.settings.peer_heartbeat * 2;
        let response = if owner.address == own {
            // An earlier instance of this process owned the domain before a restart.
            Ok(PeerMessage::NotOwner(OwnerReport { owner: None }))
        } else {
            self.shared
                .link
                .call(owner.address, PeerMessage::HeartbeatRequest(report), timeout)
                .await
        };
        match response {
            Ok(PeerMessage::HeartbeatResponse(response))
                if response.epoch >= owner.epoch =>
            {
                self.handle_heartbeat_response(&owner, response, now);
            }
            Ok(PeerMessage::NotOwner(OwnerReport { owner: Some(other) }))
                if other.epoch > owner.epoch =>
            {
                self.follow(other);
            }
            Ok(PeerMessage::NotOwner(_)) if owner.address != own => {
                self.discover().await;
                self.suspect(&owner, now).await;
            }
            _ => self.suspect(&owner, now).await,
        }
    }

    /// Handles the owner's response to a heartbeat that was sent at `sent`.
    ///
    /// Ages in the response are counted back from `sent`, so that information is never taken for
    /// newer than it is.
    fn handle_heartbeat_response(
        &self,
        owner: &OwnerView,
        response: HeartbeatResponse,
        sent: Instant,
    ) {
        let shared = &self.shared;
        *self.silent_since.borrow_mut() = None;
        *self.reported_epoch.borrow_mut() =
            if response.needs_held_grants { 0 } else { owner.epoch };
        let view = OwnerView { epoch: response.epoch, ..owner.clone() };
        shared.set_owner(view, shared.now());
        for (digest, age_ms) in response.domains {
            let age = Duration::from_millis(age_ms);
            if let Some(created_at) = sent.checked_sub(age) {
                shared.domains.update(digest, created_at, shared.now());
            }
        }
        shared.mirror.drop_committed(response.epoch, response.committed);
        shared.announced_revision.fetch_max(response.revision, Ordering::Relaxed);
        if response.revision == shared.catalog.view().revision
            && let Some(age_ms) = response.fresh_age_ms
            && let Some(at) = sent.checked_sub(Duration::from_millis(age_ms))
        {
            shared.catalog.confirm(at);
        }
    }

    /// Tracks how long the owner has been silent, and claims the domain once it is considered dead.
    ///
    /// This requires both an expired lease in the store and a full lease period without a response
    /// to direct calls.
    async fn suspect(&self, owner: &OwnerView, sent: Instant) {
        let lease = self.shared.settings.owner_lease;
        let since = {
            let mut silent = self.silent_since.borrow_mut();
            match *silent {
                Some((address, since)) if address == owner.address => since,
                _ => {
                    *silent = Some((owner.address, sent));
                    sent
                }
            }
        };
        if self.shared.now().saturating_duration_since(since) < lease
            || self.shared.stopping()
        {
            return;
        }
        let domain = self.shared.domain();
        log_event!(
            Info,
            "owner-silent",
            domain = domain,
            owner = owner.name,
            epoch = owner.epoch
        );
        let alive = self.ports.store.get(&store_keys::owner_alive(domain)).await;
        self.shared.record_store_call(alive.is_ok());
        let Ok(alive) = alive else { return };
        let record = self.ports.store.get(&store_keys::owner(domain)).await;
        let Ok(record) = record else { return };
        match record.as_ref().and_then(OwnerRecord::decode) {
            Some(known) if known.view.epoch > owner.epoch => self.follow(known.view),
            known if alive.is_none() => self.claim(known).await,
            _ => {}
        }
    }
}
