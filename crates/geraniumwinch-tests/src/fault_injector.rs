//! Injects random faults, several at a time, into a cell on the users' platform.

mod fault_plan;
mod fleet_fault;

pub use self::fault_plan::FaultPlan;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::FleetCell;
use crate::ProcessEnd;
use crate::fleet_cell::STOP_GRACE;
use crate::unix_millis;

use self::fault_plan::FaultDraw;
use self::fleet_fault::FleetFault;

/// The delay in mode `delay`, in milliseconds.
const DELAY_MS: u64 = 150;
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
                let (processes, workers) = (self.processes, self.workers);
                let mut draw = FaultDraw { rng: &mut self.rng, processes, workers };
                let fault = draw.draw(self.plan);
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

    /// Injects a fault unless it conflicts with an active one.
    async fn inject(&mut self, cell: &mut FleetCell, fault: FleetFault, end: Instant) {
        if self.active.iter().any(|(active, _)| fault.conflicts(active)) {
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
            FleetFault::MoveQueues(service) => {
                self.version += 1;
                return cell.publish_queues(self.version, service, false).await;
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
