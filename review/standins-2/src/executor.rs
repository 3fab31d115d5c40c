//! An executor, and the record of all runs that it has ever started.
//!
//! The `spec` of a submission says what its tasks do: `MILLISECONDS HOW`, where HOW is the end that the
//! executor lists, `done` or `failed`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::record::Record;
use crate::store::Store;

/// The longest lease.
pub const MAX_HOLD_MS: u64 = 6000;
/// The interval of status reports.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// The most ends in an answer.
const ENDS_AT_A_TIME: usize = 500;
/// The interval at which runs are looked at.
const TICK: Duration = Duration::from_millis(5);

/// A run that an executor has started.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    /// The life of the executor that has started it.
    pub life: String,
    pub started_ms: u64,
    /// When it ended, and how; `crashed` if its executor crashed.
    pub ended: Option<(u64, &'static str)>,
    /// The number of its end in the executor's list.
    number: u64,
    /// When its end was taken note of without a lapse of the lease before.
    pub noted_ms: Option<u64>,
    ends_at: Instant,
    how: &'static str,
}

struct State {
    /// The identifier of the present life.
    id: String,
    born_ms: u64,
    clock: Instant,
    up: bool,
    state: &'static str,
    seq_no: u64,
    token: u64,
    lease_end_ms: u64,
    runs: Vec<Run>,
    /// The present life's runs that are at work, and its ends that are not taken note of.
    running: Vec<usize>,
    ended: Vec<usize>,
    last_number: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

/// The place of an executor.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub cpu: u64,
    pub labels: Vec<String>,
}

/// An executor.
pub struct Executor {
    place: Place,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    store: Arc<Store>,
    server: Mutex<Option<Arc<Server>>>,
}

impl Executor {
    /// Starts an executor with an entry in the store.
    pub fn start(
        place: Place,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Executor> {
        let state = State {
            id: format!("{}-1", place.name),
            born_ms: unix_ms(),
            clock: Instant::now(),
            up: true,
            state: "ready",
            seq_no: 0,
            token: 0,
            lease_end_ms: 0,
            runs: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            last_number: 0,
            closed: HashMap::new(),
        };
        let executor = Arc::new(Executor {
            place,
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: Arc::clone(record),
            store: Arc::clone(store),
            server: Mutex::new(None),
        });
        let served = Arc::clone(&executor);
        let server = Server::start(move |request| served.handle(&request));
        *executor.server.lock().expect("lock") = Some(Arc::new(server));
        executor.report();
        let ticking = Arc::clone(&executor);
        thread::spawn(move || ticking.tick());
        executor
    }

    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns all runs that were ever started.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().expect("lock").runs.clone()
    }

    /// Returns the number of runs that are at work.
    pub fn running(&self) -> usize {
        self.state.lock().expect("lock").running.len()
    }

