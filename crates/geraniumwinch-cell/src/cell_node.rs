//! The cell process: its components, listeners and shutdown.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use geraniumwinch_core::log_event;
use geraniumwinch_fleet::PermissionRequest;
use geraniumwinch_intake::VmLimits;
use metrics_exporter_prometheus::PrometheusHandle;
use snafu::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;

use crate::CallClient;
use crate::CellError;
use crate::CellPorts;
use crate::CellSettings;
use crate::ConnectionTimeouts;
use crate::FetchedCatalog;
use crate::HttpListener;
use crate::HttpRequest;
use crate::HttpResponse;
use crate::ListenerLimits;
use crate::ProcessShutdown;
use crate::RequestForwarder;
use crate::SuspensionWatch;
use crate::WorkKind;
use crate::catalog_watch::CatalogWatch;
use crate::cell_error::SignalsSnafu;
use crate::cell_metrics;
use crate::http_listener::HttpHandler;
use crate::listener_limits::CONNECTION_BYTES;
use crate::owner_election::OwnerElection;
use crate::owner_watch::OwnerWatch;
use crate::peer_message::PeerReply;
use crate::peer_message::PeerRequest;
use crate::peer_message::PermissionMessage;
use crate::peer_service;
use crate::peer_service::PeerClient;
use crate::task_guard::spawn_loop;

/// The maximum age of the owner's last response for this process to be ready.
const READY_MAX_AGE: Duration = Duration::from_millis(1100);
/// The maximum size of a peer request body in bytes.
const MAX_PEER_BODY: usize = 4 * 1024 * 1024;
/// The maximum size of a client's request body in bytes before the first configuration.
const DEFAULT_MAX_BODY: usize = 256 * 1024;
/// The maximum size of the body of a readiness probe or a query of the metrics, which have none.
const MAX_PROBE_BODY: usize = 1024;
/// The memory of a VM in bytes from which the limits of the interfaces for readiness and metrics follow,
/// whatever the VM has.
const PROBE_MEMORY: u64 = 8 << 20;
/// The interval at which the limits of clients are read from the configuration.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);
/// The interval of the metrics upkeep, which keeps the memory of the histograms bounded.
const METRICS_UPKEEP: Duration = Duration::from_secs(10);

/// A cell process.
pub struct CellNode {
    settings: Rc<CellSettings>,
    ports: CellPorts,
    catalog: Rc<CatalogWatch>,
    election: Rc<OwnerElection>,
    forwarder: RequestForwarder,
    metrics: PrometheusHandle,
    max_body: Rc<Cell<usize>>,
    timeouts: Rc<Cell<ConnectionTimeouts>>,
    shutdown: Rc<ProcessShutdown>,
    suspension: Rc<SuspensionWatch>,
}

impl CellNode {
    /// Creates a process. `client` is the HTTP client that all its components share.
    pub fn new(settings: CellSettings, ports: CellPorts, client: CallClient) -> Rc<Self> {
        let settings = Rc::new(settings);
        let catalog = CatalogWatch::new(ports.clone());
        let watch = OwnerWatch::new(ports.clone());
        let peers = PeerClient::new(client);
        let election = OwnerElection::new(
            ports.clone(),
            Rc::clone(&settings),
            Rc::clone(&catalog),
            watch,
            peers.clone(),
        );
        let shutdown = ProcessShutdown::new(Rc::clone(&ports.clock));
        let suspension = SuspensionWatch::new(Rc::clone(&ports.clock));
        let forwarder = RequestForwarder::new(
            ports.clone(),
            Rc::clone(&settings),
            Rc::clone(&election),
            peers,
            Rc::clone(&shutdown),
            Rc::clone(&suspension),
        );
        Rc::new(CellNode {
            settings,
            ports,
            catalog,
            election,
            forwarder,
            metrics: cell_metrics::install(),
            max_body: Rc::new(Cell::new(DEFAULT_MAX_BODY)),
            timeouts: Rc::default(),
            shutdown,
            suspension,
        })
    }

    /// Returns the current configuration.
    pub fn catalog(&self) -> Option<Rc<FetchedCatalog>> {
        self.catalog.current()
    }

    /// Returns the forwarder of client requests.
    pub fn forwarder(&self) -> &RequestForwarder {
        &self.forwarder
    }

    /// Returns whether the process is about to exit and refuses new client requests.
    pub fn refuses_requests(&self) -> bool {
        self.shutdown.refuses_requests()
    }

    /// Returns whether the process is ready for new client connections.
    fn ready(&self) -> bool {
        let configured = self.catalog.current().is_some();
        configured
            && !self.shutdown.has_begun()
            && self.election.has_recent_contact(READY_MAX_AGE)
    }

