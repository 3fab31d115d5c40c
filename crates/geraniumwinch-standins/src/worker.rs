//! A stand-in for workers, which start every task that they are sent, also beyond their capacity.

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

/// The interval at which tasks are checked for expired leases and run times.
const EXPIRY_POLL: Duration = Duration::from_millis(10);

/// The injected faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default)]
struct WorkerFaults {
    /// Let every task fail 50 ms after its start.
    fail_all: bool,
    /// The delay of every call, in milliseconds.
    slow_ms: u64,
    /// The number of further start commands that are executed but reported as failed.
    lose_answers: u64,
    /// The number of further start commands that are executed but whose answer says neither yes nor no.
    blank_answers: u64,
}

/// A task on the worker; times are Unix times in milliseconds.
#[derive(Debug, Clone)]
struct WorkerTask {
    cpu_millis: u64,
    memory_bytes: u64,
    lease_expires: u64,
    /// The end of the run time, or none for a service.
    run_ends: Option<u64>,
    state: &'static str,
}

/// A task's run in the worker's statistics; times are Unix times in milliseconds.
#[derive(Debug, Clone)]
struct RunRecord {
    task: String,
    started: u64,
    ended: Option<u64>,
    outcome: &'static str,
}

/// The tasks, the faults and the statistics of a worker.
#[derive(Debug, Default)]
struct WorkerState {
    name: String,
    cpu_millis: u64,
    memory_bytes: u64,
    tasks: BTreeMap<String, WorkerTask>,
    /// The tasks that were stopped and never start again.
    stopped: BTreeSet<String>,
    /// The number of changes to the inventory.
    version: u64,
    faults: WorkerFaults,
    runs: Vec<RunRecord>,
    /// The index in `runs` of each task.
    run_indexes: BTreeMap<String, usize>,
    /// The starts after which the running tasks exceeded the capacity.
    overcommits: u64,
    /// The start commands that arrived after they had expired.
    late_starts: u64,
    heartbeats: u64,
    heartbeat_bytes: u64,
    epochs: BTreeSet<u64>,
}

/// The state shared by the handlers of a worker.
type Worker = web::Data<Mutex<WorkerState>>;

/// Serves requests until the process ends.
pub async fn serve(options: StandInOptions) -> std::io::Result<()> {
    let mut servers = Vec::new();
    for (name, address) in options.instances() {
        let worker = web::Data::new(Mutex::new(WorkerState {
            name,
            cpu_millis: options.cores * 1000,
            memory_bytes: options.memory_gb << 30,
            ..Default::default()
        }));
        let polled_worker = worker.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRY_POLL).await;
                lock(&polled_worker).end_due_tasks();
            }
        });
        let server = HttpServer::new(move || {
            App::new()
                .app_data(worker.clone())
                .route("/v1/heartbeat", web::post().to(heartbeat))
                .route("/v1/tasks/start", web::post().to(start))
                .route("/v1/tasks/stop", web::post().to(stop))
                .route("/faults", web::post().to(set_faults))
                .route("/account", web::get().to(show_statistics))
        });
        servers.push(server.workers(1).disable_signals().bind(address)?.run());
    }
    tokio::select! {
        served = futures_util::future::try_join_all(servers) => served.map(|_| ()),
        _ = tokio::signal::ctrl_c() => Ok(()),
    }
}

/// Replaces the injected faults.
async fn set_faults(worker: Worker, faults: web::Json<WorkerFaults>) -> HttpResponse {
    lock(&worker).faults = faults.into_inner();
    HttpResponse::Ok().json(json!({}))
}

/// Waits for the injected delay.
async fn apply_delay(worker: &Worker) {
    let slow = lock(worker).faults.slow_ms;
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
}

