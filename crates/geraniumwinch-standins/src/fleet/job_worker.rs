//! A worker of the platform: it starts what it is told, whether it fits or not.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::lock;
use crate::stand_in::unix_millis;

use super::SharedStore;
use super::SharedWorkers;

/// The time between two looks of a call that waits for an end.
const HOLD_LOOK: Duration = Duration::from_millis(10);
/// The longest lease.
const MAX_LEASE_MS: u64 = 6000;

/// A run.
#[derive(Debug, Clone)]
struct JobRun {
    task: String,
    run: u64,
    started_ms: u64,
    ends: Instant,
    /// How it will end by itself.
    outcome: &'static str,
    /// How and when it has ended.
    ended: Option<(&'static str, u64)>,
    /// Whether the worker began a new lifetime before the end was acknowledged.
    forgotten: bool,
}

/// A worker.
#[derive(Debug)]
pub struct JobWorker {
    born: u64,
    since: Instant,
    /// How fast its clock runs.
    clock_rate: f64,
    fence: u64,
    lease_end_ms: u64,
    runs: Vec<JobRun>,
    ended: Vec<(u64, usize)>,
    numbers: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
    /// The orders that have come.
    orders: u64,
    /// The number of its lifetime.
    lifetime: u64,
}

/// An order or a look.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireOrder {
    task: String,
    run: u64,
    /// `MILLISECONDS OUTCOME`: how long the task works and how it ends.
    spec: String,
    deadline_ms: u64,
    fencing_token: u64,
    last_seen: u64,
    wait_ms: u64,
}

impl JobWorker {
    /// Creates a worker that runs nothing.
    pub(super) fn new(clock_rate: f64) -> Self {
        JobWorker {
            born: unix_millis(),
            since: Instant::now(),
            clock_rate,
            fence: 0,
            lease_end_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            numbers: 0,
            closed: HashMap::new(),
            orders: 0,
            lifetime: 0,
        }
    }

    /// Begins a new lifetime, in which nothing of before is known; the account keeps the runs.
    pub(super) fn restart(&mut self) {
        self.advance();
        for run in self.runs.iter_mut().filter(|run| run.ended.is_none()) {
            run.ended = Some(("crashed", unix_millis()));
        }
        for (_, index) in self.ended.drain(..) {
            self.runs[index].forgotten = true;
        }
        let runs = std::mem::take(&mut self.runs);
        let lifetime = self.lifetime + 1;
        *self = JobWorker { runs, lifetime, ..JobWorker::new(self.clock_rate) };
    }

    /// Returns the worker's own clock.
    fn clock_ms(&self) -> u64 {
        self.since.elapsed().mul_f64(self.clock_rate).as_millis() as u64 + 1
    }

    /// Ends what has ended by itself or by the lease.
    fn advance(&mut self) {
        let (clock, now) = (self.clock_ms(), Instant::now());
        for index in 0..self.runs.len() {
            let run = &self.runs[index];
            if run.ended.is_some() {
                continue;
            }
            if clock > self.lease_end_ms {
                self.end(index, "lapsed");
            } else if run.ends <= now {
                self.end(index, run.outcome);
            }
        }
    }

    /// Ends a run.
    fn end(&mut self, index: usize, how: &'static str) {
        self.numbers += 1;
        let run = &mut self.runs[index];
        run.ended = Some((how, unix_millis()));
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        self.ended.push((self.numbers, index));
    }

