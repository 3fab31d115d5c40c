//! A stand-in for the platform's workers, which start every run that they are sent, also beyond
//! their capacity.

mod job_run;
mod wire_command;
mod worker_routes;

pub use self::worker_routes::routes;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use actix_web::HttpResponse;
use serde_json::Value;
use serde_json::json;

use crate::stand_in::lock;
use crate::stand_in::unix_millis;

use super::SharedStore;

use self::job_run::JobRun;
use self::wire_command::WireCommand;

/// The maximum duration of a lease.
const MAX_LEASE_MS: u64 = 6000;
/// How long a ticket is valid.
pub const TICKET_VALIDITY_MS: u64 = 2000;
/// How long a worker responds to nothing after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(900);
/// A time that is longer than any test.
const FOREVER: Duration = Duration::from_secs(24 * 3600);
/// The number of ends that a report lists at most; the others follow once these are acknowledged.
const MAX_LISTED_ENDS: usize = 500;
/// The last word of the specification of a task whose queue requires no permission.
const UNRESTRICTED: &str = "unrestricted";

/// A worker of the platform.
#[derive(Debug)]
pub struct JobWorker {
    id: String,
    started_unix_ms: u64,
    clock_start: Instant,
    /// The rate of the worker's clock.
    clock_rate: f64,
    /// The highest fencing token that was received.
    fencing_token: u64,
    /// The expiry of the lease on the worker's clock.
    lease_expires_ms: u64,
    /// All runs, including those of earlier incarnations.
    runs: Vec<JobRun>,
    /// The numbers of the ends that are not acknowledged, with the indexes of the runs.
    unacknowledged: Vec<(u64, usize)>,
    last_end_number: u64,
    /// The highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
    /// The number of start commands that were received.
    start_commands: u64,
    /// The number of copies of each run's start command that were received.
    start_copies: HashMap<(String, u64), u64>,
    /// Whether the worker restarts after its next report.
    restart_requested: bool,
    /// The number of polls that this worker has received.
    polls: u64,
    /// The number of restarts.
    incarnation: u64,
    /// The ids of former incarnations whose entries the store still has to replace.
    former_ids: Vec<String>,
    /// Whether the store lists this incarnation.
    listed: bool,
    /// When the worker responds again after a crash, or after it has left.
    returns_at: Option<Instant>,
}

impl JobWorker {
    /// Creates an idle worker.
    pub(super) fn new(id: String, clock_rate: f64) -> Self {
        JobWorker {
            id,
            started_unix_ms: unix_millis(),
            clock_start: Instant::now(),
            clock_rate,
            fencing_token: 0,
            lease_expires_ms: 0,
            runs: Vec::new(),
            unacknowledged: Vec::new(),
            last_end_number: 0,
            closed: HashMap::new(),
            start_commands: 0,
            start_copies: HashMap::new(),
            restart_requested: false,
            polls: 0,
            incarnation: 0,
            former_ids: Vec::new(),
            listed: false,
            returns_at: None,
        }
    }

    /// Begins a new incarnation, which keeps no state but the history of runs for the tests.
    pub(super) fn restart(&mut self) {
        self.end_due_runs();
        for run in self.runs.iter_mut().filter(|run| run.ended.is_none()) {
            run.ended = Some(("crashed", unix_millis()));
        }
        for (_, index) in self.unacknowledged.drain(..) {
            self.runs[index].end_lost = true;
        }
        let runs = std::mem::take(&mut self.runs);
        let id = std::mem::take(&mut self.id);
        let incarnation = self.incarnation + 1;
        let former_ids = std::mem::take(&mut self.former_ids);
        let returns_at = self.returns_at;
        let start_copies = std::mem::take(&mut self.start_copies);
        let new = JobWorker::new(id, self.clock_rate);
        *self =
            JobWorker { runs, start_copies, incarnation, former_ids, returns_at, ..new };
    }

    /// Requests a restart after the next report.
    pub(super) fn request_restart(&mut self) {
        self.restart_requested = true;
    }

    /// Returns whether a requested restart has not happened yet.
    pub(super) fn is_restart_requested(&self) -> bool {
        self.restart_requested
    }

    /// Counts a copy of a start command and returns how many of its run have arrived.
    fn count_copy(&mut self, command: &WireCommand) -> u64 {
        let copies = self.start_copies.entry((command.task.clone(), command.run));
        let copies = copies.or_default();
        *copies += 1;
        *copies
    }

