//! Injects random faults, several at a time, into a cell on the users' platform.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::FleetCell;
use crate::ProcessEnd;
use crate::fleet_cell::STOP_GRACE;
use crate::unix_millis;

/// The modes in which the proxy disturbs connections.
const MODES: [&str; 6] =
    ["cut", "freeze", "freeze-requests", "freeze-answers", "drop-answers", "delay"];
/// The delay in mode `delay`, in milliseconds.
const DELAY_MS: u64 = 150;
/// The maximum delay of a command, in milliseconds.
const MAX_COMMAND_DELAY_MS: u64 = 12_000;
/// The maximum number of faults that are active at a time.
const MAX_ACTIVE: usize = 4;

/// The time for which connections are cut to reset them.
const RESET_TIME: Duration = Duration::from_millis(60);
/// The time that a slow process runs, and is suspended, by turns.
const SLOW_DUTY: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(80));
/// The delay of the packets that a lossy link loses, in milliseconds.
const RETRANSMISSION_MS: u64 = 250;

/// The duration of a fault in milliseconds.
const FAULT_MS: Range<u64> = 200..4500;
/// The duration of an evacuation in milliseconds, longer than it takes to come into effect.
const EVACUATION_MS: Range<u64> = 5500..9000;
/// The time for which a process is away after the grace period of its stop, in milliseconds.
const DOWN_MS: Range<u64> = 0..1500;
/// The delay of the store's responses while processes stop, in milliseconds.
const STORE_DELAY_MS: Range<u64> = 250..1500;
/// The failure domains of the workers.
const DOMAINS: [&str; 2] = ["d0", "d1"];

/// The ways in which a worker refuses commands.
const REFUSALS: [&str; 2] = ["unhealthy", "ticket"];

/// From which faults an injector draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPlan {
    /// The faults of processes, the store, links and workers.
    General,
    /// The same, and as often faults of commands to workers: start commands without a response,
    /// refused commands, and long delays across restarts.
    Commands,
    /// The general faults, and as often those of large fleets: slow processes, connections that are
    /// reset, links that lose packets, responses that are lost, workers that leave and join, and odd
    /// entries in the list of workers.
    Fleet,
    /// The general faults, beside jobs that crash the workers that start them.
    Crashes,
    /// Evacuations of failure domains, beside faults of processes and of the store that delay no
    /// commands to workers.
    Evacuations,
    /// Planned stops of processes, in series and at the same time, beside faults that delay responses:
    /// a slow store, slow processes and processes that are killed.
    Stops,
}

