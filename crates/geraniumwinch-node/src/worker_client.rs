//! The client that sends heartbeats and commands to the workers of a domain.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix::Addr;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
use geraniumwinch_core::SchedulerCommand;
use geraniumwinch_core::TaskId;
use geraniumwinch_core::TaskReport;
use geraniumwinch_core::WorkerSpec;
use rand::Rng;
use tokio::sync::mpsc;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::WorkerEvent;
use crate::node_metrics;
use crate::node_shared::NodeShared;
use crate::worker_port::TaskStart;
use crate::worker_port::WorkerHeartbeat;
use crate::worker_port::WorkerPort;

/// How long after it was sent a worker may act on a heartbeat.
const HEARTBEAT_EXPIRY: Duration = Duration::from_millis(1000);

/// A request of the dispatcher to the worker client.
#[derive(Debug)]
pub(crate) enum WorkerRequest {
    /// Replaces the list of workers.
    SetWorkers(Vec<WorkerSpec>),
    /// Sends a command of the scheduler.
    Command(SchedulerCommand),
    /// Allows workers to forget ended tasks.
    Acknowledge(Vec<(Name, TaskId)>),
    /// Requests the full inventory of a worker with its next heartbeat.
    RereadInventory(Name),
}

/// The channel through which the worker client receives its requests.
pub(crate) type WorkerSender = mpsc::UnboundedSender<WorkerRequest>;

/// The state of the communication with one worker.
#[derive(Debug)]
struct WorkerSession {
    address: Name,
    next_heartbeat: Instant,
    /// The number of the heartbeat in flight.
    in_flight: Option<u64>,
    /// Whether the worker responded to the last heartbeat.
    responded: bool,
    /// The version of the last inventory that was received.
    inventory_version: u64,
    /// Whether the next heartbeat requests the inventory in full: whatever its version, it may be another one
    /// than the last, as the worker may have restarted and counts its versions anew.
    reread: bool,
    /// Ended tasks to acknowledge with the next heartbeat.
    acknowledged: Vec<TaskId>,
}

/// Calls the workers of a domain on behalf of its dispatcher in one epoch.
pub(crate) struct WorkerClient {
    shared: Arc<NodeShared>,
    port: Rc<dyn WorkerPort>,
    dispatcher: Addr<Dispatcher>,
    epoch: u64,
    sessions: HashMap<Name, WorkerSession>,
    /// The number of heartbeats sent so far.
    heartbeats: u64,
    results: mpsc::UnboundedSender<HeartbeatResult>,
}

/// The result of a heartbeat; `inventory` is `None` if the call failed.
struct HeartbeatResult {
    worker: Name,
    number: u64,
    sent: Instant,
    acknowledged: usize,
    inventory: Option<(u64, Option<Vec<TaskReport>>)>,
}

