//! A sound executor: it starts what it is told, holds a lease, and lists runs and ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::record::Record;
use crate::store::Store;

const MAX_HOLD_MS: u64 = 6000;
/// Varies how long runs take.
static VARIED: AtomicU64 = AtomicU64::new(0);
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A run on an executor.
#[derive(Clone, Debug)]
struct Run {
    task: String,
    run: u64,
    began: Instant,
    work: Duration,
}

/// What an executor has begun, or how a run there has ended.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub at_ms: u64,
    pub worker: String,
    /// The labels of the executor's life.
    pub labels: Vec<String>,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run has ended.
    pub what: &'static str,
}

/// One life of an executor.
struct Life {
    id: String,
    labels: Vec<String>,
    born_ms: u64,
    began: Instant,
    fence: u64,
    lease_end: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    closed: HashMap<String, u64>,
}

/// How an executor looks in the platform's list.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// An executor at an address, with its present life if it is up.
pub struct Worker {
    pub address: SocketAddr,
    kind: Kind,
    store: Store,
    record: Arc<Record>,
    events: Arc<Mutex<Vec<RunEvent>>>,
    life: Mutex<Option<Life>>,
    ended: Condvar,
    server: Mutex<Option<Server>>,
    /// The task whose next order to start gets no answer and is carried out late.
    held_task: Mutex<Option<String>>,
    held_order: Mutex<Option<Request>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }
}