    /// Ends the worker for good: all that runs there ends, and it responds to nothing any more.
    pub(super) fn leave(&mut self) {
        self.restart();
        self.returns_at = Some(Instant::now() + FOREVER);
    }

    /// Restarts the worker under another id after some time without responses.
    fn crash(&mut self) {
        self.restart();
        let base = self.id.split('+').next().unwrap_or_default();
        let next = format!("{base}+{}", self.incarnation);
        self.former_ids.push(std::mem::replace(&mut self.id, next));
        self.returns_at = Some(Instant::now() + CRASH_DOWNTIME);
    }

    /// Crashes if a run is due to, and returns whether the worker responds to nothing now. The store
    /// lists its new incarnation, under its new id if it has one, once it responds again.
    fn is_down(&mut self, store: &SharedStore) -> bool {
        self.end_due_runs();
        if self.returns_at.is_some_and(|at| Instant::now() < at) {
            return true;
        }
        self.returns_at = None;
        let mut store = lock(store);
        for former in std::mem::take(&mut self.former_ids) {
            store.replace_worker(&former, &self.id);
        }
        if !std::mem::replace(&mut self.listed, true) {
            store.set_worker_start(&self.id, self.started_unix_ms);
        }
        false
    }

    /// Returns the time of the worker's clock, which begins at 1.
    fn clock_ms(&self) -> u64 {
        self.clock_start.elapsed().mul_f64(self.clock_rate).as_millis() as u64 + 1
    }

    /// Ends the runs whose run time or lease has expired.
    fn end_due_runs(&mut self) {
        let (clock, now) = (self.clock_ms(), Instant::now());
        for index in 0..self.runs.len() {
            let run = &self.runs[index];
            if run.ended.is_some() {
                continue;
            }
            if clock > self.lease_expires_ms {
                self.end_run(index, "lapsed");
            } else if run.ends_at <= now && run.outcome == "crashes" {
                self.runs[index].ended = Some(("crashed", unix_millis()));
                self.crash();
                return;
            } else if run.ends_at <= now {
                self.end_run(index, run.outcome);
            }
        }
    }

    /// Ends a run.
    fn end_run(&mut self, index: usize, outcome: &'static str) {
        self.last_end_number += 1;
        let run = &mut self.runs[index];
        run.ended = Some((outcome, unix_millis()));
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        self.unacknowledged.push((self.last_end_number, index));
    }

    /// Returns when the worker started, in milliseconds since the Unix epoch.
    pub(super) fn started_unix_ms(&self) -> u64 {
        self.started_unix_ms
    }

    /// Returns the number of polls that this incarnation has received.
    pub(super) fn polls(&self) -> u64 {
        self.polls
    }

    /// Returns the worker's id.
    pub(super) fn id(&self) -> &str {
        &self.id
    }

    /// Creates a ticket for the tasks of a step.
    pub(super) fn create_ticket(&self, step: &str) -> String {
        let expiry_ms = unix_millis() + TICKET_VALIDITY_MS;
        format!("{}/{}/{step}/{expiry_ms}", self.id, self.incarnation)
    }