/// A fault to inject.
#[derive(Debug, Clone, PartialEq)]
enum FleetFault {
    /// A process is killed, and restarted when the fault is cleared.
    Kill(usize),
    /// All processes are killed, and restarted when the fault is cleared.
    KillAll,
    /// A process is suspended with SIGSTOP.
    Freeze(usize),
    /// A process runs for a fifth of the time.
    Slow(usize),
    /// All connections that pass the proxy are reset.
    ResetConnections,
    /// A worker is listed as leaving, and as ready when the fault is cleared.
    DrainWorker(u16),
    /// Entries that name no usable worker are listed, and removed when the fault is cleared.
    ListOddWorkers,
    /// A process is stopped gracefully, and killed and restarted when the fault is cleared.
    Terminate(usize),
    /// A process is stopped gracefully, killed after the grace period, and restarted when the fault is
    /// cleared.
    Stop(usize),
    /// The proxy disturbs the connections of a process to the store.
    DisturbStoreLink(usize, &'static str),
    /// The proxy drops the responses of a process to its clients, or loses their packets.
    DisturbClientLink(usize, &'static str),
    /// The proxy disturbs the connections of all processes to a worker.
    DisturbWorkerLink(u16, &'static str),
    /// A fault is injected into the stand-in: its name and value.
    StandIn(&'static str, Value),
    /// A worker restarts with a new incarnation.
    RestartWorker(u16),
    /// A worker restarts, and again when the fault is cleared.
    RestartWorkerTwice(u16),
    /// The store compacts its history.
    CompactStore,
    /// A new configuration version is published.
    PublishConfiguration,
    /// A domain is evacuated, and taken back when the fault is cleared.
    Evacuate(&'static str),
}

/// Draws faults from a random number generator, injects them and clears them.
pub struct FaultInjector {
    rng: SmallRng,
    plan: FaultPlan,
    processes: usize,
    workers: u16,
    active: Vec<(FleetFault, Instant)>,
    /// The last published configuration version.
    version: u64,
    /// The evacuations so far.
    evacuations: Vec<Evacuation>,
    /// The tasks that wait for the ends of stopping processes.
    stops: BTreeMap<usize, JoinHandle<ProcessEnd>>,
    /// The ends of processes in [`FaultPlan::Stops`] so far.
    ends: Vec<ProcessEnd>,
}

/// An evacuation that was requested from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The domain.
    pub domain: &'static str,
    /// The Unix time in milliseconds at which the store had the request.
    pub requested_ms: u64,
    /// The Unix time in milliseconds before the domain was taken back; `None` before that.
    pub returned_ms: Option<u64>,
}

impl FaultInjector {
    /// Creates an injector for a cell whose published configuration has version 1.
    pub fn new(rng: SmallRng, plan: FaultPlan, processes: usize, workers: u16) -> Self {
        FaultInjector {
            rng,
            plan,
            processes,
            workers,
            active: Vec::new(),
            version: 1,
            evacuations: Vec::new(),
            stops: BTreeMap::new(),
            ends: Vec::new(),
        }
    }

    /// Returns the last published configuration version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the evacuations so far.
    pub fn evacuations(&self) -> &[Evacuation] {
        &self.evacuations
    }

    /// Returns the ends so far of processes that were stopped with notice or killed.
    pub fn ends(&self) -> &[ProcessEnd] {
        &self.ends
    }

    /// Injects and clears faults for the given duration.
    pub async fn inject_for(&mut self, cell: &mut FleetCell, duration: Duration) {
        let started = Instant::now();
        while started.elapsed() < duration {
            if self.active.len() < MAX_ACTIVE {
                let fault = self.draw_fault();
                let fault_duration = self.draw_duration(&fault);
                self.inject(cell, fault, Instant::now() + fault_duration).await;
            }
            let pause = Duration::from_millis(self.rng.random_range(50..900));
            tokio::time::sleep(pause).await;
            self.clear_expired(cell, Instant::now()).await;
        }
    }

    /// Clears all active faults.
    pub async fn clear_all(&mut self, cell: &mut FleetCell) {
        let far_future = Instant::now() + Duration::from_secs(3600);
        self.clear_expired(cell, far_future).await;
    }

    fn draw_duration(&mut self, fault: &FleetFault) -> Duration {
        let (least, millis) = match fault {
            FleetFault::Evacuate(_) => (Duration::ZERO, EVACUATION_MS),
            FleetFault::Stop(_) => (STOP_GRACE, DOWN_MS),
            _ => (Duration::ZERO, FAULT_MS),
        };
        least + Duration::from_millis(self.rng.random_range(millis))
    }

    fn draw_fault(&mut self) -> FleetFault {
        match self.plan {
            FaultPlan::Commands if self.rng.random_bool(0.5) => self.draw_command_fault(),
            FaultPlan::Fleet if self.rng.random_bool(0.5) => self.draw_fleet_fault(),
            FaultPlan::Evacuations => self.draw_evacuation_fault(),
            FaultPlan::Stops => self.draw_stop_fault(),
            _ => self.draw_general_fault(),
        }
    }

    fn draw_evacuation_fault(&mut self) -> FleetFault {
        let rng = &mut self.rng;
        let process = rng.random_range(0..self.processes);
        let mode = MODES.choose(rng).copied().unwrap_or(MODES[0]);
        match rng.random_range(0..12) {
            0..=3 => FleetFault::Evacuate(DOMAINS.choose(rng).unwrap_or(&DOMAINS[0])),
            4..=5 => FleetFault::Kill(process),
            6 => FleetFault::Terminate(process),
            7..=8 => FleetFault::DisturbStoreLink(process, mode),
            9 => FleetFault::StandIn("store_busy", json!(true)),
            10 => FleetFault::StandIn("evacuations_hidden", json!(true)),
            _ => FleetFault::CompactStore,
        }
    }

    fn draw_stop_fault(&mut self) -> FleetFault {
        let rng = &mut self.rng;
        let process = rng.random_range(0..self.processes);
        let mode = MODES.choose(rng).copied().unwrap_or(MODES[0]);
        match rng.random_range(0..12) {
            0..=5 => FleetFault::Stop(process),
            6 => FleetFault::Kill(process),
            7 => FleetFault::Slow(process),
            8 => FleetFault::DisturbStoreLink(process, mode),
            9 => FleetFault::StandIn("store_lost", json!(true)),
            _ => {
                let delay_ms = rng.random_range(STORE_DELAY_MS);
                FleetFault::StandIn("store_delay_ms", json!(delay_ms))
            }
        }
    }

    fn draw_fleet_fault(&mut self) -> FleetFault {
        let rng = &mut self.rng;
        let process = rng.random_range(0..self.processes);
        let worker = rng.random_range(0..self.workers);
        match rng.random_range(0..9) {
            0..=1 => FleetFault::Slow(process),
            2 => FleetFault::ResetConnections,
            3 => FleetFault::DisturbStoreLink(process, "lossy"),
            4 => FleetFault::DisturbWorkerLink(worker, "lossy"),
            5 => FleetFault::DisturbClientLink(process, "drop-answers"),
            6 => FleetFault::DisturbClientLink(process, "lossy"),
            7 => FleetFault::DrainWorker(worker),
            _ => FleetFault::ListOddWorkers,
        }
    }

    fn draw_command_fault(&mut self) -> FleetFault {
        let rng = &mut self.rng;
        let worker = rng.random_range(0..self.workers);
        match rng.random_range(0..8) {
            0..=1 => FleetFault::StandIn("starts_unanswered", json!(true)),
            2..=3 => {
                let refusal = REFUSALS.choose(rng).copied().unwrap_or(REFUSALS[0]);
                FleetFault::StandIn("refusing_worker", json!([worker, refusal]))
            }
            4..=5 => {
                let late_ms = rng.random_range(700..MAX_COMMAND_DELAY_MS);
                FleetFault::StandIn("orders_late_ms", json!(late_ms))
            }
            6 => FleetFault::RestartWorker(worker),
            _ => FleetFault::RestartWorkerTwice(worker),
        }
    }

    fn draw_general_fault(&mut self) -> FleetFault {
        let rng = &mut self.rng;
        let process = rng.random_range(0..self.processes);
        let worker = rng.random_range(0..self.workers);
        let mode = MODES.choose(rng).copied().unwrap_or(MODES[0]);
        match rng.random_range(0..20) {
            0..=2 => FleetFault::Kill(process),
            3 => FleetFault::KillAll,
            4..=5 => FleetFault::Freeze(process),
            6..=7 => FleetFault::Terminate(process),
            8..=10 => FleetFault::DisturbStoreLink(process, mode),
            11..=12 => FleetFault::DisturbWorkerLink(worker, mode),
            13 => FleetFault::StandIn("store_busy", json!(true)),
            14 => FleetFault::StandIn("store_lost", json!(true)),
            15 => FleetFault::StandIn("store_delay_ms", json!(250)),
            16 => {
                FleetFault::StandIn("store_late_ms", json!(rng.random_range(300..3000)))
            }
            17 => {
                FleetFault::StandIn("orders_late_ms", json!(rng.random_range(700..5000)))
            }
            18 => FleetFault::RestartWorker(worker),
            _ if rng.random_bool(0.5) => FleetFault::CompactStore,
            _ => FleetFault::PublishConfiguration,
        }
    }

    /// Injects a fault unless it conflicts with an active one.
    async fn inject(&mut self, cell: &mut FleetCell, fault: FleetFault, end: Instant) {
        if self.active.iter().any(|(active, _)| conflict(active, &fault)) {
            return;
        }
        println!("fault {fault:?} until {:?}", end - Instant::now());
        match &fault {
            FleetFault::Kill(index) => {
                let (at, planned) = (Instant::now(), false);
                self.ends.push(ProcessEnd { index: *index, at, planned });
                cell.kill(*index);
            }
            FleetFault::Stop(index) => {
                self.stops.insert(*index, cell.stop(*index));
            }
            FleetFault::KillAll => (0..self.processes).for_each(|index| cell.kill(index)),
            FleetFault::Freeze(index) => cell.process(*index).freeze(),
            FleetFault::Slow(index) => cell.process(*index).slow_down(SLOW_DUTY),
            FleetFault::DrainWorker(index) => {
                cell.set_worker_state(*index, Some("draining")).await;
            }
            FleetFault::ListOddWorkers => cell.list_odd_workers(true).await,
            FleetFault::ResetConnections => {
                cell.set_rules(&[json!({ "mode": "cut" })]).await;
                tokio::time::sleep(RESET_TIME).await;
                return self.apply_to_stand_ins(cell).await;
            }
            FleetFault::Terminate(index) => cell.process(*index).terminate(),
            FleetFault::Evacuate(domain) => {
                cell.set_evacuation(domain, true).await;
                let requested_ms = unix_millis();
                let evacuation = Evacuation { domain, requested_ms, returned_ms: None };
                self.evacuations.push(evacuation);
            }
            FleetFault::RestartWorker(index) => return cell.restart_worker(*index).await,
            FleetFault::RestartWorkerTwice(index) => cell.restart_worker(*index).await,
            FleetFault::CompactStore => return cell.compact_store().await,
            FleetFault::PublishConfiguration => {
                self.version += 1;
                return cell.publish(self.version).await;
            }
            FleetFault::DisturbStoreLink(..)
            | FleetFault::DisturbClientLink(..)
            | FleetFault::DisturbWorkerLink(..)
            | FleetFault::StandIn(..) => {}
        }
        self.active.push((fault, end));
        self.apply_to_stand_ins(cell).await;
    }

    /// Clears the faults that have expired.
    async fn clear_expired(&mut self, cell: &mut FleetCell, now: Instant) {
        let (expired, remaining): (Vec<_>, Vec<_>) =
            self.active.drain(..).partition(|(_, end)| *end <= now);
        self.active = remaining;
        for (fault, _) in expired {
            match fault {
                FleetFault::Kill(index) => cell.start_process(index),
                FleetFault::KillAll => {
                    (0..self.processes).for_each(|index| cell.start_process(index));
                }
                FleetFault::Freeze(index) => cell.process(index).resume(),
                FleetFault::Slow(index) => cell.process(index).end_slow_down(),
                FleetFault::ListOddWorkers => cell.list_odd_workers(false).await,
                FleetFault::DrainWorker(index) => {
                    cell.set_worker_state(index, Some("ready")).await;
                }
                FleetFault::Terminate(index) => {
                    cell.kill(index);
                    cell.start_process(index);
                }
                FleetFault::Stop(index) => self.restart_stopped(cell, index).await,
                FleetFault::RestartWorkerTwice(index) => cell.restart_worker(index).await,
                FleetFault::Evacuate(domain) => self.take_back(cell, domain).await,
                _ => {}
            }
        }
        self.apply_to_stand_ins(cell).await;
    }

    /// Restarts a stopped process once it is gone.
    async fn restart_stopped(&mut self, cell: &mut FleetCell, index: usize) {
        let stop = self.stops.remove(&index).expect("the process was stopped");
        let end = stop.await.expect("the task that stops a process panicked");
        self.ends.push(end);
        cell.start_process(index);
    }

    /// Takes an evacuated domain back.
    async fn take_back(&mut self, cell: &FleetCell, domain: &'static str) {
        let returned_ms = Some(unix_millis());
        cell.set_evacuation(domain, false).await;
        let mut evacuations = self.evacuations.iter_mut().rev();
        if let Some(evacuation) = evacuations.find(|found| found.domain == domain) {
            evacuation.returned_ms = returned_ms;
        }
    }

    /// Applies the proxy rules and stand-in faults of all active faults.
    async fn apply_to_stand_ins(&self, cell: &FleetCell) {
        let mut rules = Vec::new();
        let mut faults = serde_json::Map::new();
        for (fault, _) in &self.active {
            match fault {
                FleetFault::DisturbStoreLink(index, mode) => {
                    rules.push(rule(cell.store_address(*index), mode));
                }
                FleetFault::DisturbClientLink(index, mode) => {
                    rules.push(rule(cell.client_address(*index), mode));
                }
                FleetFault::DisturbWorkerLink(index, mode) => {
                    rules.push(rule(cell.worker_address(*index), mode));
                }
                FleetFault::StandIn(name, value) => {
                    faults.insert((*name).to_owned(), value.clone());
                }
                _ => {}
            }
        }
        cell.set_rules(&rules).await;
        cell.set_faults(Value::Object(faults)).await;
    }
}

/// Creates a rule for the connections that the proxy accepts at an address.
fn rule(at: std::net::SocketAddr, mode: &str) -> Value {
    let delay_ms = if mode == "lossy" { RETRANSMISSION_MS } else { DELAY_MS };
    json!({ "at": at.to_string(), "mode": mode, "ms": delay_ms })
}

/// Returns whether a fault equals an active one or affects a process that it affects.
fn conflict(active: &FleetFault, fault: &FleetFault) -> bool {
    let process = |fault: &FleetFault| match fault {
        FleetFault::Kill(index)
        | FleetFault::Freeze(index)
        | FleetFault::Slow(index)
        | FleetFault::Terminate(index)
        | FleetFault::Stop(index) => Some(Some(*index)),
        FleetFault::KillAll => Some(None),
        _ => None,
    };
    match (process(active), process(fault)) {
        (Some(Some(one)), Some(Some(other))) => one == other,
        (Some(_), Some(_)) => true,
        _ => active == fault,
    }
}