impl WorkerClient {
    /// Handles requests and sends heartbeats until the dispatcher has stopped.
    pub(crate) async fn run(
        shared: Arc<NodeShared>,
        port: Rc<dyn WorkerPort>,
        dispatcher: Addr<Dispatcher>,
        epoch: u64,
        mut requests: mpsc::UnboundedReceiver<WorkerRequest>,
    ) {
        let (results, mut received) = mpsc::unbounded_channel();
        let mut client = WorkerClient {
            shared,
            port,
            dispatcher,
            epoch,
            sessions: HashMap::new(),
            heartbeats: 0,
            results,
        };
        let tick =
            (client.shared.settings.worker_heartbeat / 20).max(Duration::from_millis(5));
        let mut ticker = tokio::time::interval(tick);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => client.handle(request),
                    None => return,
                },
                Some(result) = received.recv() => client.handle_result(result),
                _ = ticker.tick() => client.send_due(),
            }
        }
    }

    /// Handles a request.
    fn handle(&mut self, request: WorkerRequest) {
        match request {
            WorkerRequest::SetWorkers(specs) => self.set_workers(&specs),
            WorkerRequest::Command(command) => self.command(command),
            WorkerRequest::Acknowledge(tasks) => {
                for (worker, task) in tasks {
                    if let Some(session) = self.sessions.get_mut(&worker) {
                        session.acknowledged.push(task);
                    }
                }
            }
            WorkerRequest::RereadInventory(worker) => {
                if let Some(session) = self.sessions.get_mut(&worker) {
                    session.reread = true;
                }
            }
        }
    }

    /// Replaces the list of workers, keeping the state of those that remain.
    fn set_workers(&mut self, specs: &[WorkerSpec]) {
        let now = self.shared.now();
        let listed: HashMap<&Name, &WorkerSpec> =
            specs.iter().map(|spec| (&spec.name, spec)).collect();
        self.sessions.retain(|name, _| listed.contains_key(name));
        for spec in specs {
            let session =
                self.sessions.entry(spec.name.clone()).or_insert_with(|| WorkerSession {
                    address: spec.address.clone(),
                    next_heartbeat: now,
                    in_flight: None,
                    responded: true,
                    inventory_version: 0,
                    reread: true,
                    acknowledged: Vec::new(),
                });
            session.address = spec.address.clone();
        }
    }

    /// Sends the heartbeats that are due, and schedules the next ones with a jitter of ±10 %.
    fn send_due(&mut self) {
        let now = self.shared.now();
        if !self.shared.fence.allows(self.epoch, now) {
            return;
        }
        let period = self.shared.settings.worker_heartbeat;
        let mut due = Vec::new();
        for (name, session) in &mut self.sessions {
            if session.in_flight.is_some() || session.next_heartbeat > now {
                continue;
            }
            self.heartbeats += 1;
            session.in_flight = Some(self.heartbeats);
            let reread = std::mem::take(&mut session.reread);
            let seen = if reread { 0 } else { session.inventory_version };
            session.next_heartbeat =
                now + period.mul_f64(0.9 + 0.2 * rand::rng().random::<f64>());
            due.push((name.clone(), self.heartbeats, seen));
        }
        for (name, number, seen) in due {
            self.send_heartbeat(name, number, seen, now);
        }
    }

    /// Sends a heartbeat, which renews leases only if the worker responded to the last one.
    fn send_heartbeat(&self, worker: Name, number: u64, seen: u64, now: Instant) {
        let session = &self.sessions[&worker];
        let renew = session.responded.then_some(self.shared.settings.task_lease);
        let heartbeat = WorkerHeartbeat {
            epoch: self.epoch,
            renew,
            expires: self.shared.clock.wall() + HEARTBEAT_EXPIRY,
            seen,
            acknowledged: session.acknowledged.clone(),
        };
        if renew.is_some() {
            let event = WorkerEvent::HeartbeatSent { worker: worker.clone(), sent: now };
            self.dispatcher.do_send(event);
        }
        let call = self.port.heartbeat(&session.address, &heartbeat);
        let results = self.results.clone();
        actix_rt::spawn(async move {
            let inventory =
                call.await.ok().map(|response| (response.version, response.tasks));
            let acknowledged = heartbeat.acknowledged.len();
            let _ = results.send(HeartbeatResult {
                worker,
                number,
                sent: now,
                acknowledged,
                inventory,
            });
        });
    }

    /// Handles the result of a heartbeat, unless its worker has left the list since; if the worker is
    /// back, the result says nothing about its present session.
    fn handle_result(&mut self, result: HeartbeatResult) {
        let HeartbeatResult { worker, number, sent, acknowledged, inventory } = result;
        let Some(session) = self.sessions.get_mut(&worker) else { return };
        if session.in_flight != Some(number) {
            return;
        }
        session.in_flight = None;
        session.responded = inventory.is_some();
        session.reread |= inventory.is_none();
        let event = match inventory {
            Some((version, tasks)) => {
                session.inventory_version = version;
                session.acknowledged.drain(..acknowledged);
                WorkerEvent::Heartbeat { worker, sent, tasks }
            }
            None => WorkerEvent::HeartbeatFailed { worker },
        };
        self.dispatcher.do_send(event);
    }

    /// Sends a command of the scheduler.
    fn command(&mut self, command: SchedulerCommand) {
        match command {
            SchedulerCommand::Start { worker, address, task, spec, expires } => {
                if let Some(session) = self.sessions.get_mut(&worker) {
                    session.reread = true;
                }
                self.start(&address, task, spec, expires);
            }
            SchedulerCommand::Stop { address, task, checkpoint, .. } => {
                self.stop(&address, task, checkpoint);
            }
            SchedulerCommand::RecordEnd { .. }
            | SchedulerCommand::RecordJobEnd { .. }
            | SchedulerCommand::Acknowledge { .. } => {}
        }
    }

    /// Sends a start command, unless it has expired or the fence no longer allows it.
    fn start(&self, address: &str, task: TaskId, spec: JobSpec, expires: Instant) {
        let dispatcher = self.dispatcher.clone();
        let now = self.shared.now();
        if now >= expires || !self.shared.fence.allows(self.epoch, now) {
            dispatcher.do_send(WorkerEvent::StartUnknown { task });
            return;
        }
        let start = TaskStart {
            task: task.clone(),
            spec,
            epoch: self.epoch,
            lease: self.shared.settings.task_lease,
            expires: self.shared.clock.wall() + (expires - now),
        };
        let call = self.port.start(address, &start);
        actix_rt::spawn(async move {
            let event = match call.await {
                Ok(true) => WorkerEvent::Started { task },
                Ok(false) => WorkerEvent::StartRefused { task },
                Err(_) => WorkerEvent::StartUnknown { task },
            };
            node_metrics::count_start(event.start_outcome());
            dispatcher.do_send(event);
        });
    }

    /// Sends a stop command, unless the fence no longer allows it.
    fn stop(&self, address: &str, task: TaskId, checkpoint: bool) {
        if !self.shared.fence.allows(self.epoch, self.shared.now()) {
            return;
        }
        node_metrics::count_stop();
        let sent = self.shared.now();
        let call = self.port.stop(address, &task, checkpoint, self.epoch);
        let dispatcher = self.dispatcher.clone();
        actix_rt::spawn(async move {
            if call.await.is_ok() {
                dispatcher.do_send(WorkerEvent::Stopped { task, sent });
            }
        });
    }
}
