//! Heartbeats and commands to the workers of a domain.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use actix::Addr;
use geraniumwinch_core::BoardCommand;
use geraniumwinch_core::JobSpec;
use geraniumwinch_core::Name;
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

/// The time after which a worker must not act on a heartbeat any more.
const HEARTBEAT_EXPIRY: Duration = Duration::from_millis(1000);

/// What the dispatcher asks of the client.
#[derive(Debug)]
pub(crate) enum WorkerRequest {
    /// The workers to keep in touch with.
    Workers(Vec<WorkerSpec>),
    /// A command of the board.
    Command(BoardCommand),
    /// A worker may forget ended tasks.
    Acknowledge(Vec<(Name, TaskId)>),
    /// The inventory of a worker has to be read in full.
    Reread(Name),
}

/// The end at which the dispatcher hands its requests in.
pub(crate) type WorkerSender = mpsc::UnboundedSender<WorkerRequest>;

/// What the client knows of a worker.
#[derive(Debug)]
struct WorkerContact {
    address: Name,
    next: Instant,
    busy: bool,
    answered: bool,
    seen: u64,
    acknowledged: Vec<TaskId>,
}

/// Calls the workers of a domain on behalf of one epoch of its dispatcher.
pub(crate) struct WorkerClient {
    shared: Arc<NodeShared>,
    port: Rc<dyn WorkerPort>,
    dispatcher: Addr<Dispatcher>,
    epoch: u64,
    contacts: HashMap<Name, WorkerContact>,
    results: mpsc::UnboundedSender<ContactResult>,
}

/// The end of a heartbeat.
struct ContactResult {
    worker: Name,
    sent: Instant,
    acknowledged: usize,
    inventory: Option<(u64, Option<Vec<TaskReport>>)>,
}