    /// Crashes: everything ends, and nothing answers.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("lock");
        let now = self.record.now_ms();
        for index in std::mem::take(&mut state.running) {
            state.runs[index].ended = Some((now, "crashed"));
        }
        state.up = false;
        self.record.line(&format!("executor {} is gone", state.id));
        self.changed.notify_all();
        drop(state);
        self.server().go_down();
    }

    /// Reports that it is about to leave.
    pub fn drain(&self) {
        self.state.lock().expect("lock").state = "draining";
        self.record.line(&format!("executor {} drains", self.place.name));
        self.report();
    }

    /// Leaves for good; everything that runs there ends, and its entry is removed.
    pub fn leave(&self) {
        self.crash();
        let id = self.state.lock().expect("lock").id.clone();
        self.store.remove(&format!("servers/{id}"));
    }

    fn server(&self) -> Arc<Server> {
        let server = self.server.lock().expect("lock");
        Arc::clone(server.as_ref().expect("a started server"))
    }

    /// Writes the executor's entry.
    fn report(&self) {
        let address = self.server().address();
        let mut state = self.state.lock().expect("lock");
        if !state.up {
            return;
        }
        state.seq_no += 1;
        let place = &self.place;
        let entry = json!({
            "service": place.service, "address": address.to_string(), "zone": place.zone,
            "version": "v1", "slots": 8, "state": state.state, "cold_remaining_ms": 0,
            "capacity": { "cpu": place.cpu, "mem_mb": 65536, "gpu": 0 },
            "labels": place.labels, "clock_ms": state.clock_ms(), "seq_no": state.seq_no,
            "born": state.born_ms,
        });
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.put(&key, &entry);
    }

    fn tick(&self) {
        let mut reported = Instant::now();
        loop {
            thread::sleep(TICK);
            if self.end_due_runs() {
                self.changed.notify_all();
            }
            if reported.elapsed() >= HEARTBEAT {
                reported = Instant::now();
                self.report();
            }
        }
    }

    /// Ends the runs that are due, or all if the lease has run out; returns whether any has ended.
    fn end_due_runs(&self) -> bool {
        let mut state = self.state.lock().expect("lock");
        let (now, at) = (self.record.now_ms(), Instant::now());
        let lapsed = state.clock_ms() > state.lease_end_ms;
        let due: Vec<(usize, &'static str)> = state
            .running
            .iter()
            .map(|&index| (index, &state.runs[index]))
            .filter_map(|(index, run)| match (lapsed, run.ends_at <= at) {
                (true, _) => Some((index, "lapsed")),
                (false, true) => Some((index, run.how)),
                (false, false) => None,
            })
            .collect();
        for &(index, how) in &due {
            state.end(index, how, now);
            let Run { task, run, life, .. } = &state.runs[index];
            self.record.line(&format!("executor {life}: {task} run {run} ends {how}"));
        }
        if lapsed {
            // Ends that are not taken note of yet stand for good.
            let ended = state.ended.clone();
            ended.into_iter().for_each(|index| state.runs[index].number = 0);
        }
        !due.is_empty()
    }

    fn handle(&self, request: &Request) -> Reply {
        let body = request.json();
        let expected = request.header("geraniumwinch-expect-instance");
        {
            let state = self.state.lock().expect("lock");
            if !state.up {
                return Reply::Close;
            }
            if expected.is_some_and(|id| id != state.id) {
                return Reply::Answer(421, json!({}));
            }
        }
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            _ => Reply::Answer(404, json!({})),
        }
    }

    fn start_run(&self, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let spec = body["spec"].as_str().unwrap_or_default();
        let now = self.record.now_ms();
        let mut state = self.state.lock().expect("lock");
        if !state.take_token(body) {
            return state.refuse("fence");
        }
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        if deadline_ms <= state.clock_ms() {
            return state.refuse("late");
        }
        state.extend(body);
        let there = |&&index: &&usize| {
            state.runs[index].task == task && state.runs[index].run == run
        };
        if state.running.iter().any(|index| there(&index)) {
            return state.accept();
        }
        if state.closed.get(&task).is_some_and(|&closed| run <= closed) {
            return state.refuse("old");
        }
        let (millis, how) = spec.split_once(' ').unwrap_or((spec, "done"));
        let how = if how == "failed" { "failed" } else { "done" };
        let time = Duration::from_millis(millis.parse().unwrap_or(100));
        let index = state.runs.len();
        let life = state.id.clone();
        self.record.line(&format!("executor {life} starts {task} run {run}"));
        state.runs.push(Run {
            task,
            run,
            life,
            started_ms: now,
            ended: None,
            number: 0,
            noted_ms: None,
            ends_at: Instant::now() + time,
            how,
        });
        state.running.push(index);
        state.accept()
    }

    fn stop_run(&self, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let now = self.record.now_ms();
        let mut state = self.state.lock().expect("lock");
        if !state.take_token(body) {
            return state.refuse("fence");
        }
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        let found = state.running.iter().copied();
        let found = found.filter(|&index| state.runs[index].task == task);
        let found: Vec<usize> =
            found.filter(|&index| state.runs[index].run <= run).collect();
        for index in found {
            state.end(index, "stopped", now);
        }
        self.record.line(&format!("executor {} stops {task} run {run}", state.id));
        self.changed.notify_all();
        state.accept()
    }

    fn hold(&self, body: &Value) -> Reply {
        let wait_ms = body["wait_ms"].as_u64().unwrap_or(0).min(2000);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let now = self.record.now_ms();
        let mut state = self.state.lock().expect("lock");
        if !state.take_token(body) {
            return state.refuse("fence");
        }
        state.extend(body);
        state.take_note(body["last_seen"].as_u64().unwrap_or(0), now);
        let life = state.id.clone();
        loop {
            if !state.up || state.id != life {
                return Reply::Close;
            }
            let now = Instant::now();
            if !state.ended.is_empty() || now >= end {
                return Reply::Answer(200, state.lists());
            }
            state = self.changed.wait_timeout(state, end - now).expect("lock").0;
        }
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64 + 1
    }

    /// Keeps the highest fencing token, and returns whether that of a call is not lower.
    fn take_token(&mut self, body: &Value) -> bool {
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        self.token = self.token.max(token);
        token == self.token
    }

    fn extend(&mut self, body: &Value) {
        let deadline_ms = body["deadline_ms"].as_u64().unwrap_or(0);
        let longest = self.clock_ms() + MAX_HOLD_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(longest));
    }

    fn end(&mut self, index: usize, how: &'static str, now: u64) {
        self.running.retain(|&running| running != index);
        self.last_number += 1;
        let run = &mut self.runs[index];
        run.ended = Some((now, how));
        run.number = self.last_number;
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        self.ended.push(index);
    }

    /// Forgets the ends up to a number.
    fn take_note(&mut self, last_seen: u64, now: u64) {
        let first = self.last_number + 1 - self.ended.len() as u64;
        let count = (last_seen + 1).saturating_sub(first).min(self.ended.len() as u64);
        for index in self.ended.drain(..count as usize) {
            let run = &mut self.runs[index];
            // A number of 0 says that the lease has run out since the end.
            run.noted_ms = (run.number > 0).then_some(now);
        }
    }

    fn lists(&self) -> Value {
        let running = self.running.iter().map(|&index| {
            let run = &self.runs[index];
            let age_ms = run.ends_at.saturating_duration_since(Instant::now());
            json!([run.task, run.run, "", 99 - age_ms.as_millis() as u64 / 100 % 99, 0])
        });
        let running: Vec<Value> = running.collect();
        let first = self.last_number + 1 - self.ended.len() as u64;
        let ended = self.ended.iter().zip(first..).take(ENDS_AT_A_TIME);
        let ended: Vec<Value> = ended
            .map(|(&index, number)| {
                let run = &self.runs[index];
                let how = run.ended.map_or("", |(_, how)| how);
                json!([number, run.task, run.run, how, ""])
            })
            .collect();
        let clock_ms = self.clock_ms();
        json!({
            "clock_ms": clock_ms, "born": self.born_ms, "running": running, "ended": ended,
        })
    }

    fn accept(&self) -> Reply {
        Reply::Answer(200, json!({ "clock_ms": self.clock_ms() }))
    }

    fn refuse(&self, reason: &str) -> Reply {
        let clock_ms = self.clock_ms();
        Reply::Answer(409, json!({ "clock_ms": clock_ms, "reason": reason }))
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
