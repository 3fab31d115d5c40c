//! An executor of the users' platform: it starts, stops and reports runs under a lease.
//!
//! A client says in `spec` how long a task works: a JSON object with `work_ms`, or with `lasting`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::http::Reply;
use crate::http::Request;
use crate::record::Record;
use crate::store::Store;

/// The interval of an executor's entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// The number of intervals of silence after which the entry is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// The maximum lease.
const MAX_HOLD_MS: u64 = 6000;
/// The maximum wait of a hold call.
const MAX_WAIT_MS: u64 = 2000;
/// The maximum number of ends in a response.
const MAX_ENDS: usize = 500;
/// The startup of a lasting task.
const STARTUP: Duration = Duration::from_millis(300);
/// The interval at which runs are looked at.
const TICK: Duration = Duration::from_millis(5);

/// What becomes of an order.
#[derive(Clone, Copy, PartialEq)]
pub enum Fate {
    /// It is executed and answered.
    Normal,
    /// It is executed at once, and its answer is lost.
    AnswerLost,
    /// It gets no answer, and is executed later.
    Late(Duration),
}

/// Decides the fate of an order by its call and its body.
pub type FateRule = Box<dyn FnMut(&str, &Value) -> Fate + Send>;

/// A run, as the executor has seen it.
#[derive(Clone)]
pub struct Run {
    pub executor: usize,
    pub task: String,
    pub run: u64,
    /// When it began, and whether its order was carried out late.
    pub began: Duration,
    pub late: bool,
    /// When and how it ended.
    pub ended: Option<(Duration, &'static str)>,
    /// When the end was first listed in a response.
    pub listed: Option<Duration>,
    /// When `last_seen` reached the end.
    pub noted: Option<Duration>,
    number: u64,
    life: u64,
    due: Option<Instant>,
    started: Instant,
}

#[derive(Default)]
struct Life {
    /// The number of this life, counted from 1; 0 while the executor is down.
    number: u64,
    born: u64,
    clock: Option<Instant>,
    fence: u64,
    lease_ms: u64,
    ends: u64,
    noted: u64,
    closed: HashMap<String, u64>,
}

struct State {
    life: Life,
    lives: u64,
    runs: Vec<Run>,
    state: &'static str,
    /// When the entry is written next, and when it is removed if the executor stays down.
    next_beat: Instant,
    remove_at: Option<Instant>,
    seq: u64,
}

/// An executor.
pub struct Executor {
    pub index: usize,
    pub id: String,
    address: String,
    zone: String,
    cpu: u64,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    fate: Mutex<Option<FateRule>>,
}

/// The result of an order: the reason of a refusal.
type OrderResult = Result<(), &'static str>;

impl Executor {
    /// Creates an executor that is up.
    pub fn new(
        index: usize,
        address: String,
        zone: String,
        cpu: u64,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> Arc<Executor> {
        let state = State {
            life: Life::default(),
            lives: 0,
            runs: Vec::new(),
            state: "ready",
            next_beat: Instant::now(),
            remove_at: None,
            seq: 0,
        };
        let executor = Arc::new(Executor {
            index,
            id: format!("i-{index:04}"),
            address,
            zone,
            cpu,
            store,
            record,
            state: Mutex::new(state),
            changed: Condvar::new(),
            fate: Mutex::new(None),
        });
        executor.begin_life();
        let ticking = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                ticking.tick();
                thread::sleep(TICK);
            }
        });
        executor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Replaces the rule for the fates of orders.
    pub fn set_fate(&self, rule: Option<FateRule>) {
        *self.fate.lock().unwrap_or_else(|error| error.into_inner()) = rule;
    }

    /// Returns all runs of all lives.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Begins a life that holds and knows nothing of before, and registers it.
    pub fn begin_life(&self) {
        let mut state = self.lock();
        state.lives += 1;
        state.state = "ready";
        state.remove_at = None;
        state.next_beat = Instant::now();
        let number = state.lives;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born = born.as_millis() as u64;
        let clock = Some(Instant::now());
        state.life = Life { number, born, clock, ..Life::default() };
    }

    /// Crashes: what runs is gone, and nothing responds until the next life.
    pub fn crash(&self) {
        let now = self.record.now();
        let mut state = self.lock();
        let life = state.life.number;
        for run in state.runs.iter_mut().filter(|run| run.life == life) {
            if run.ended.is_none() {
                run.ended = Some((now, "crashed"));
                self.record.note(&format!(
                    "{} run {} is lost with {}",
                    run.task, run.run, self.id
                ));
            }
        }
        state.life = Life::default();
        state.remove_at = Some(Instant::now() + HEARTBEAT * MISSED_HEARTBEATS);
        drop(state);
        self.record.note(&format!("{} crashes and is silent", self.id));
        self.changed.notify_all();
    }

