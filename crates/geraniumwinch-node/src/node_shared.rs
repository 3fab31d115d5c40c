//! The state that the components of a process share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix::Addr;
use arc_swap::ArcSwapOption;
use geraniumwinch_config::NodeSettings;
use geraniumwinch_core::Name;
use geraniumwinch_core::NodeClock;
use geraniumwinch_wire::DomainDigest;
use geraniumwinch_wire::OwnerView;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::watch;

use crate::catalog_state::CatalogState;
use crate::dispatcher::Dispatcher;
use crate::domain_map::DomainMap;
use crate::evacuation_state::EvacuationState;
use crate::held_slots::HeldSlots;
use crate::member_table::MemberTable;
use crate::mirror_table::MirrorTable;
use crate::owner_fence::OwnerFence;
use crate::peer_link::PeerLink;

/// The number of heartbeat periods after its last response for which an owner counts as live.
const LIVE_OWNER_HEARTBEATS: u32 = 4;

/// The owner of the process's domain.
#[derive(Debug, Clone)]
pub(crate) struct KnownOwner {
    pub(crate) view: OwnerView,
    /// When it last responded to a heartbeat.
    pub(crate) last_response: Instant,
}

/// The state that the components of a process share.
pub(crate) struct NodeShared {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Arc<dyn NodeClock>,
    /// The connections to peers.
    pub(crate) link: Arc<PeerLink>,
    pub(crate) catalog: CatalogState,
    /// The evacuated domains, as far as this process knows.
    pub(crate) evacuations: EvacuationState,
    /// The digests of the other failure domains.
    pub(crate) domains: DomainMap,
    pub(crate) held_slots: HeldSlots,
    /// The processes of the domain while this process owns it.
    pub(crate) members: MemberTable,
    /// Journal entries mirrored for the owner.
    pub(crate) mirror: MirrorTable,
    /// Prevents decisions after the ownership may have been lost.
    pub(crate) fence: OwnerFence,
    /// The owner of the domain; subscribers are notified when it changes.
    pub(crate) owner: watch::Sender<Option<KnownOwner>>,
    /// The dispatcher while this process owns the domain.
    pub(crate) dispatcher: ArcSwapOption<Addr<Dispatcher>>,
    /// The domain's digest while this process owns it.
    pub(crate) own_digest: Mutex<Option<DomainDigest>>,
    /// The newest sequence number of the journal that is in the store.
    pub(crate) committed_sequence: AtomicU64,
    /// The newest revision of the configuration that the owner has announced.
    pub(crate) announced_revision: AtomicU64,
    /// Whether the last call to the store failed.
    pub(crate) store_down: AtomicBool,
    /// Whether the process is shutting down.
    pub(crate) stopping: AtomicBool,
    /// When requests in progress have to be answered because the process exits; `None` before.
    pub(crate) stop_cutoff: watch::Sender<Option<Instant>>,
    /// Whether the process has ever been in contact with an owner of its domain.
    pub(crate) joined: AtomicBool,
    /// Renders the metrics.
    pub(crate) metrics: PrometheusHandle,
}

impl NodeShared {
    /// Returns the current monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn domain(&self) -> &Name {
        &self.settings.domain
    }

    /// Returns the owner of the process's domain if it is this process or has responded within
    /// [`LIVE_OWNER_HEARTBEATS`] periods.
    pub(crate) fn live_owner(&self) -> Option<OwnerView> {
        let owner = self.owner.borrow();
        let owner = owner.as_ref()?;
        let silence = self.now().saturating_duration_since(owner.last_response);
        let own = owner.view.address == self.link.identity().address;
        let live = silence <= self.settings.peer_heartbeat * LIVE_OWNER_HEARTBEATS;
        (own || live).then(|| owner.view.clone())
    }

    /// Returns the peer address of a domain's dispatcher if there is recent information about it.
    pub(crate) fn dispatcher_address(&self, domain: &str) -> Option<SocketAddr> {
        if domain == &**self.domain() {
            return self.live_owner().map(|owner| owner.address);
        }
        let row = self.domains.get(domain)?;
        let age = self.now().saturating_duration_since(row.created_at);
        (age <= self.settings.owner_lease).then_some(row.digest.owner.address)
    }

    /// Sets the owner of the domain and notifies subscribers if it has changed.
    pub(crate) fn set_owner(&self, view: OwnerView, last_response: Instant) {
        let silence = self.now().saturating_duration_since(last_response);
        if silence <= self.settings.peer_heartbeat * LIVE_OWNER_HEARTBEATS {
            self.joined.store(true, Ordering::Relaxed);
        }
        self.owner.send_if_modified(|owner| {
            let changed = owner.as_ref().is_none_or(|known| known.view != view);
            *owner = Some(KnownOwner { view, last_response });
            changed
        });
    }

    /// Returns whether the process has ever been in contact with an owner of its domain.
    pub(crate) fn joined(&self) -> bool {
        self.joined.load(Ordering::Relaxed)
    }

    /// Returns whether the process is shutting down.
    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Waits until requests in progress have to be answered because the process exits.
    pub(crate) async fn await_stop_cutoff(&self) {
        let mut cutoff = self.stop_cutoff.subscribe();
        let set = cutoff.wait_for(Option::is_some).await;
        let cutoff = set.ok().and_then(|cutoff| *cutoff);
        if let Some(cutoff) = cutoff {
            tokio::time::sleep(cutoff.saturating_duration_since(self.now())).await;
        }
    }

    /// Records whether a call to the store succeeded.
    pub(crate) fn record_store_call(&self, succeeded: bool) {
        self.store_down.store(!succeeded, Ordering::Relaxed);
        crate::node_metrics::count_store_call(succeeded);
    }
}

impl std::fmt::Debug for NodeShared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "NodeShared({})", self.settings.name)
    }
}

/// Converts a time to Unix time in milliseconds.
pub(crate) fn unix_millis(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
