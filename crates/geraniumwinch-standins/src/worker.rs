//! A stand-in for workers: they start what they are given, whether it fits or not.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use crate::stand_in::unix_millis;

/// The time between two looks at leases and run times.
const TICK: Duration = Duration::from_millis(10);

/// The switches of faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct WorkerFaults {
    /// Fail every task shortly after its start.
    fail_all: bool,
    /// Answer every call this much later, in milliseconds.
    slow_ms: u64,
    /// Carry out this many start commands and answer them with an error.
    lose_answers: u64,
}

/// A task on the worker; times are in milliseconds since the Unix epoch.
#[derive(Debug, Clone)]
struct WorkerTask {
    cpu_millis: u64,
    memory_bytes: u64,
    lease_ends: u64,
    run_ends: Option<u64>,
    state: &'static str,
}

/// One run in the worker's account.
#[derive(Debug, Clone)]
struct RunRecord {
    task: String,
    started: u64,
    ended: Option<u64>,
    how: &'static str,
}

/// A worker.
#[derive(Debug, Default)]
struct WorkerState {
    name: String,
    cpu_millis: u64,
    memory_bytes: u64,
    tasks: BTreeMap<String, WorkerTask>,
    stopped: BTreeSet<String>,
    version: u64,
    faults: WorkerFaults,
    runs: Vec<RunRecord>,
    run_of: BTreeMap<String, usize>,
    overcommits: u64,
    late_starts: u64,
    heartbeats: u64,
    heartbeat_bytes: u64,
    epochs: BTreeSet<u64>,
}

/// The shared state of the handlers.
type Worker = web::Data<Mutex<WorkerState>>;