/// Renews leases, removes acknowledged tasks and returns the inventory if it has changed.
async fn heartbeat(worker: Worker, body: web::Bytes) -> HttpResponse {
    apply_delay(&worker).await;
    let mut state = lock(&worker);
    state.end_due_tasks();
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
            task.lease_expires = now + lease;
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
    // An owner that has not seen an inventory sends version 0, so reported versions begin at 1.
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

/// Starts a task, unless the command has expired or the task was stopped.
async fn start(worker: Worker, body: web::Json<Value>) -> HttpResponse {
    apply_delay(&worker).await;
    let mut state = lock(&worker);
    state.end_due_tasks();
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
        state.begin_run(id, &body, now);
    }
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return HttpResponse::ServiceUnavailable().finish();
    }
    if state.faults.blank_answers > 0 {
        state.faults.blank_answers -= 1;
        return HttpResponse::Ok().json(json!({}));
    }
    HttpResponse::Ok().json(json!({ "accepted": true }))
}

/// Stops a task, which never starts again.
async fn stop(worker: Worker, body: web::Json<Value>) -> HttpResponse {
    apply_delay(&worker).await;
    let mut state = lock(&worker);
    state.end_due_tasks();
    let id = body["task"].as_str().unwrap_or_default().to_owned();
    if state.tasks.get(&id).is_some_and(|task| task.state == "running") {
        state.end_run(&id, "stopped", unix_millis());
    }
    state.tasks.remove(&id);
    state.stopped.insert(id);
    state.version += 1;
    HttpResponse::Ok().json(json!({}))
}

/// Returns the runs and the counters of the worker.
async fn show_statistics(worker: Worker) -> HttpResponse {
    let mut state = lock(&worker);
    state.end_due_tasks();
    let runs: Vec<Value> = state
        .runs
        .iter()
        .map(|run| {
            json!({ "task": run.task, "started": run.started, "ended": run.ended, "how": run.outcome })
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
    /// Begins the run of a task, also beyond the worker's capacity.
    fn begin_run(&mut self, id: String, body: &Value, now: u64) {
        let run_time = match body["run_time_ms"].as_u64().unwrap_or(0) {
            _ if self.faults.fail_all => Some(50),
            _ if body["service"].as_bool() == Some(true) => None,
            time => Some(time),
        };
        let task = WorkerTask {
            cpu_millis: body["cpu_millis"].as_u64().unwrap_or(0),
            memory_bytes: body["memory_bytes"].as_u64().unwrap_or(0),
            lease_expires: now + body["lease_ms"].as_u64().unwrap_or(0),
            run_ends: run_time.map(|time| now + time),
            state: "running",
        };
        self.tasks.insert(id.clone(), task);
        self.version += 1;
        self.run_indexes.insert(id.clone(), self.runs.len());
        self.runs.push(RunRecord {
            task: id,
            started: now,
            ended: None,
            outcome: "running",
        });
        let running = || self.tasks.values().filter(|task| task.state == "running");
        let cpu: u64 = running().map(|task| task.cpu_millis).sum();
        let memory: u64 = running().map(|task| task.memory_bytes).sum();
        if cpu > self.cpu_millis || memory > self.memory_bytes {
            self.overcommits += 1;
        }
    }

    /// Ends the run of a task.
    fn end_run(&mut self, id: &str, outcome: &'static str, at: u64) {
        if let Some(task) = self.tasks.get_mut(id) {
            task.state = outcome;
        }
        if let Some(&run) = self.run_indexes.get(id) {
            self.runs[run].ended = Some(at);
            self.runs[run].outcome = outcome;
        }
        self.version += 1;
    }

    /// Ends the tasks whose lease or run time has expired, with the time of expiry as their end.
    fn end_due_tasks(&mut self) {
        let now = unix_millis();
        let outcome = if self.faults.fail_all { "failed" } else { "succeeded" };
        let mut ended = Vec::new();
        for (id, task) in self.tasks.iter().filter(|(_, task)| task.state == "running") {
            match task.run_ends {
                Some(end) if end <= now && end <= task.lease_expires => {
                    ended.push((id.clone(), outcome, end));
                }
                _ if task.lease_expires <= now => {
                    ended.push((id.clone(), "stopped", task.lease_expires));
                }
                _ => {}
            }
        }
        for (id, outcome, at) in ended {
            self.end_run(&id, outcome, at);
        }
    }
}