impl WorkerClient {
    /// Serves requests until the dispatcher is gone.
    pub(crate) async fn run(
        shared: Arc<NodeShared>,
        port: Rc<dyn WorkerPort>,
        dispatcher: Addr<Dispatcher>,
        epoch: u64,
        mut requests: mpsc::UnboundedReceiver<WorkerRequest>,
    ) {
        let (results, mut ended) = mpsc::unbounded_channel();
        let contacts = HashMap::new();
        let mut client =
            WorkerClient { shared, port, dispatcher, epoch, contacts, results };
        let tick =
            (client.shared.settings.worker_heartbeat / 20).max(Duration::from_millis(5));
        let mut ticker = tokio::time::interval(tick);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => client.serve(request),
                    None => return,
                },
                Some(result) = ended.recv() => client.finish(result),
                _ = ticker.tick() => client.send_due(),
            }
        }
    }

    /// Carries out a request.
    fn serve(&mut self, request: WorkerRequest) {
        match request {
            WorkerRequest::Workers(specs) => self.set_workers(&specs),
            WorkerRequest::Command(command) => self.command(command),
            WorkerRequest::Acknowledge(tasks) => {
                for (worker, task) in tasks {
                    if let Some(contact) = self.contacts.get_mut(&worker) {
                        contact.acknowledged.push(task);
                    }
                }
            }
            WorkerRequest::Reread(worker) => {
                if let Some(contact) = self.contacts.get_mut(&worker) {
                    contact.seen = 0;
                }
            }
        }
    }

    /// Takes over the list of workers.
    fn set_workers(&mut self, specs: &[WorkerSpec]) {
        let now = self.shared.now();
        let listed: HashMap<&Name, &WorkerSpec> =
            specs.iter().map(|spec| (&spec.name, spec)).collect();
        self.contacts.retain(|name, _| listed.contains_key(name));
        for spec in specs {
            let contact =
                self.contacts.entry(spec.name.clone()).or_insert_with(|| WorkerContact {
                    address: spec.address.clone(),
                    next: now,
                    busy: false,
                    answered: true,
                    seen: 0,
                    acknowledged: Vec::new(),
                });
            contact.address = spec.address.clone();
        }
    }

    /// Sends the heartbeats that are due.
    fn send_due(&mut self) {
        let now = self.shared.now();
        if !self.shared.fence.allows(self.epoch, now) {
            return;
        }
        let period = self.shared.settings.worker_heartbeat;
        let mut due = Vec::new();
        for (name, contact) in &mut self.contacts {
            if contact.busy || contact.next > now {
                continue;
            }
            contact.busy = true;
            contact.next = now + period.mul_f64(0.9 + 0.2 * rand::rng().random::<f64>());
            due.push(name.clone());
        }
        due.into_iter().for_each(|name| self.send_heartbeat(name, now));
    }

    /// Sends a heartbeat; it renews leases only if the last one was answered.
    fn send_heartbeat(&self, worker: Name, now: Instant) {
        let contact = &self.contacts[&worker];
        let renew = contact.answered.then_some(self.shared.settings.task_lease);
        let heartbeat = WorkerHeartbeat {
            epoch: self.epoch,
            renew,
            expires: self.shared.clock.wall() + HEARTBEAT_EXPIRY,
            seen: contact.seen,
            acknowledged: contact.acknowledged.clone(),
        };
        if renew.is_some() {
            let event = WorkerEvent::HeartbeatSent { worker: worker.clone(), sent: now };
            self.dispatcher.do_send(event);
        }
        let call = self.port.heartbeat(&contact.address, &heartbeat);
        let results = self.results.clone();
        actix_rt::spawn(async move {
            let inventory = call.await.ok().map(|answer| (answer.version, answer.tasks));
            let acknowledged = heartbeat.acknowledged.len();
            let _ = results.send(ContactResult {
                worker,
                sent: now,
                acknowledged,
                inventory,
            });
        });
    }

    /// Takes in the end of a heartbeat.
    fn finish(&mut self, result: ContactResult) {
        let ContactResult { worker, sent, acknowledged, inventory } = result;
        let Some(contact) = self.contacts.get_mut(&worker) else { return };
        contact.busy = false;
        contact.answered = inventory.is_some();
        let event = match inventory {
            Some((version, tasks)) => {
                contact.seen = version;
                contact.acknowledged.drain(..acknowledged);
                WorkerEvent::Heartbeat { worker, sent, tasks }
            }
            None => WorkerEvent::HeartbeatFailed { worker },
        };
        self.dispatcher.do_send(event);
    }

    /// Sends a command of the board.
    fn command(&self, command: BoardCommand) {
        match command {
            BoardCommand::Start { address, task, spec, expires_in, .. } => {
                self.start(&address, task, spec, expires_in);
            }
            BoardCommand::Stop { address, task, checkpoint, .. } => {
                self.stop(&address, task, checkpoint);
            }
            BoardCommand::RecordEnd { .. }
            | BoardCommand::RecordJobEnd { .. }
            | BoardCommand::Acknowledge { .. } => {}
        }
    }

    /// Sends a start command, unless the ownership has become uncertain.
    fn start(&self, address: &str, task: TaskId, spec: JobSpec, expires_in: Duration) {
        let dispatcher = self.dispatcher.clone();
        if !self.shared.fence.allows(self.epoch, self.shared.now()) {
            dispatcher.do_send(WorkerEvent::StartUnknown { task });
            return;
        }
        let start = TaskStart {
            task: task.clone(),
            spec,
            epoch: self.epoch,
            lease: self.shared.settings.task_lease,
            expires: self.shared.clock.wall() + expires_in,
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

    /// Sends a stop command, unless the ownership has become uncertain.
    fn stop(&self, address: &str, task: TaskId, checkpoint: bool) {
        if !self.shared.fence.allows(self.epoch, self.shared.now()) {
            return;
        }
        node_metrics::count_stop();
        let call = self.port.stop(address, &task, checkpoint, self.epoch);
        let dispatcher = self.dispatcher.clone();
        actix_rt::spawn(async move {
            if call.await.is_ok() {
                dispatcher.do_send(WorkerEvent::Stopped { task });
            }
        });
    }
}
