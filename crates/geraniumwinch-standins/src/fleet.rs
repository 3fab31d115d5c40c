//! A stand-in for the users' platform: its store, permission service and workers.
//!
//! One process serves the store and the permission service on its first port and a worker on each
//! following port, with the platform's protocol.

mod job_worker;
mod kv_store;
mod odd_entries;

use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::StandInOptions;
use crate::stand_in::lock;

use self::job_worker::JobWorker;
use self::job_worker::TICKET_VALIDITY_MS;
use self::kv_store::KvStore;

/// The first port is a multiple of this, so that a worker's index follows from its port.
const PORT_STEP: usize = 100;

/// The store, shared by the handlers of all addresses.
type SharedStore = web::Data<Mutex<KvStore>>;
/// The workers, shared by the handlers of all addresses.
type SharedWorkers = web::Data<Vec<Mutex<JobWorker>>>;

/// The injected faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct FleetFaults {
    /// Whether the store refuses all calls.
    store_busy: bool,
    /// Whether the store commits transactions without responding in time.
    store_lost: bool,
    /// Whether the store refuses reads of the operators' configuration.
    config_hidden: bool,
    /// Whether the store refuses reads of the operators' evacuation requests.
    evacuations_hidden: bool,
    /// The delay of responses to transactions, in milliseconds.
    store_delay_ms: u64,
    /// The delay of responses to reads of a range, in milliseconds.
    range_delay_ms: u64,
    /// The delay after which a transaction is executed, without a response in time, in milliseconds.
    store_late_ms: u64,
    /// The delay of every third start command of a worker, in milliseconds.
    orders_late_ms: u64,
    /// Whether workers execute start commands without a response in time.
    starts_unanswered: bool,
    /// Whether workers leave every third poll without a response in time.
    polls_unanswered: bool,
    /// The index of a worker, and how many copies of each start command it holds back until this changes.
    held_starts: Option<(usize, u64)>,
    /// Whether workers hold back stop commands until this is cleared.
    stops_held: bool,
    /// The fencing token from which on workers hold back polls until this is cleared. Such a poll that is
    /// open when its worker restarts gets no response until then either.
    held_polls_from: Option<u64>,
    /// The delay between a worker's report and its response to the poll, in milliseconds.
    report_delay_ms: u64,
    /// The index of a worker that refuses all start and stop commands, and how.
    refusing_worker: Option<(usize, CommandRefusal)>,
}

impl FleetFaults {
    /// Returns whether workers hold back polls with a fencing token.
    fn holds_poll(&self, token: u64) -> bool {
        self.held_polls_from.is_some_and(|from| token >= from)
    }

    /// Returns whether a worker holds back a copy of a start command; copies are counted from 1.
    fn holds_start(&self, worker: usize, copy: u64) -> bool {
        self.held_starts.is_some_and(|(held, copies)| held == worker && copy <= copies)
    }
}

/// How a worker refuses start and stop commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum CommandRefusal {
    /// It responds that it is unhealthy.
    Unhealthy,
    /// It responds to start commands that their tickets have expired.
    Ticket,
}

/// The interval at which a requested restart is checked for.
const RESTART_POLL: Duration = Duration::from_millis(5);
/// The number of domains, in which the workers are by turns.
const DOMAINS: u16 = 2;

/// Serves requests until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let store: SharedStore = web::Data::new(Mutex::new(KvStore::default()));
    let mut instances = Vec::new();
    for index in 0..options.count {
        let mut address = options.listen;
        address.set_port(options.listen.port() + 1 + index);
        instances.push((format!("{}-{index}", options.name), address));
    }
    let workers = instances.iter().zip(0..).map(|((id, address), index)| {
        let mut address = *address;
        address.set_port(address.port() + options.proxy_offset);
        let worker = JobWorker::new(id.clone(), clock_rate(address.port()));
        lock(&store).register_worker(
            id,
            &address.to_string(),
            &format!("d{}", index % DOMAINS),
            options.cores,
            options.memory_gb,
            worker.started_unix_ms(),
        );
        Mutex::new(worker)
    });
    let workers: SharedWorkers = web::Data::new(workers.collect());
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(store.clone())
            .app_data(workers.clone())
            .app_data(web::JsonConfig::default().limit(4 * 1024 * 1024))
            .configure(kv_store::routes)
            .configure(job_worker::routes)
            .route("/-/advise", web::post().to(advise))
            .route("/faults", web::post().to(set_faults))
            .route("/operator", web::post().to(publish_configuration))
            .route("/evacuation", web::post().to(set_evacuation))
            .route("/forget", web::post().to(compact_history))
            .route("/entries", web::post().to(write_entries))
            .route("/restart", web::post().to(restart_worker))
            .route("/restart-after-report", web::post().to(restart_after_report))
            .route("/worker-state", web::post().to(set_worker_state))
            .route("/worker-cores", web::post().to(set_worker_cores))
            .route("/worker-service", web::post().to(set_worker_service))
            .route("/worker-leave", web::post().to(end_worker))
            .route("/odd-workers", web::post().to(list_odd_workers))
            .route("/account", web::get().to(show_runs))
    })
    .workers(1)
    .shutdown_timeout(1)
    .bind(options.listen)?;
    for (_, address) in instances {
        server = server.bind(address)?;
    }
    server.run().await
}

/// Returns the rate of a worker's clock: the clocks of workers on odd ports are 2% slow.
fn clock_rate(port: u16) -> f64 {
    if port % 2 == 1 { 0.98 } else { 1.0 }
}

