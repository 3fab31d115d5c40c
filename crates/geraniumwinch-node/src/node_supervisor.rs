//! Starts the components of a process, restarts failed ones, and shuts the process down.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use futures_util::FutureExt;
use geraniumwinch_config::NodeSettings;
use geraniumwinch_core::NodeClock;
use geraniumwinch_core::log_event;
use geraniumwinch_wire::PeerIdentity;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::Result;
use crate::catalog_state::CatalogState;
use crate::config_sync;
use crate::config_sync::ConfigSync;
use crate::domain_map::DomainMap;
use crate::entry_server;
use crate::entry_server::EntryState;
use crate::etcd_store::EtcdStore;
use crate::evacuation_state::EvacuationState;
use crate::held_slots::HeldSlots;
use crate::http_client::HttpClient;
use crate::member_table::MemberTable;
use crate::mirror_table::MirrorTable;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::owner_fence::OwnerFence;
use crate::ownership::OwnershipManager;
use crate::ownership::OwnershipRequest;
use crate::ownership::PlatformPorts;
use crate::peer_link::PeerLink;
use crate::peer_router::PeerRouter;
use crate::publish_request::PublishRequest;
use crate::publisher::ConfigPublisher;
use crate::supervised_loop::supervise;
use crate::vm_list::HttpVmList;
use crate::worker_port::HttpWorkerPort;

/// Interval between two checks for slots that a stopping process still holds.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Runs a process until it receives a signal to stop.
pub fn run_node(settings: NodeSettings, clock: Arc<dyn NodeClock>) -> Result<()> {
    let system = actix::System::new();
    system.block_on(serve(settings, clock))
}

/// Starts the components of a process, waits for a signal, and shuts the process down.
async fn serve(settings: NodeSettings, clock: Arc<dyn NodeClock>) -> Result<()> {
    let shared = create_shared(settings, clock);
    let (ownership, ownership_requests) = mpsc::unbounded_channel();
    let router = PeerRouter::new(shared.clone(), ownership.clone());
    let vm = entry_server::vm_limits(&shared.settings);
    shared.link.listen(&vm, Box::new(move |envelope| router.route(envelope)))?;
    let ports = Rc::new(platform_ports(&shared.settings));
    start_loops(&shared, &ports, ownership_requests);
    let publisher = start_publisher(&shared, &ports);
    let server = entry_server::start(EntryState::new(shared.clone(), publisher))?;
    let handle = server.handle();
    actix_rt::spawn(server);
    log_event!(
        Info,
        "process-started",
        process = shared.settings.name,
        domain = shared.domain(),
        http = shared.settings.http,
        peer = shared.settings.peer,
    );
    wait_for_signal().await;
    stop(&shared, &ownership, handle).await;
    Ok(())
}

/// Creates the state that the components share.
fn create_shared(settings: NodeSettings, clock: Arc<dyn NodeClock>) -> Arc<NodeShared> {
    let identity = PeerIdentity {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        address: settings.advertise,
    };
    Arc::new(NodeShared {
        link: PeerLink::new(identity, settings.peer),
        catalog: CatalogState::default(),
        evacuations: EvacuationState::default(),
        domains: DomainMap::default(),
        held_slots: HeldSlots::default(),
        members: MemberTable::default(),
        mirror: MirrorTable::default(),
        fence: OwnerFence::new(settings.owner_lease),
        owner: watch::channel(None).0,
        dispatcher: ArcSwapOption::empty(),
        own_digest: Mutex::new(None),
        committed_sequence: AtomicU64::new(0),
        announced_revision: AtomicU64::new(0),
        store_down: AtomicBool::new(false),
        stopping: AtomicBool::new(false),
        stop_cutoff: watch::channel(None).0,
        joined: AtomicBool::new(false),
        metrics: node_metrics::install(),
        clock,
        settings,
    })
}

/// Creates the adapters to the platform's services.
fn platform_ports(settings: &NodeSettings) -> PlatformPorts {
    let client = HttpClient::new(settings.peer.ip(), settings.store_timeout);
    PlatformPorts {
        store: Rc::new(EtcdStore::new(client.clone(), &settings.store_url)),
        vm_list: Rc::new(HttpVmList::new(client.clone(), &settings.vm_list_url)),
        workers: Rc::new(HttpWorkerPort::new(client)),
    }
}

/// Starts the supervised background loops.
fn start_loops(
    shared: &Arc<NodeShared>,
    ports: &Rc<PlatformPorts>,
    requests: mpsc::UnboundedReceiver<OwnershipRequest>,
) {
    let fence = shared.clone();
    supervise("fence", move || OwnershipManager::run_fence(fence.clone()).boxed_local());
    let manager = OwnershipManager::new(shared.clone(), ports.clone());
    let requests = Rc::new(tokio::sync::Mutex::new(requests));
    supervise("ownership", move || manager.clone().run(requests.clone()).boxed_local());
    let (config, store) = (shared.clone(), ports.store.clone());
    supervise("configuration", move || {
        ConfigSync::new(config.clone(), store.clone()).poll_store().boxed_local()
    });
    let peers = shared.clone();
    supervise("peers", move || config_sync::sync_with_peers(peers.clone()).boxed_local());
}

/// Starts the publisher and returns the channel to it.
fn start_publisher(
    shared: &Arc<NodeShared>,
    ports: &Rc<PlatformPorts>,
) -> mpsc::UnboundedSender<PublishRequest> {
    let (sender, mut requests) = mpsc::unbounded_channel::<PublishRequest>();
    let shared = shared.clone();
    let store = ports.store.clone();
    actix_rt::spawn(async move {
        while let Some(request) = requests.recv().await {
            let publisher = ConfigPublisher::new(shared.clone(), store.clone());
            actix_rt::spawn(async move { publisher.run(request).await });
        }
    });
    sender
}

/// Waits for the signal by which the platform stops the process.
async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be handled");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be handled");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Stops without interrupting requests in progress.
///
/// Hands the domain over, keeps serving during the notice period, closes the HTTP server, which answers
/// requests that outlast the stop limit without a result, and waits for the release of the held slots.
async fn stop(
    shared: &Arc<NodeShared>,
    ownership: &mpsc::UnboundedSender<OwnershipRequest>,
    server: actix_web::dev::ServerHandle,
) {
    log_event!(Info, "process-stopping", process = shared.settings.name);
    shared.stopping.store(true, Ordering::Relaxed);
    let (done, handed_over) = oneshot::channel();
    if ownership.send(OwnershipRequest::HandOver(done)).is_ok() {
        let _ = handed_over.await;
    }
    tokio::time::sleep(shared.settings.stop_notice).await;
    let cutoff = shared.now() + shared.settings.stop_limit;
    shared.stop_cutoff.send_replace(Some(cutoff));
    server.stop(true).await;
    let started = shared.now();
    while shared.held_slots.len() > 0
        && shared.now() - started < shared.settings.stop_limit
    {
        tokio::time::sleep(STOP_POLL_PERIOD).await;
    }
    // The last releases may still be on their way to the peers.
    tokio::time::sleep(STOP_POLL_PERIOD * 5).await;
    log_event!(Info, "process-stopped", process = shared.settings.name);
}