    /// Ends the runs that are due, and writes or removes the entry.
    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.life.number == 0 {
            if state.remove_at.is_some_and(|at| at <= now) {
                state.remove_at = None;
                drop(state);
                self.store.delete(&format!("servers/{}", self.id));
            }
            return;
        }
        let lapsed = clock_ms(&state.life) > state.life.lease_ms;
        let life = state.life.number;
        let mut changed = false;
        for index in 0..state.runs.len() {
            let run = &state.runs[index];
            if run.life != life || run.ended.is_some() {
                continue;
            }
            let how = match run.due {
                _ if lapsed => "lapsed",
                Some(due) if due <= now => "done",
                _ => continue,
            };
            self.end_run(&mut state, index, how);
            changed = true;
        }
        let beat = state.next_beat <= now;
        let entry = if beat {
            state.next_beat = now + HEARTBEAT;
            state.seq += 1;
            Some(self.entry(&state))
        } else {
            None
        };
        drop(state);
        if let Some(entry) = entry {
            self.store.put(&format!("servers/{}", self.id), &entry);
        }
        if changed {
            self.changed.notify_all();
        }
    }

    fn entry(&self, state: &State) -> Value {
        json!({
            "service": "service", "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": state.state, "cold_remaining_ms": 0,
            "seq_no": state.seq, "born": state.life.born,
            "capacity": { "cpu": self.cpu, "mem_mb": 65536, "gpu": 0 },
            "labels": ["a", format!("r{}", self.index / 4)],
        })
    }

    fn end_run(&self, state: &mut State, index: usize, how: &'static str) {
        state.life.ends += 1;
        let number = state.life.ends;
        let run = &mut state.runs[index];
        run.ended = Some((self.record.now(), how));
        run.number = number;
        let (task, number) = (run.task.clone(), run.run);
        self.record.note(&format!("{task} run {number} ends {how} on {}", self.id));
        let closed = state.life.closed.entry(task).or_default();
        *closed = number.max(*closed);
    }

    /// Handles a call.
    pub fn handle(self: &Arc<Self>, request: Request) -> Reply {
        if self.lock().life.number == 0 {
            return Reply::Silence;
        }
        if request.header("Geraniumwinch-Expect-Instance").is_some_and(|id| id != self.id)
        {
            return Reply::Respond(421, json!({}));
        }
        let call = request.path.trim_start_matches("/-/").to_owned();
        let body = request.json();
        let fate =
            match self.fate.lock().unwrap_or_else(|error| error.into_inner()).as_mut() {
                Some(rule) => rule(&call, &body),
                None => Fate::Normal,
            };
        match fate {
            Fate::Normal => {
                let reply = self.execute(&call, &body, false);
                self.note_order(&call, &body, &reply);
                reply
            }
            Fate::AnswerLost => {
                self.record
                    .note(&format!("the answer to {call} {} is lost", body["task"]));
                self.execute(&call, &body, false);
                Reply::Silence
            }
            Fate::Late(delay) => {
                let (task, run) = task_of(&body);
                let seconds = delay.as_secs_f64();
                self.record.note(&format!(
                    "{call} {task} run {run} at {} -> no answer, carried out {seconds:.3} s later",
                    self.id
                ));
                let late = Arc::clone(self);
                thread::spawn(move || {
                    thread::sleep(delay);
                    if late.lock().life.number != 0 {
                        let reply = late.execute(&call, &body, true);
                        late.note_order(&format!("late {call}"), &body, &reply);
                    }
                });
                Reply::Silence
            }
        }
    }

    /// Records an order and its answer; calls to hold are too many.
    fn note_order(&self, call: &str, body: &Value, reply: &Reply) {
        if let Reply::Respond(status, answer) = reply
            && call != "hold"
        {
            let (task, run) = task_of(body);
            let reason = answer["reason"].as_str().unwrap_or_default();
            let id = &self.id;
            self.record
                .note(&format!("{call} {task} run {run} at {id} -> {status} {reason}"));
        }
    }

    fn execute(&self, call: &str, body: &Value, late: bool) -> Reply {
        match call {
            "run-start" => self.answer(|state| self.start(state, body, late)),
            "run-stop" => self.answer(|state| self.stop(state, body)),
            "hold" => self.hold(body),
            _ => Reply::Respond(404, json!({})),
        }
    }

    /// Executes an order and returns its response.
    fn answer(&self, order: impl FnOnce(&mut State) -> OrderResult) -> Reply {
        let mut state = self.lock();
        let result = order(&mut state);
        let (clock, born) = (clock_ms(&state.life), state.life.born);
        drop(state);
        self.changed.notify_all();
        match result {
            Ok(()) => Reply::Respond(200, json!({ "clock_ms": clock, "born": born })),
            Err(reason) => {
                let body = json!({ "clock_ms": clock, "born": born, "reason": reason });
                Reply::Respond(409, body)
            }
        }
    }

    fn start(&self, state: &mut State, body: &Value, late: bool) -> OrderResult {
        check_fence(&mut state.life, body)?;
        let (task, run) = task_of(body);
        if body["deadline_ms"].as_u64().unwrap_or(0) <= clock_ms(&state.life) {
            return Err("late");
        }
        extend_lease(&mut state.life, body);
        let life = state.life.number;
        let mut alive =
            state.runs.iter().filter(|run| run.life == life && run.ended.is_none());
        if alive.any(|known| known.task == task && known.run == run) {
            return Ok(());
        }
        if state.life.closed.get(&task).is_some_and(|&closed| run <= closed) {
            return Err("old");
        }
        let spec: Value = body["spec"]
            .as_str()
            .and_then(|text| serde_json::from_str(text).ok())
            .unwrap_or(Value::Null);
        let work = spec["work_ms"].as_u64().unwrap_or(100);
        let lasting = spec["lasting"].as_bool().unwrap_or(false);
        let now = Instant::now();
        let due = (!lasting).then(|| now + Duration::from_millis(work));
        let how = if late { ", carried out late" } else { "" };
        self.record.note(&format!("{task} run {run} starts on {}{how}", self.id));
        state.runs.push(Run {
            executor: self.index,
            task,
            run,
            began: self.record.now(),
            late,
            ended: None,
            listed: None,
            noted: None,
            number: 0,
            life,
            due,
            started: now,
        });
        Ok(())
    }

    fn stop(&self, state: &mut State, body: &Value) -> OrderResult {
        check_fence(&mut state.life, body)?;
        let (task, run) = task_of(body);
        let closed = state.life.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        let life = state.life.number;
        let found = state.runs.iter().position(|known| {
            known.life == life
                && known.ended.is_none()
                && known.task == task
                && known.run <= run
        });
        if let Some(index) = found {
            self.end_run(state, index, "stopped");
        }
        Ok(())
    }

    fn hold(&self, body: &Value) -> Reply {
        let mut state = self.lock();
        if let Err(reason) = check_fence(&mut state.life, body) {
            let (clock, born) = (clock_ms(&state.life), state.life.born);
            let body = json!({ "clock_ms": clock, "born": born, "reason": reason });
            return Reply::Respond(409, body);
        }
        extend_lease(&mut state.life, body);
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let (life, now) = (state.life.number, self.record.now());
        for run in state.runs.iter_mut().filter(|run| run.life == life) {
            if run.ended.is_some() && run.number <= seen {
                run.noted.get_or_insert(now);
            }
        }
        state.life.noted = state.life.noted.max(seen);
        let wait = body["wait_ms"].as_u64().unwrap_or(0).min(MAX_WAIT_MS);
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            if state.life.number != life {
                return Reply::Silence;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || state.life.ends > state.life.noted {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
        Reply::Respond(200, self.report(&mut state))
    }

    fn report(&self, state: &mut State) -> Value {
        let (life, noted, now) = (state.life.number, state.life.noted, self.record.now());
        let mut running = Vec::new();
        let mut ended = Vec::new();
        for run in state.runs.iter_mut().filter(|run| run.life == life) {
            match run.ended {
                None => running.push(json!([run.task, run.run, "", percent(run), 1])),
                Some((_, how)) if run.number > noted => {
                    run.listed.get_or_insert(now);
                    ended.push((
                        run.number,
                        json!([run.number, run.task, run.run, how, ""]),
                    ));
                }
                Some(_) => {}
            }
        }
        ended.sort_by_key(|(number, _)| *number);
        let ended: Vec<Value> =
            ended.into_iter().map(|(_, row)| row).take(MAX_ENDS).collect();
        json!({
            "clock_ms": clock_ms(&state.life), "born": state.life.born,
            "running": running, "ended": ended,
        })
    }
}

fn clock_ms(life: &Life) -> u64 {
    life.clock.map_or(0, |clock| clock.elapsed().as_millis() as u64 + 1)
}

fn check_fence(life: &mut Life, body: &Value) -> OrderResult {
    let fence = body["fencing_token"].as_u64().unwrap_or(0);
    if fence < life.fence {
        return Err("fence");
    }
    life.fence = fence;
    Ok(())
}

fn extend_lease(life: &mut Life, body: &Value) {
    if let Some(deadline) = body["deadline_ms"].as_u64() {
        let deadline = deadline.min(clock_ms(life) + MAX_HOLD_MS);
        life.lease_ms = life.lease_ms.max(deadline);
    }
}

fn task_of(body: &Value) -> (String, u64) {
    let task = body["task"].as_str().unwrap_or_default().to_owned();
    (task, body["run"].as_u64().unwrap_or(0))
}

/// Returns the progress of a run; 100 for a lasting task at work.
fn percent(run: &Run) -> u64 {
    let age = run.started.elapsed();
    match run.due {
        Some(due) => {
            let total = due.duration_since(run.started).as_secs_f64().max(0.001);
            ((age.as_secs_f64() / total * 100.0) as u64).min(99)
        }
        None if age >= STARTUP => 100,
        None => 0,
    }
}