    /// Checks that a start command is permitted: it needs a ticket for its step and this incarnation
    /// that has not expired, unless the queue requires no permission.
    fn check_ticket(&self, command: &WireCommand) -> Result<(), &'static str> {
        let Some(ticket) = &command.ticket else {
            let unrestricted = command.spec.ends_with(UNRESTRICTED);
            return if unrestricted { Ok(()) } else { Err("ticket") };
        };
        let step = command.task.rsplit_once('.').map_or("", |(step, _)| step);
        let prefix = format!("{}/{}/{step}/", self.id, self.incarnation);
        let expiry = ticket.strip_prefix(&prefix).and_then(|text| text.parse().ok());
        if expiry.is_some_and(|expiry_ms| unix_millis() < expiry_ms) {
            Ok(())
        } else {
            Err("ticket")
        }
    }

    /// Checks the fencing token of a command and extends the lease.
    fn accept_command(&mut self, command: &WireCommand) -> Result<(), &'static str> {
        self.check_token(command)?;
        self.extend_lease(command);
        Ok(())
    }

    /// Checks and keeps the fencing token of a command.
    fn check_token(&mut self, command: &WireCommand) -> Result<(), &'static str> {
        self.end_due_runs();
        if command.fencing_token < self.fencing_token {
            return Err("fence");
        }
        self.fencing_token = command.fencing_token;
        Ok(())
    }

    /// Extends the lease to the end that a command states.
    fn extend_lease(&mut self, command: &WireCommand) {
        let latest_expiry_ms = self.clock_ms() + MAX_LEASE_MS;
        self.lease_expires_ms =
            self.lease_expires_ms.max(command.deadline_ms.min(latest_expiry_ms));
    }

    /// Starts a run, unless it already runs, is too late or is not permitted.
    fn start(
        &mut self,
        command: WireCommand,
        received_ms: u64,
    ) -> Result<(), &'static str> {
        if command.deadline_ms <= self.clock_ms() {
            return Err("late");
        }
        self.check_token(&command)?;
        let running = |run: &JobRun| {
            run.task == command.task && run.run == command.run && run.ended.is_none()
        };
        if self.runs.iter().any(running) {
            self.extend_lease(&command);
            return Ok(());
        }
        if self.closed.get(&command.task).is_some_and(|&closed| command.run <= closed) {
            self.extend_lease(&command);
            return Err("old");
        }
        self.check_ticket(&command)?;
        self.extend_lease(&command);
        let (millis, outcome) =
            command.spec.split_once(' ').unwrap_or((&command.spec, "done"));
        let outcome = match outcome.split(' ').next() {
            Some("failed") => "failed",
            Some("crashes") if command.task.ends_with(".0") => "crashes",
            _ => "done",
        };
        let run_time = Duration::from_millis(millis.parse().unwrap_or(100));
        self.runs.push(JobRun {
            task: command.task,
            run: command.run,
            incarnation: self.incarnation,
            received_ms,
            started_ms: unix_millis(),
            ends_at: Instant::now() + run_time,
            outcome,
            ended: None,
            end_lost: false,
        });
        Ok(())
    }

    /// Stops a run, and refuses its start if that arrives later.
    fn stop(&mut self, command: &WireCommand) -> Result<(), &'static str> {
        self.accept_command(command)?;
        let closed = self.closed.entry(command.task.clone()).or_default();
        *closed = command.run.max(*closed);
        let running = |run: &JobRun| {
            run.task == command.task && run.run <= command.run && run.ended.is_none()
        };
        if let Some(index) = self.runs.iter().position(running) {
            self.end_run(index, "stopped");
        }
        Ok(())
    }

    /// Returns the lists of running and ended runs, and restarts if that was requested.
    fn take_report(&mut self) -> Value {
        let report = self.report();
        if self.restart_requested {
            self.restart();
        }
        report
    }

    /// Returns the lists of running and ended runs.
    fn report(&self) -> Value {
        let running = self.runs.iter().filter(|run| run.ended.is_none());
        let running: Vec<Value> =
            running.map(|run| json!([run.task, run.run, "", 50, 0])).collect();
        let listed = self.unacknowledged.iter().take(MAX_LISTED_ENDS);
        let ended = listed.map(|&(number, index)| {
            let run = &self.runs[index];
            let outcome = run.ended.map_or("", |(outcome, _)| outcome);
            json!([number, run.task, run.run, outcome, ""])
        });
        json!({
            "clock_ms": self.clock_ms(), "born": self.started_unix_ms,
            "running": running, "ended": ended.collect::<Vec<Value>>(),
        })
    }

    /// Returns all runs that were ever started, with their outcomes.
    pub(super) fn run_history(&mut self, worker: usize) -> Vec<Value> {
        self.end_due_runs();
        let run_json = |run: &JobRun| {
            let (outcome, ended_ms) = run.ended.unwrap_or(("running", u64::MAX));
            json!({
                "worker": worker, "task": run.task, "run": run.run, "started_ms": run.started_ms,
                "ended_ms": ended_ms, "how": outcome, "forgotten": run.end_lost,
                "incarnation": run.incarnation, "received_ms": run.received_ms,
            })
        };
        self.runs.iter().map(run_json).collect()
    }

    /// Returns the response to a command.
    fn command_response(&self, result: Result<(), &'static str>) -> HttpResponse {
        let clock_ms = self.clock_ms();
        match result {
            Ok(()) => HttpResponse::Ok().json(json!({ "clock_ms": clock_ms })),
            Err(reason) => HttpResponse::Conflict()
                .json(json!({ "clock_ms": clock_ms, "reason": reason })),
        }
    }
}