    /// Checks the fence of an order and extends the lease.
    fn admit(&mut self, order: &WireOrder) -> Result<(), &'static str> {
        self.advance();
        if order.fencing_token < self.fence {
            return Err("fence");
        }
        self.fence = order.fencing_token;
        let longest = self.clock_ms() + MAX_LEASE_MS;
        self.lease_end_ms = self.lease_end_ms.max(order.deadline_ms.min(longest));
        Ok(())
    }

    /// Starts a task.
    fn start(&mut self, order: WireOrder) -> Result<(), &'static str> {
        if order.deadline_ms <= self.clock_ms() {
            return Err("late");
        }
        self.admit(&order)?;
        let there = |run: &&JobRun| run.task == order.task && run.run == order.run;
        if self.runs.iter().find(there).is_some_and(|run| run.ended.is_none()) {
            return Ok(());
        }
        if self.closed.get(&order.task).is_some_and(|&closed| order.run <= closed) {
            return Err("old");
        }
        let (millis, outcome) =
            order.spec.split_once(' ').unwrap_or((&order.spec, "done"));
        let outcome = if outcome == "failed" { "failed" } else { "done" };
        let work = Duration::from_millis(millis.parse().unwrap_or(100));
        self.runs.push(JobRun {
            task: order.task,
            run: order.run,
            started_ms: unix_millis(),
            ends: Instant::now() + work,
            outcome,
            ended: None,
            forgotten: false,
        });
        Ok(())
    }

    /// Stops a run and shuts out its late start.
    fn stop(&mut self, order: &WireOrder) -> Result<(), &'static str> {
        self.admit(order)?;
        let closed = self.closed.entry(order.task.clone()).or_default();
        *closed = order.run.max(*closed);
        let running = |run: &JobRun| {
            run.task == order.task && run.run <= order.run && run.ended.is_none()
        };
        if let Some(index) = self.runs.iter().position(running) {
            self.end(index, "stopped");
        }
        Ok(())
    }

    /// Shows both lists.
    fn lists(&self) -> Value {
        let running = self.runs.iter().filter(|run| run.ended.is_none());
        let running: Vec<Value> =
            running.map(|run| json!([run.task, run.run, "", 50, 0])).collect();
        let ended = self.ended.iter().map(|&(number, index)| {
            let run = &self.runs[index];
            let how = run.ended.map_or("", |(how, _)| how);
            json!([number, run.task, run.run, how, ""])
        });
        json!({
            "clock_ms": self.clock_ms(), "born": self.born,
            "running": running, "ended": ended.collect::<Vec<Value>>(),
        })
    }

    /// Returns all runs that were ever started.
    pub(super) fn account(&mut self, worker: usize) -> Vec<Value> {
        self.advance();
        let show = |run: &JobRun| {
            let (how, ended_ms) = run.ended.unwrap_or(("running", u64::MAX));
            json!({
                "worker": worker, "task": run.task, "run": run.run, "started_ms": run.started_ms,
                "ended_ms": ended_ms, "how": how, "forgotten": run.forgotten,
            })
        };
        self.runs.iter().map(show).collect()
    }

    /// Answers an order.
    fn answer(&self, result: Result<(), &'static str>) -> HttpResponse {
        let clock_ms = self.clock_ms();
        match result {
            Ok(()) => HttpResponse::Ok().json(json!({ "clock_ms": clock_ms })),
            Err(reason) => HttpResponse::Conflict()
                .json(json!({ "clock_ms": clock_ms, "reason": reason })),
        }
    }
}

/// Adds the workers' calls.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/-/run-start", web::post().to(start))
        .route("/-/run-stop", web::post().to(stop))
        .route("/-/hold", web::post().to(hold));
}

/// Finds the worker that a request is for: they follow the store's port in order.
fn find<'a>(workers: &'a SharedWorkers, request: &HttpRequest) -> &'a Mutex<JobWorker> {
    &workers[find_index(request)]
}

/// Returns the number of the worker that a request is for.
fn find_index(request: &HttpRequest) -> usize {
    let port = request.app_config().local_addr().port();
    usize::from(port).wrapping_sub(1) % super::PORT_STEP
}

/// Holds every third order back while orders are carried out late; returns whether the worker still
/// lives then.
async fn delay_order(store: &SharedStore, worker: &Mutex<JobWorker>) -> bool {
    let late_ms = lock(store).faults.orders_late_ms;
    let (number, lifetime) = {
        let mut worker = lock(worker);
        worker.orders += 1;
        (worker.orders, worker.lifetime)
    };
    if late_ms > 0 && number.is_multiple_of(3) {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
    }
    lock(worker).lifetime == lifetime
}

/// Starts a task.
///
/// The order is a task of its own, so that a caller that has gone away stops nothing.
async fn start(
    store: SharedStore,
    workers: SharedWorkers,
    request: HttpRequest,
    order: web::Json<WireOrder>,
) -> HttpResponse {
    let worker = find_index(&request);
    let order = order.into_inner();
    let started = actix_rt::spawn(async move {
        if !delay_order(&store, &workers[worker]).await {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let mut worker = lock(&workers[worker]);
        let result = worker.start(order);
        worker.answer(result)
    });
    started.await.unwrap_or_else(|_| HttpResponse::InternalServerError().finish())
}

/// Stops a run.
async fn stop(
    workers: SharedWorkers,
    request: HttpRequest,
    order: web::Json<WireOrder>,
) -> HttpResponse {
    let mut worker = lock(find(&workers, &request));
    let result = worker.stop(&order);
    worker.answer(result)
}

/// Extends the lease and shows both lists, once there is an end or the wait is over.
async fn hold(
    workers: SharedWorkers,
    request: HttpRequest,
    order: web::Json<WireOrder>,
) -> HttpResponse {
    let worker = find(&workers, &request);
    let end = Instant::now() + Duration::from_millis(order.wait_ms);
    let lifetime = {
        let mut worker = lock(worker);
        worker.ended.retain(|(number, _)| *number > order.last_seen);
        worker.lifetime
    };
    loop {
        {
            let mut worker = lock(worker);
            if worker.lifetime != lifetime {
                return HttpResponse::ServiceUnavailable().finish();
            }
            if let Err(reason) = worker.admit(&order) {
                return worker.answer(Err(reason));
            }
            if !worker.ended.is_empty() || Instant::now() >= end {
                return HttpResponse::Ok().json(worker.lists());
            }
        }
        tokio::time::sleep(HOLD_LOOK).await;
    }
}