/// Grants permission for every worker of the request.
async fn advise(workers: SharedWorkers, body: web::Json<Value>) -> HttpResponse {
    let step = body["step"].as_str().unwrap_or_default();
    let requested = body["workers"].as_array().cloned().unwrap_or_default();
    let mut allowed = Vec::new();
    for worker in workers.iter() {
        let worker = lock(worker);
        if requested.iter().any(|id| id == worker.id()) {
            allowed.push(json!([worker.id(), worker.create_ticket(step)]));
        }
    }
    HttpResponse::Ok()
        .json(json!({ "allowed": allowed, "validity_ms": TICKET_VALIDITY_MS }))
}

/// Replaces the injected faults.
async fn set_faults(store: SharedStore, faults: web::Json<FleetFaults>) -> HttpResponse {
    lock(&store).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Compacts the store's history.
async fn compact_history(store: SharedStore) -> HttpResponse {
    lock(&store).compact_history();
    HttpResponse::Ok().json(json!({}))
}

/// Writes entries of another writer to the list of workers, as pairs of an identifier and a value.
async fn write_entries(
    store: SharedStore,
    entries: web::Json<Vec<(String, String)>>,
) -> HttpResponse {
    for (id, value) in entries.into_inner() {
        lock(&store).put(&format!("servers/{id}"), value.as_bytes());
    }
    HttpResponse::Ok().json(json!({}))
}

/// Restarts a worker, which begins a new incarnation.
async fn restart_worker(workers: SharedWorkers, index: web::Json<usize>) -> HttpResponse {
    lock(&workers[index.into_inner()]).restart();
    HttpResponse::Ok().json(json!({}))
}

/// Restarts a worker between two polls, and responds once that is done.
async fn restart_after_report(
    workers: SharedWorkers,
    index: web::Json<usize>,
) -> HttpResponse {
    let worker = &workers[index.into_inner()];
    lock(worker).request_restart();
    while lock(worker).is_restart_requested() {
        tokio::time::sleep(RESTART_POLL).await;
    }
    HttpResponse::Ok().json(json!({}))
}

/// A change of a worker's entry in the store.
#[derive(Debug, Deserialize)]
struct WorkerStateChange {
    /// The index of the worker.
    worker: usize,
    /// The new state, or `None` to remove the worker, which ends everything that runs there.
    state: Option<String>,
}

/// Changes the state of a worker, or removes the worker.
async fn set_worker_state(
    store: SharedStore,
    workers: SharedWorkers,
    change: web::Json<WorkerStateChange>,
) -> HttpResponse {
    let mut worker = lock(&workers[change.worker]);
    if change.state.is_none() {
        worker.restart();
    }
    lock(&store).set_worker_state(worker.id(), change.state.as_deref());
    HttpResponse::Ok().json(json!({}))
}

/// A change of the processors that a worker lists.
#[derive(Debug, Deserialize)]
struct WorkerCoresChange {
    /// The index of the worker.
    worker: usize,
    cores: u64,
}

/// Changes the processors that a worker lists.
async fn set_worker_cores(
    store: SharedStore,
    workers: SharedWorkers,
    change: web::Json<WorkerCoresChange>,
) -> HttpResponse {
    let worker = lock(&workers[change.worker]);
    lock(&store).set_worker_cores(worker.id(), change.cores);
    HttpResponse::Ok().json(json!({}))
}

/// A change of the service that a worker lists.
#[derive(Debug, Deserialize)]
struct WorkerServiceChange {
    /// The index of the worker.
    worker: usize,
    service: String,
}

/// Changes the service that a worker lists.
async fn set_worker_service(
    store: SharedStore,
    workers: SharedWorkers,
    change: web::Json<WorkerServiceChange>,
) -> HttpResponse {
    let worker = lock(&workers[change.worker]);
    lock(&store).set_worker_service(worker.id(), &change.service);
    HttpResponse::Ok().json(json!({}))
}

/// Ends a worker for good and removes its entry.
async fn end_worker(
    store: SharedStore,
    workers: SharedWorkers,
    index: web::Json<usize>,
) -> HttpResponse {
    let mut worker = lock(&workers[index.into_inner()]);
    worker.leave();
    lock(&store).set_worker_state(worker.id(), None);
    HttpResponse::Ok().json(json!({}))
}

/// Writes or removes entries that name no usable worker.
async fn list_odd_workers(store: SharedStore, listed: web::Json<bool>) -> HttpResponse {
    lock(&store).list_odd_workers(listed.into_inner());
    HttpResponse::Ok().json(json!({}))
}

/// Writes the operators' configuration to the store.
async fn publish_configuration(store: SharedStore, body: web::Bytes) -> HttpResponse {
    lock(&store).put("op/config", &body);
    HttpResponse::Ok().json(json!({}))
}

/// An operator's request to evacuate a domain, or its withdrawal.
#[derive(Debug, Deserialize)]
struct EvacuationChange {
    domain: String,
    requested: bool,
}

/// Writes or removes an operator's request to evacuate a domain.
async fn set_evacuation(
    store: SharedStore,
    change: web::Json<EvacuationChange>,
) -> HttpResponse {
    lock(&store).set_evacuation(&change.domain, change.requested);
    HttpResponse::Ok().json(json!({}))
}

/// Returns every run that was started, with its outcome, and the number of polls of each worker.
async fn show_runs(workers: SharedWorkers) -> HttpResponse {
    let polls: Vec<u64> = workers.iter().map(|worker| lock(worker).polls()).collect();
    let workers = workers.iter().enumerate();
    let runs: Vec<Value> =
        workers.flat_map(|(index, worker)| lock(worker).run_history(index)).collect();
    HttpResponse::Ok().json(json!({ "runs": runs, "polls": polls }))
}
