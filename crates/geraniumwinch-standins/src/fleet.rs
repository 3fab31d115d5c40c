//! A stand-in for the users' platform: its store, its permission service and its workers.
//!
//! One process serves the store and the permission service on its first port and a worker on each
//! of the following ones, all by the platform's protocol.

mod job_worker;
mod kv_store;

use std::sync::Mutex;

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
use self::kv_store::KvStore;

/// The first port is a multiple of this, so that a worker's port tells its place.
const PORT_STEP: usize = 100;

/// The store, shared by all addresses.
type SharedStore = web::Data<Mutex<KvStore>>;
/// The workers, shared by all addresses.
type SharedWorkers = web::Data<Vec<Mutex<JobWorker>>>;

/// The switches of faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct FleetFaults {
    /// Whether the store refuses all calls.
    store_busy: bool,
    /// Whether the store makes writes without answering.
    store_lost: bool,
}

/// Serves until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let store: SharedStore = web::Data::new(Mutex::new(KvStore::default()));
    let mut instances = Vec::new();
    for index in 0..options.count {
        let mut address = options.listen;
        address.set_port(options.listen.port() + 1 + index);
        instances.push((format!("{}-{index}", options.name), address));
    }
    let workers = instances.iter().map(|(id, address)| {
        lock(&store).register(id, &address.to_string(), options.cores, options.memory_gb);
        Mutex::new(JobWorker::default())
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
            .route("/operator", web::post().to(publish))
            .route("/account", web::get().to(account))
    })
    .workers(1)
    .shutdown_timeout(1)
    .bind(options.listen)?;
    for (_, address) in instances {
        server = server.bind(address)?;
    }
    server.run().await
}

/// Allows every worker.
async fn advise(body: web::Json<Value>) -> HttpResponse {
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    let allowed: Vec<Value> =
        workers.into_iter().map(|worker| json!([worker, "ticket"])).collect();
    HttpResponse::Ok().json(json!({ "allowed": allowed, "validity_ms": 2000 }))
}

/// Sets the switches of faults.
async fn set_faults(store: SharedStore, faults: web::Json<FleetFaults>) -> HttpResponse {
    lock(&store).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Writes the operators' configuration.
async fn publish(store: SharedStore, body: web::Bytes) -> HttpResponse {
    lock(&store).put("op/config", &body);
    HttpResponse::Ok().json(json!({}))
}

/// Tells every run that was started, with its end.
async fn account(workers: SharedWorkers) -> HttpResponse {
    let runs: Vec<Value> =
        workers.iter().flat_map(|worker| lock(worker).account()).collect();
    HttpResponse::Ok().json(json!({ "runs": runs }))
}
