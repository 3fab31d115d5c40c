//! A stand-in for the endpoints of a service: executors that run every request, and count those that
//! exceed their slots.

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

/// The number of requests that an executor may run concurrently.
const SLOTS: u32 = 8;

/// The injected faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct ExecutorFaults {
    /// Break the connection of every request after running it.
    break_all: bool,
    /// The additional run time of every request, in milliseconds.
    slow_ms: u64,
}

/// The faults and the statistics of an executor.
#[derive(Debug, Default)]
struct ExecutorState {
    name: String,
    running: u32,
    max_running: u32,
    /// The requests that began while all slots were in use.
    slot_overruns: u64,
    total: u64,
    /// The Unix time in milliseconds at which the last request began.
    last_start: u64,
    /// The number of runs by the request's `Unique` header.
    runs: BTreeMap<String, u64>,
    faults: ExecutorFaults,
}

/// The state shared by the handlers of an executor.
type Executor = web::Data<Mutex<ExecutorState>>;

/// The work that a request asks of the executor.
#[derive(Debug, Clone, Deserialize)]
struct WorkQuery {
    /// The run time, and the time before each chunk of a streamed response, in milliseconds.
    #[serde(default)]
    ms: u64,
    /// The size of the filler in the response or in each chunk, in bytes.
    #[serde(default)]
    bytes: usize,
    /// The number of chunks of a streamed response, or 0 for a JSON response.
    #[serde(default)]
    chunks: u32,
    /// Whether to break the connection before the last chunk.
    #[serde(default)]
    truncate: bool,
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Executor);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

/// Serves requests until the process ends.
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
                .route("/account", web::get().to(show_statistics))
                .default_service(web::route().to(run_request))
        });
        servers.push(server.workers(1).disable_signals().bind(address)?.run());
    }
    tokio::select! {
        served = futures_util::future::try_join_all(servers) => served.map(|_| ()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Replaces the injected faults.
async fn set_faults(
    executor: Executor,
    faults: web::Json<ExecutorFaults>,
) -> HttpResponse {
    lock(&executor).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Returns the counters of the executor.
async fn show_statistics(executor: Executor) -> HttpResponse {
    let state = lock(&executor);
    HttpResponse::Ok().json(json!({
        "name": state.name, "running": state.running, "most_running": state.max_running,
        "over_slots": state.slot_overruns, "total": state.total, "runs": state.runs,
        "last_start": state.last_start,
    }))
}

/// Runs a request of any method and path.
async fn run_request(
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
        state.max_running = state.max_running.max(state.running);
        state.slot_overruns += u64::from(state.running > SLOTS);
        state.total += 1;
        state.last_start = unix_millis();
        *state.runs.entry(unique.clone()).or_default() += 1;
        (state.name.clone(), state.faults)
    };
    let guard = RunningGuard(executor);
    tokio::time::sleep(Duration::from_millis(query.ms + faults.slow_ms)).await;
    if faults.break_all {
        return broken_response();
    }
    if query.chunks > 0 {
        return streamed_response(query.into_inner(), unique, guard);
    }
    HttpResponse::Ok().insert_header(("Executor", name.clone())).json(json!({
        "executor": name, "unique": unique, "method": request.method().as_str(),
        "path": request.path(), "body_bytes": body.len(), "filler": "x".repeat(query.bytes),
    }))
}

/// Returns a response whose body fails at once.
fn broken_response() -> HttpResponse {
    let parts: Vec<Result<Bytes, std::io::Error>> =
        vec![Err(std::io::Error::other("broken"))];
    HttpResponse::Ok().streaming(futures_util::stream::iter(parts))
}

/// Returns a streamed response of lines that each contain the request's `Unique` header.
fn streamed_response(
    query: WorkQuery,
    unique: String,
    guard: RunningGuard,
) -> HttpResponse {
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
