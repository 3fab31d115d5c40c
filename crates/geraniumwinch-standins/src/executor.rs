//! A stand-in for the endpoints of a service: executors with slots and connections.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;

use crate::stand_in::StandInOptions;
use crate::stand_in::lock;
use crate::stand_in::unix_millis;

/// The number of requests that an executor may run at the same time.
const SLOTS: u32 = 8;

/// The switches of faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct ExecutorFaults {
    /// Break the connection of every request after running it.
    break_all: bool,
    /// Run every request this much longer, in milliseconds.
    slow_ms: u64,
}

/// The account of an executor.
#[derive(Debug, Default)]
struct ExecutorState {
    name: String,
    running: u32,
    most_running: u32,
    over_slots: u64,
    total: u64,
    last_start: u64,
    runs: BTreeMap<String, u64>,
    faults: ExecutorFaults,
}

/// The shared state of the handlers.
type Executor = web::Data<Mutex<ExecutorState>>;

/// What a request asks the executor to do.
#[derive(Debug, Clone, Deserialize)]
struct WorkQuery {
    /// How long to run, in milliseconds.
    #[serde(default)]
    ms: u64,
    /// The size of the answer in bytes, beside its fixed part.
    #[serde(default)]
    bytes: usize,
    /// The number of chunks of a streamed answer.
    #[serde(default)]
    chunks: u32,
    /// Whether to break the connection before the last chunk.
    #[serde(default)]
    truncate: bool,
}

/// A run that counts as running until it is dropped.
struct RunningGuard(Executor);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

/// Serves until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let mut servers = Vec::new();
    for (name, address) in options.instances() {
        let executor =
            web::Data::new(Mutex::new(ExecutorState { name, ..Default::default() }));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(executor.clone())
                .app_data(web::PayloadConfig::new(64 * 1024 * 1024))
                .route("/faults", web::post().to(set_faults))
                .route("/account", web::get().to(account))
                .default_service(web::route().to(run))
        });
        servers.push(server.workers(1).disable_signals().bind(address)?.run());
    }
    tokio::select! {
        served = futures_util::future::try_join_all(servers) => served.map(|_| ()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Sets the switches of faults.
async fn set_faults(
    executor: Executor,
    faults: web::Json<ExecutorFaults>,
) -> HttpResponse {
    lock(&executor).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Tells what the executor has seen.
async fn account(executor: Executor) -> HttpResponse {
    let state = lock(&executor);
    HttpResponse::Ok().json(json!({
        "name": state.name, "running": state.running, "most_running": state.most_running,
        "over_slots": state.over_slots, "total": state.total, "runs": state.runs,
        "last_start": state.last_start,
    }))
}

/// Runs a request.
async fn run(
    executor: Executor,
    request: HttpRequest,
    query: web::Query<WorkQuery>,
    body: Bytes,
) -> HttpResponse {
    let unique = request.headers().get("Unique").and_then(|value| value.to_str().ok());
    let unique = unique.unwrap_or("none").to_owned();
    let (name, faults) = {
        let mut state = lock(&executor);
        state.running += 1;
        state.most_running = state.most_running.max(state.running);
        state.over_slots += u64::from(state.running > SLOTS);
        state.total += 1;
        state.last_start = unix_millis();
        *state.runs.entry(unique.clone()).or_default() += 1;
        (state.name.clone(), state.faults)
    };
    let guard = RunningGuard(executor);
    tokio::time::sleep(Duration::from_millis(query.ms + faults.slow_ms)).await;
    if faults.break_all {
        return broken();
    }
    if query.chunks > 0 {
        return stream(query.into_inner(), unique, guard);
    }
    HttpResponse::Ok().insert_header(("Executor", name.clone())).json(json!({
        "executor": name, "unique": unique, "method": request.method().as_str(),
        "path": request.path(), "body_bytes": body.len(), "filler": "x".repeat(query.bytes),
    }))
}

/// Answers with a body that breaks at once.
fn broken() -> HttpResponse {
    let parts: Vec<Result<Bytes, std::io::Error>> =
        vec![Err(std::io::Error::other("broken"))];
    HttpResponse::Ok().streaming(futures_util::stream::iter(parts))
}

/// Answers with a streamed body of lines that each hold the request's own mark.
fn stream(query: WorkQuery, unique: String, guard: RunningGuard) -> HttpResponse {
    let guard = Arc::new(guard);
    let chunks = futures_util::stream::unfold(0, move |index| {
        let query = query.clone();
        let unique = unique.clone();
        let guard = guard.clone();
        async move {
            let _running = guard;
            if index >= query.chunks {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(query.ms)).await;
            if query.truncate && index + 1 == query.chunks {
                return Some((Err(std::io::Error::other("truncated")), query.chunks));
            }
            let filler = "y".repeat(query.bytes);
            let line = format!("{unique} {index} {filler}\n");
            Some((Ok(Bytes::from(line)), index + 1))
        }
    });
    HttpResponse::Ok().streaming(Box::pin(chunks))
}