/// Serves until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let mut servers = Vec::new();
    for (name, address) in options.instances() {
        let worker = web::Data::new(Mutex::new(WorkerState {
            name,
            cpu_millis: options.cores * 1000,
            memory_bytes: options.memory_gb << 30,
            ..Default::default()
        }));
        let ticking = worker.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                lock(&ticking).advance();
            }
        });
        let server = HttpServer::new(move || {
            App::new()
                .app_data(worker.clone())
                .route("/v1/heartbeat", web::post().to(heartbeat))
                .route("/v1/tasks/start", web::post().to(start))
                .route("/v1/tasks/stop", web::post().to(stop))
                .route("/faults", web::post().to(set_faults))
                .route("/account", web::get().to(account))
        });
        servers.push(server.workers(1).disable_signals().bind(address)?.run());
    }
    tokio::select! {
        served = futures_util::future::try_join_all(servers) => served.map(|_| ()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Sets the switches of faults.
async fn set_faults(worker: Worker, faults: web::Json<WorkerFaults>) -> HttpResponse {
    lock(&worker).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Waits as long as the switch for slowness says.
async fn dawdle(worker: &Worker) {
    let slow = lock(worker).faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
}

/// Renews leases and tells the inventory.
async fn heartbeat(worker: Worker, body: web::Bytes) -> HttpResponse {
    dawdle(&worker).await;
    let mut state = lock(&worker);
    state.advance();
    state.heartbeats += 1;
    state.heartbeat_bytes += body.len() as u64;
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let now = unix_millis();
    let expires = body["expires_unix_ms"].as_u64().unwrap_or(0);
    if now <= expires
        && let Some(lease) = body["lease_ms"].as_u64()
    {
        for task in state.tasks.values_mut().filter(|task| task.state == "running") {
            task.lease_ends = now + lease;
        }
    }
    for task in body["ack"].as_array().into_iter().flatten() {
        let id = task.as_str().unwrap_or_default();
        if state.tasks.get(id).is_some_and(|task| task.state != "running") {
            state.tasks.remove(id);
            state.version += 1;
        }
    }
    state.epochs.insert(body["epoch"].as_u64().unwrap_or(0));
    // Version 0 means that the owner has seen nothing, so the versions told begin at 1.
    let version = state.version + 1;
    if body["seen"].as_u64() == Some(version) {
        return HttpResponse::Ok().json(json!({ "version": version }));
    }
    let tasks: Vec<Value> = state
        .tasks
        .iter()
        .map(|(id, task)| json!({ "task": id, "state": task.state }))
        .collect();
    HttpResponse::Ok().json(json!({ "version": version, "tasks": tasks }))
}

/// Starts a task.
async fn start(worker: Worker, body: web::Json<Value>) -> HttpResponse {
    dawdle(&worker).await;
    let mut state = lock(&worker);
    state.advance();
    let now = unix_millis();
    let id = body["task"].as_str().unwrap_or_default().to_owned();
    if now > body["expires_unix_ms"].as_u64().unwrap_or(0) {
        state.late_starts += 1;
        return HttpResponse::Ok().json(json!({ "accepted": false }));
    }
    if state.stopped.contains(&id) {
        return HttpResponse::Ok().json(json!({ "accepted": false }));
    }
    if !state.tasks.contains_key(&id) {
        state.begin(id, &body, now);
    }
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(json!({ "accepted": true }))
}

/// Stops a task for good.
async fn stop(worker: Worker, body: web::Json<Value>) -> HttpResponse {
    dawdle(&worker).await;
    let mut state = lock(&worker);
    state.advance();
    let id = body["task"].as_str().unwrap_or_default().to_owned();
    if state.tasks.get(&id).is_some_and(|task| task.state == "running") {
        state.end(&id, "stopped", unix_millis());
    }
    state.tasks.remove(&id);
    state.stopped.insert(id);
    state.version += 1;
    HttpResponse::Ok().json(json!({}))
}

/// Tells what the worker has seen.
async fn account(worker: Worker) -> HttpResponse {
    let mut state = lock(&worker);
    state.advance();
    let runs: Vec<Value> = state
        .runs
        .iter()
        .map(|run| {
            json!({ "task": run.task, "started": run.started, "ended": run.ended, "how": run.how })
        })
        .collect();
    let running = state.tasks.values().filter(|task| task.state == "running").count();
    HttpResponse::Ok().json(json!({
        "name": state.name, "runs": runs, "running": running, "overcommits": state.overcommits,
        "late_starts": state.late_starts, "heartbeats": state.heartbeats,
        "heartbeat_bytes": state.heartbeat_bytes, "epochs": state.epochs,
    }))
}

impl WorkerState {
    /// Begins a task, whether it fits or not.
    fn begin(&mut self, id: String, body: &Value, now: u64) {
        let run_time = match body["run_time_ms"].as_u64().unwrap_or(0) {
            _ if self.faults.fail_all => Some(50),
            _ if body["service"].as_bool() == Some(true) => None,
            time => Some(time),
        };
        let task = WorkerTask {
            cpu_millis: body["cpu_millis"].as_u64().unwrap_or(0),
            memory_bytes: body["memory_bytes"].as_u64().unwrap_or(0),
            lease_ends: now + body["lease_ms"].as_u64().unwrap_or(0),
            run_ends: run_time.map(|time| now + time),
            state: "running",
        };
        self.tasks.insert(id.clone(), task);
        self.version += 1;
        self.run_of.insert(id.clone(), self.runs.len());
        self.runs.push(RunRecord { task: id, started: now, ended: None, how: "running" });
        let running = || self.tasks.values().filter(|task| task.state == "running");
        let cpu: u64 = running().map(|task| task.cpu_millis).sum();
        let memory: u64 = running().map(|task| task.memory_bytes).sum();
        if cpu > self.cpu_millis || memory > self.memory_bytes {
            self.overcommits += 1;
        }
    }

    /// Ends a task.
    fn end(&mut self, id: &str, how: &'static str, at: u64) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = how;
        }
        if let Some(&run) = self.run_of.get(id) {
            self.runs[run].ended = Some(at);
            self.runs[run].how = how;
        }
        self.version += 1;
    }

    /// Ends the tasks whose lease or run time has ended, at the time at which it did.
    fn advance(&mut self) {
        let now = unix_millis();
        let how = if self.faults.fail_all { "failed" } else { "succeeded" };
        let mut ended = Vec::new();
        for (id, task) in self.tasks.iter().filter(|(_, task)| task.state == "running") {
            match task.run_ends {
                Some(end) if end <= now && end <= task.lease_ends => {
                    ended.push((id.clone(), how, end));
                }
                _ if task.lease_ends <= now => {
                    ended.push((id.clone(), "stopped", task.lease_ends));
                }
                _ => {}
            }
        }
        for (id, how, at) in ended {
            self.end(&id, how, at);
        }
    }
}
