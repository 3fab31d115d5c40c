//! Faults of a cell on the users' platform, drawn from a seed, of which several last at a time.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use serde_json::json;

use crate::FleetCell;

/// What the proxy may do to connections.
const MODES: [&str; 6] =
    ["cut", "freeze", "freeze-requests", "freeze-answers", "drop-answers", "delay"];
/// How much the mode `delay` holds bytes back, in milliseconds.
const DELAY_MS: u64 = 150;
/// The most faults that last at a time.
const MAX_ACTIVE: usize = 4;

/// A fault.
#[derive(Debug, Clone, PartialEq)]
enum FleetFault {
    /// A process is killed and started again.
    Kill(usize),
    /// All processes are killed and started again.
    KillAll,
    /// A process stands still.
    Freeze(usize),
    /// A process is asked to stop and started again.
    Terminate(usize),
    /// The connections of a process to the store are disturbed.
    StoreLink(usize, &'static str),
    /// The connections of all processes to a worker are disturbed.
    WorkerLink(u16, &'static str),
    /// A switch of the stand-in, with its value.
    Switch(&'static str, Value),
    /// A worker begins a new lifetime.
    WorkerRestart(u16),
    /// The store drops its history.
    Compaction,
    /// A configuration is published.
    Configuration,
}

/// The faults of a seed.
pub struct FaultInjector {
    rng: SmallRng,
    processes: usize,
    workers: u16,
    active: Vec<(FleetFault, Instant)>,
    /// The number of the last configuration.
    version: u64,
}

impl FaultInjector {
    /// Creates a plan for a cell whose last configuration has number 1.
    pub fn new(rng: SmallRng, processes: usize, workers: u16) -> Self {
        FaultInjector { rng, processes, workers, active: Vec::new(), version: 1 }
    }

    /// Returns the number of the last configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Begins and ends faults for a while.
    pub async fn inject_for(&mut self, cell: &mut FleetCell, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            if self.active.len() < MAX_ACTIVE {
                let fault = self.draw_fault();
                let length = Duration::from_millis(self.rng.random_range(200..4500));
                self.inject(cell, fault, Instant::now() + length).await;
            }
            let pause = Duration::from_millis(self.rng.random_range(50..900));
            tokio::time::sleep(pause).await;
            self.clear_expired(cell, Instant::now()).await;
        }
    }

    /// Ends all faults.
    pub async fn clear_all(&mut self, cell: &mut FleetCell) {
        let far = Instant::now() + Duration::from_secs(3600);
        self.clear_expired(cell, far).await;
    }

    /// Draws a fault.
    fn draw_fault(&mut self) -> FleetFault {
        let rng = &mut self.rng;
        let process = rng.random_range(0..self.processes);
        let worker = rng.random_range(0..self.workers);
        let mode = MODES.choose(rng).copied().unwrap_or(MODES[0]);
        match rng.random_range(0..20) {
            0..=2 => FleetFault::Kill(process),
            3 => FleetFault::KillAll,
            4..=5 => FleetFault::Freeze(process),
            6..=7 => FleetFault::Terminate(process),
            8..=10 => FleetFault::StoreLink(process, mode),
            11..=12 => FleetFault::WorkerLink(worker, mode),
            13 => FleetFault::Switch("store_busy", json!(true)),
            14 => FleetFault::Switch("store_lost", json!(true)),
            15 => FleetFault::Switch("store_delay_ms", json!(250)),
            16 => FleetFault::Switch("store_late_ms", json!(rng.random_range(300..3000))),
            17 => {
                FleetFault::Switch("orders_late_ms", json!(rng.random_range(700..5000)))
            }
            18 => FleetFault::WorkerRestart(worker),
            _ if rng.random_bool(0.5) => FleetFault::Compaction,
            _ => FleetFault::Configuration,
        }
    }

    /// Begins a fault, unless one of the same processes lasts.
    async fn inject(&mut self, cell: &mut FleetCell, fault: FleetFault, end: Instant) {
        if self.active.iter().any(|(active, _)| conflict(active, &fault)) {
            return;
        }
        println!("fault {fault:?} until {:?}", end - Instant::now());
        match &fault {
            FleetFault::Kill(index) => cell.kill(*index),
            FleetFault::KillAll => (0..self.processes).for_each(|index| cell.kill(index)),
            FleetFault::Freeze(index) => cell.process(*index).freeze(),
            FleetFault::Terminate(index) => cell.process(*index).terminate(),
            FleetFault::WorkerRestart(index) => return cell.restart_worker(*index).await,
            FleetFault::Compaction => return cell.compact_store().await,
            FleetFault::Configuration => {
                self.version += 1;
                return cell.publish(self.version).await;
            }
            FleetFault::StoreLink(..)
            | FleetFault::WorkerLink(..)
            | FleetFault::Switch(..) => {}
        }
        self.active.push((fault, end));
        self.apply_switches(cell).await;
    }

    /// Ends the faults whose time has come.
    async fn clear_expired(&mut self, cell: &mut FleetCell, now: Instant) {
        let (due, left): (Vec<_>, Vec<_>) =
            self.active.drain(..).partition(|(_, end)| *end <= now);
        self.active = left;
        for (fault, _) in due {
            match fault {
                FleetFault::Kill(index) => cell.start_process(index),
                FleetFault::KillAll => {
                    (0..self.processes).for_each(|index| cell.start_process(index));
                }
                FleetFault::Freeze(index) => cell.process(index).resume(),
                FleetFault::Terminate(index) => {
                    cell.kill(index);
                    cell.start_process(index);
                }
                _ => {}
            }
        }
        self.apply_switches(cell).await;
    }

    /// Sets the proxy's rules and the stand-in's switches of all active faults.
    async fn apply_switches(&self, cell: &FleetCell) {
        let mut rules = Vec::new();
        let mut switches = serde_json::Map::new();
        for (fault, _) in &self.active {
            match fault {
                FleetFault::StoreLink(index, mode) => {
                    rules.push(rule(cell.store_address(*index), mode));
                }
                FleetFault::WorkerLink(index, mode) => {
                    rules.push(rule(cell.worker_address(*index), mode));
                }
                FleetFault::Switch(name, value) => {
                    switches.insert((*name).to_owned(), value.clone());
                }
                _ => {}
            }
        }
        cell.set_rules(&rules).await;
        cell.set_faults(Value::Object(switches)).await;
    }
}

/// Creates a rule for the connections that come to an address of the proxy.
fn rule(at: std::net::SocketAddr, mode: &str) -> Value {
    json!({ "at": at.to_string(), "mode": mode, "ms": DELAY_MS })
}

/// Returns whether a fault would strike a process that another one has in its grip.
fn conflict(active: &FleetFault, fault: &FleetFault) -> bool {
    let process = |fault: &FleetFault| match fault {
        FleetFault::Kill(index)
        | FleetFault::Freeze(index)
        | FleetFault::Terminate(index) => Some(Some(*index)),
        FleetFault::KillAll => Some(None),
        _ => None,
    };
    match (process(active), process(fault)) {
        (Some(Some(one)), Some(Some(other))) => one == other,
        (Some(_), Some(_)) => true,
        _ => active == fault,
    }
}