    /// Runs the process until it receives a stop signal. `clients` handles client requests.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on or signal handlers can't be installed.
    pub async fn run(
        self: Rc<Self>,
        clients: HttpHandler,
        settings_file: PathBuf,
    ) -> Result<(), CellError> {
        let settings = &self.settings;
        log_event!(
            Info,
            "start",
            name = settings.name,
            domain = settings.domain,
            process = self.election.process
        );
        let peers = self.handler(Self::handle_peer);
        let readiness = self.handler(Self::handle_readiness);
        let metrics = self.handler(Self::handle_metrics);
        let vm = settings.vm;
        log_event!(
            Info,
            "limits",
            memory_mb = vm.memory_bytes / 1_000_000,
            descriptors = vm.descriptors,
            connections = vm.connections(CONNECTION_BYTES),
            body_bytes = vm.body_bytes(self.max_body.get())
        );
        let probe_vm = VmLimits { memory_bytes: PROBE_MEMORY, ..vm };
        let limits = |bytes: usize, vm: &VmLimits| {
            ListenerLimits::new(Rc::new(Cell::new(bytes)), vm)
        };
        let client_limits = ListenerLimits {
            timeouts: Rc::clone(&self.timeouts),
            ..ListenerLimits::new(Rc::clone(&self.max_body), &vm)
        };
        let peer_limits = ListenerLimits {
            connections: vm.peer_connections(),
            keeps_idle: true,
            ..limits(MAX_PEER_BODY, &vm)
        };
        let probe_limits = || limits(MAX_PROBE_BODY, &probe_vm);
        let (peer_work, client_work) = (Some(WorkKind::Peers), Some(WorkKind::Clients));
        self.listen(settings.peer_address, peer_limits, peers, peer_work).await?;
        self.listen(settings.client_address, client_limits, clients, client_work).await?;
        self.listen(settings.readiness_address, probe_limits(), readiness, None).await?;
        self.listen(settings.metrics_address, probe_limits(), metrics, None).await?;
        self.spawn_loops();
        self.await_stop(&settings_file).await?;
        self.stop().await;
        Ok(())
    }

    /// Spawns the loops that run until the process exits.
    fn spawn_loops(self: &Rc<Self>) {
        let catalog = Rc::clone(&self.catalog);
        spawn_loop("catalog", move || Rc::clone(&catalog).run().boxed_local());
        let watch = Rc::clone(&self.election.watch);
        spawn_loop("owner-watch", move || Rc::clone(&watch).run().boxed_local());
        let election = Rc::clone(&self.election);
        spawn_loop("election", move || Rc::clone(&election).run().boxed_local());
        let suspension = Rc::clone(&self.suspension);
        spawn_loop("suspension", move || Rc::clone(&suspension).run().boxed_local());
        let node = Rc::clone(self);
        spawn_loop("upkeep", move || Rc::clone(&node).refresh_limits().boxed_local());
    }

    /// Serves an address. The time spent on its connections counts as `work`, if it is given.
    async fn listen(
        &self,
        address: SocketAddr,
        limits: ListenerLimits,
        handler: HttpHandler,
        work: Option<WorkKind>,
    ) -> Result<(), CellError> {
        let shutdown = Rc::clone(&self.shutdown);
        let max_body = Rc::clone(&limits.max_body);
        let listener = HttpListener::new(address, max_body, handler, shutdown);
        let listener = listener.limited(limits);
        let listener = match work {
            Some(kind) => listener.metered(kind, &self.ports.meter),
            None => listener,
        };
        listener.start().await
    }