impl Worker {
    /// Starts an executor on a free port.
    pub fn start(
        id: &str,
        labels: &[&str],
        kind: Kind,
        store: &Store,
        record: &Arc<Record>,
        events: &Arc<Mutex<Vec<RunEvent>>>,
    ) -> std::io::Result<Arc<Worker>> {
        let address = crate::cell::free_address()?;
        let worker = Arc::new(Worker {
            address,
            kind,
            store: store.clone(),
            record: Arc::clone(record),
            events: Arc::clone(events),
            life: Mutex::new(None),
            ended: Condvar::new(),
            server: Mutex::new(None),
            held_task: Mutex::new(None),
            held_order: Mutex::new(None),
        });
        worker.begin_life(id, labels)?;
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        let sweeping = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                sweeping.sweep();
            }
        });
        Ok(worker)
    }

    /// Begins a life and enters it into the list.
    pub fn begin_life(self: &Arc<Self>, id: &str, labels: &[&str]) -> std::io::Result<()> {
        *self.life.lock().unwrap() = Some(Life {
            id: id.to_owned(),
            labels: labels.iter().map(|&label| label.to_owned()).collect(),
            born_ms: unix_ms(),
            began: Instant::now(),
            fence: 0,
            lease_end: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
        });
        self.record.line(&format!("executor {id} begins, labels {labels:?}"));
        let worker = Arc::clone(self);
        let mut last = None;
        for _ in 0..200 {
            let worker = Arc::clone(&worker);
            match Server::start(self.address, Arc::new(move |r| worker.handle(r))) {
                Ok(server) => {
                    *self.server.lock().unwrap() = Some(server);
                    self.beat();
                    return Ok(());
                }
                Err(error) => last = Some(error),
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(last.expect("an error"))
    }

    /// Crashes the executor: its process is gone, with all that runs there.
    pub fn crash(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let life = self.life.lock().unwrap().take();
        if let Some(life) = life {
            self.record.line(&format!("executor {} crashes", life.id));
            for run in &life.running {
                self.note(&life, &run.task, run.run, "crashed");
            }
        }
        self.ended.notify_all();
    }

    /// Returns the id of the present life.
    pub fn id(&self) -> Option<String> {
        self.life.lock().unwrap().as_ref().map(|life| life.id.clone())
    }

    /// Leaves the next order to start a task without an answer, and keeps it.
    pub fn hold_order(&self, task: &str) {
        *self.held_task.lock().unwrap() = Some(task.to_owned());
    }

    /// Returns whether an order is kept.
    pub fn holds_order(&self) -> bool {
        self.held_order.lock().unwrap().is_some()
    }

    /// Carries out the order that was kept, if any.
    pub fn carry_out_held(&self) {
        let held = self.held_order.lock().unwrap().take();
        if let Some(request) = held {
            self.record.line("the late order is carried out now");
            let response = self.answer(&request);
            let text = response.map(|(status, body)| format!("{status} {}", String::from_utf8_lossy(&body)));
            self.record.line(&format!("its answer, which nobody hears: {text:?}"));
        }
    }

    fn beat(&self) {
        let life = self.life.lock().unwrap();
        let Some(life) = life.as_ref() else { return };
        let Kind { service, zone, cpu, mem_mb } = &self.kind;
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}, "labels": life.labels,
            "clock_ms": life.clock_ms(), "seq_no": life.clock_ms() / 1500 + 1,
            "born": life.born_ms,
        });
        self.store.put(&format!("servers/{}", life.id), &entry);
    }

    fn note(&self, life: &Life, task: &str, run: u64, what: &'static str) {
        self.record.line(&format!("executor {}: {what} {task} run {run}", life.id));
        self.events.lock().unwrap().push(RunEvent {
            at_ms: self.record.now_ms(),
            worker: life.id.clone(),
            labels: life.labels.clone(),
            task: task.to_owned(),
            run,
            what,
        });
    }

    fn end(&self, life: &mut Life, index: usize, how: &'static str) {
        let run = life.running.remove(index);
        life.last_end += 1;
        let closed = life.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        life.ended.push((life.last_end, run.task.clone(), run.run, how));
        self.note(life, &run.task, run.run, how);
        self.ended.notify_all();
    }

    /// Ends the runs that are done, and all once the lease has lapsed.
    fn sweep(&self) {
        let mut life = self.life.lock().unwrap();
        let Some(life) = life.as_mut() else { return };
        let lapsed = life.clock_ms() > life.lease_end;
        while let Some(index) =
            life.running.iter().position(|run| lapsed || run.began.elapsed() >= run.work)
        {
            let done = life.running[index].began.elapsed() >= life.running[index].work;
            self.end(life, index, if done { "done" } else { "lapsed" });
        }
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        if request.path == "/-/run-start" {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
            let mut held_task = self.held_task.lock().unwrap();
            if held_task.is_some() && held_task.as_deref() == body["task"].as_str() {
                self.record.line(&format!("an order to start {} gets no answer", body["task"]));
                *held_task = None;
                *self.held_order.lock().unwrap() = Some(request.clone());
                drop(held_task);
                thread::sleep(Duration::from_secs(15));
                return None;
            }
        }
        self.answer(request)
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let expected = request.headers.get("geraniumwinch-expect-instance");
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let task = body["task"].as_str().unwrap_or_default();
        let mut guard = self.life.lock().unwrap();
        let life = guard.as_mut()?;
        if expected.is_some_and(|id| *id != life.id) {
            return Some((421, b"{}".to_vec()));
        }
        let clock = life.clock_ms();
        let answer = |life: &Life, reason: Option<&str>| {
            let body = match reason {
                None => json!({"clock_ms": life.clock_ms()}),
                Some(reason) => json!({"clock_ms": life.clock_ms(), "reason": reason}),
            };
            let status = if reason.is_some() { 409 } else { 200 };
            Some((status, body.to_string().into_bytes()))
        };
        if number("fencing_token") < life.fence {
            return answer(life, Some("fence"));
        }
        life.fence = number("fencing_token");
        let extend = |life: &mut Life| {
            let wanted = number("deadline_ms").min(clock + MAX_HOLD_MS);
            life.lease_end = life.lease_end.max(wanted);
        };
        match request.path.as_str() {
            "/-/run-start" => {
                let run = number("run");
                if number("deadline_ms") <= clock {
                    return answer(life, Some("late"));
                }
                extend(life);
                if life.running.iter().any(|r| r.task == task && r.run == run) {
                    return answer(life, None);
                }
                if life.closed.get(task).is_some_and(|&closed| run <= closed) {
                    return answer(life, Some("old"));
                }
                let spec = body["spec"].as_str().unwrap_or_default();
                let work = spec.split(' ').next().and_then(|ms| ms.parse().ok());
                let mut work: u64 = work.unwrap_or(100);
                if spec.ends_with("varied") {
                    // Runs take half to one and a half times as long.
                    let varied = VARIED.fetch_add(37, Ordering::Relaxed) % 64;
                    work = work / 2 + varied * work / 64;
                }
                let work = Duration::from_millis(work);
                let task = task.to_owned();
                self.note(life, &task, run, "start");
                life.running.push(Run { task, run, began: Instant::now(), work });
                answer(life, None)
            }
            "/-/run-stop" => {
                let run = number("run");
                let closed = life.closed.entry(task.to_owned()).or_default();
                *closed = run.max(*closed);
                let found =
                    life.running.iter().position(|r| r.task == task && r.run <= run);
                if let Some(index) = found {
                    self.end(life, index, "stopped");
                }
                answer(life, None)
            }
            "/-/hold" => {
                let seen = number("last_seen");
                life.ended.retain(|end| end.0 > seen);
                extend(life);
                let born = life.born_ms;
                let end = Instant::now() + Duration::from_millis(number("wait_ms"));
                loop {
                    let life = guard.as_mut()?;
                    if life.born_ms != born {
                        return None;
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return Some((200, report(life).to_string().into_bytes()));
                    }
                    guard = self.ended.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => Some((404, b"{}".to_vec())),
        }
    }
}

fn report(life: &Life) -> Value {
    let running: Vec<Value> = life
        .running
        .iter()
        .map(|run| {
            let share = run.began.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
            json!([run.task, run.run, "", (share * 100.0).min(100.0) as u64, 0])
        })
        .collect();
    let ended: Vec<Value> = life
        .ended
        .iter()
        .take(500)
        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
        .collect();
    json!({"clock_ms": life.clock_ms(), "born": life.born_ms, "running": running,
        "ended": ended})
}
