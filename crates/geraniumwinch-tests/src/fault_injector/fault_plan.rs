//! Plans of faults, and what is drawn by them.

use std::ops::Range;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde_json::json;

use crate::fleet_cell::DEFAULT_SERVICE;
use crate::fleet_cell::OTHER_SERVICE;

use super::fleet_fault::FleetFault;

/// The modes in which the proxy disturbs connections.
const MODES: [&str; 6] =
    ["cut", "freeze", "freeze-requests", "freeze-answers", "drop-answers", "delay"];
/// The maximum delay of a command, in milliseconds.
const MAX_COMMAND_DELAY_MS: u64 = 12_000;
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
    /// The general faults, and as often queues that go to the workers of another service.
    Queues,
    /// Planned stops of processes, in series and at the same time, beside faults that delay responses:
    /// a slow store, slow processes and processes that are killed.
    Stops,
}

/// Draws faults for a cell of some size.
pub(super) struct FaultDraw<'a> {
    pub(super) rng: &'a mut SmallRng,
    pub(super) processes: usize,
    pub(super) workers: u16,
}

impl FaultDraw<'_> {
    /// Draws a fault by a plan.
    pub(super) fn draw(&mut self, plan: FaultPlan) -> FleetFault {
        match plan {
            FaultPlan::Commands if self.rng.random_bool(0.5) => self.draw_command_fault(),
            FaultPlan::Fleet if self.rng.random_bool(0.5) => self.draw_fleet_fault(),
            FaultPlan::Queues if self.rng.random_bool(0.5) => self.draw_move(),
            FaultPlan::Evacuations => self.draw_evacuation_fault(),
            FaultPlan::Stops => self.draw_stop_fault(),
            _ => self.draw_general_fault(),
        }
    }

    fn draw_move(&mut self) -> FleetFault {
        let services = [DEFAULT_SERVICE, OTHER_SERVICE];
        let service = services.choose(self.rng).copied();
        FleetFault::MoveQueues(service.unwrap_or(DEFAULT_SERVICE))
    }

    fn draw_evacuation_fault(&mut self) -> FleetFault {
        let rng = &mut *self.rng;
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
        let rng = &mut *self.rng;
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
        let rng = &mut *self.rng;
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
        let rng = &mut *self.rng;
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
        let rng = &mut *self.rng;
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
}