    /// Creates a handler from a method of the process.
    fn handler<F>(self: &Rc<Self>, handle: fn(Rc<Self>, HttpRequest) -> F) -> HttpHandler
    where
        F: Future<Output = HttpResponse> + 'static,
    {
        let node = Rc::clone(self);
        Rc::new(move |request: HttpRequest| -> LocalBoxFuture<'static, HttpResponse> {
            Box::pin(handle(Rc::clone(&node), request))
        })
    }

    /// Handles a readiness probe.
    async fn handle_readiness(self: Rc<Self>, _: HttpRequest) -> HttpResponse {
        HttpResponse::empty(if self.ready() { 200 } else { 503 })
    }

    /// Renders the metrics.
    async fn handle_metrics(self: Rc<Self>, _: HttpRequest) -> HttpResponse {
        HttpResponse::new(200, "text/plain; version=0.0.4", self.metrics.render().into())
    }

    /// Handles a request of a peer.
    async fn handle_peer(self: Rc<Self>, request: HttpRequest) -> HttpResponse {
        let Some(request) = peer_service::decode_request(&request.body) else {
            return HttpResponse::empty(400);
        };
        let reply = match request {
            PeerRequest::OwnerSeen(epoch) => {
                PeerReply::OwnerSeen(self.election.sees_owner(epoch).await)
            }
            PeerRequest::Catalog => {
                let current = self.catalog.current();
                PeerReply::Catalog(current.map(|current| current.bytes.clone()))
            }
            PeerRequest::ProbeStore => {
                PeerReply::StoreReachable(self.election.is_store_reachable().await)
            }
            PeerRequest::RevokeOwnership(epoch, lease) => {
                let ended = self.election.revoke_owner_lease(epoch, lease, "asked").await;
                PeerReply::StoreReachable(ended)
            }
            PeerRequest::Permission(message) => self.request_permission(message).await,
            request => match self.election.dispatcher() {
                Some(dispatcher) => dispatcher.handle(request).await,
                None => PeerReply::NotOwner,
            },
        };
        peer_service::encode_reply(&reply)
    }

    /// Calls the permission service on behalf of the owner.
    async fn request_permission(&self, message: PermissionMessage) -> PeerReply {
        let PermissionMessage { job, occurrence, step, workers, call_time } = message;
        let step = geraniumwinch_fleet::StepName { job, occurrence, step };
        let request = PermissionRequest::relayed(step, workers, call_time);
        match self.ports.permissions.request(request).await {
            Ok(allowed) => PeerReply::Allowed(Some(allowed)),
            Err(error) => {
                log_event!(Warn, "permission-failed", error = error);
                PeerReply::Allowed(None)
            }
        }
    }

    /// Keeps the limits of clients in line with the configuration and runs the metrics upkeep.
    async fn refresh_limits(self: Rc<Self>) {
        let mut upkeep_at = Instant::now();
        loop {
            if let Some(current) = self.catalog.current() {
                let limits = current.catalog.limits;
                self.max_body.set(limits.max_body);
                self.timeouts.set(ConnectionTimeouts::of(&limits));
            }
            if Instant::now() >= upkeep_at {
                self.metrics.run_upkeep();
                upkeep_at = Instant::now() + METRICS_UPKEEP;
            }
            tokio::time::sleep(LIMITS_INTERVAL).await;
        }
    }

    /// Waits for a stop signal and reloads the settings on SIGHUP.
    async fn await_stop(&self, settings_file: &PathBuf) -> Result<(), CellError> {
        let listen =
            |kind| -> Result<Signal, CellError> { signal(kind).context(SignalsSnafu) };
        let mut terminate = listen(SignalKind::terminate())?;
        let mut interrupt = listen(SignalKind::interrupt())?;
        let mut reload = listen(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                _ = reload.recv() => self.reload(settings_file),
            }
        }
    }

    /// Reloads the settings. Only the log level can change while the process runs.
    fn reload(&self, settings_file: &PathBuf) {
        let text = match std::fs::read_to_string(settings_file) {
            Ok(text) => text,
            Err(error) => {
                log_event!(Error, "reload-failed", error = error);
                return;
            }
        };
        match CellSettings::parse(&settings_file.display().to_string(), &text) {
            Ok(settings) => {
                if let Ok(level) = settings.log_level.parse() {
                    geraniumwinch_core::log::set_max_level(level);
                }
                let restart = settings != *self.settings;
                log_event!(
                    Info,
                    "reload",
                    level = settings.log_level,
                    restart_needed = restart
                );
            }
            Err(problems) => {
                for problem in problems {
                    log_event!(
                        Error,
                        "reload-refused",
                        line = problem.line,
                        message = problem.message
                    );
                }
            }
        }
    }

    /// Stops gracefully: hands the ownership over, serves client requests while the clients move to
    /// other processes, and returns when the last response is written.
    async fn stop(&self) {
        let grace = self.settings.stop_grace;
        self.shutdown.begin(grace);
        log_event!(
            Info,
            "stop",
            grace_ms = grace.as_millis(),
            open = self.shutdown.open_exchanges()
        );
        let drained = async {
            self.shutdown.await_refusals().await;
            log_event!(Info, "drain", open = self.shutdown.open_exchanges());
            self.shutdown.drain().await;
        };
        tokio::pin!(drained);
        tokio::select! {
            () = self.election.stop() => drained.await,
            () = &mut drained => {}
        }
        log_event!(
            Info,
            "stopped",
            name = self.settings.name,
            open = self.shutdown.open_exchanges()
        );
    }
}
