//! The faults of a cell on the users' platform.

use serde_json::Value;

/// A fault to inject.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum FleetFault {
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
    /// A new configuration version is published by which all queues go to a service.
    MoveQueues(&'static str),
    /// A domain is evacuated, and taken back when the fault is cleared.
    Evacuate(&'static str),
}

impl FleetFault {
    /// Returns whether a fault equals an active one or affects a process that it affects.
    pub(super) fn conflicts(&self, active: &FleetFault) -> bool {
        let process = |fault: &FleetFault| match fault {
            FleetFault::Kill(index)
            | FleetFault::Freeze(index)
            | FleetFault::Slow(index)
            | FleetFault::Terminate(index)
            | FleetFault::Stop(index) => Some(Some(*index)),
            FleetFault::KillAll => Some(None),
            _ => None,
        };
        match (process(active), process(self)) {
            (Some(Some(one)), Some(Some(other))) => one == other,
            (Some(_), Some(_)) => true,
            _ => active == self,
        }
    }
}
