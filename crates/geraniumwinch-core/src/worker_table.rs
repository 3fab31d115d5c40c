//! The workers of a failure domain and their booked resources.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::ResourceVector;
use crate::vm_table::VmState;
use crate::vm_table::VmTable;

slotmap::new_key_type! {
    /// The key of a worker in a [`WorkerTable`].
    pub struct WorkerKey;
}

/// The description of a worker in the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The name of the VM.
    pub name: Name,
    /// The rack of the VM.
    pub rack: Name,
    /// The control address of the worker as `IP:PORT`.
    pub address: Name,
    /// The resources of the worker.
    pub capacity: ResourceVector,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// The state of a worker.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// The description from the VM list.
    pub spec: WorkerSpec,
    /// The resources booked for tasks that may be running on the worker.
    pub booked: ResourceVector,
    /// Whether the worker responded to its last heartbeat.
    pub reachable: bool,
    /// Whether every task that its last inventory reported as running is booked on the worker.
    pub all_booked: bool,
    /// Whether it responded to a heartbeat that was sent after all starts of former owners had expired.
    pub settled: bool,
    /// When a message that grants or renews task leases was last sent to the worker.
    pub lease_sent: Option<Instant>,
    /// When the last heartbeat was sent that the worker has answered.
    pub answered: Option<Instant>,
    /// Whether the VM list contains the worker.
    pub listed: bool,
    /// The number of tasks booked on the worker.
    pub tasks: u32,
    /// The number of task starts, exponentially decayed.
    pub starts: f64,
    /// The number of tasks that failed early, exponentially decayed.
    pub failures: f64,
    /// When the quarantine of the worker ends, if it has been quarantined.
    pub quarantined_until: Option<Instant>,
}

/// The workers of a failure domain.
#[derive(Debug, Default)]
pub struct WorkerTable {
    vms: VmTable<WorkerKey, WorkerState>,
}

impl WorkerTable {
    /// Replaces the VM list.
    ///
    /// Workers that are no longer listed get no new tasks. They are removed by the first replacement at
    /// which they have no tasks left.
    pub fn set_list(&mut self, specs: &[WorkerSpec]) {
        self.vms.set_list(specs);
    }

    /// Returns the key of the worker with the given name.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.vms.find(name)
    }

    /// Returns the state of a worker.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerState> {
        self.vms.states.get(key)
    }

    /// Returns the state of a worker for modification.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut WorkerState> {
        self.vms.states.get_mut(key)
    }

    /// Returns all workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerState)> {
        self.vms.states.iter()
    }

    /// Books the resources of one task.
    pub fn book(&mut self, key: WorkerKey, size: &ResourceVector) {
        if let Some(state) = self.vms.states.get_mut(key) {
            state.booked.add(size);
            state.tasks += 1;
        }
    }

    /// Releases the resources of one task.
    pub fn release(&mut self, key: WorkerKey, size: &ResourceVector) {
        if let Some(state) = self.vms.states.get_mut(key) {
            state.booked.subtract(size);
            state.tasks = state.tasks.saturating_sub(1);
        }
    }

    /// Returns the total resources of the listed workers.
    pub fn total(&self) -> ResourceVector {
        let listed = self.vms.states.values().filter(|state| state.listed);
        listed.map(|state| &state.spec.capacity).sum()
    }

    /// Returns whether a task of this size fits on any listed worker that is empty.
    pub fn ever_fits(&self, size: &ResourceVector) -> bool {
        self.vms
            .states
            .values()
            .any(|state| state.listed && size.fits(&state.spec.capacity))
    }

    /// Selects the worker on which the fewest resources have to be freed until a task of this size fits.
    pub fn nearest_fit(
        &self,
        size: &ResourceVector,
        excluded: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let missing = |state: &WorkerState| {
            let free = state.spec.capacity.minus(&state.booked);
            size.minus(&free).dominant_share(&state.spec.capacity)
        };
        self.vms
            .states
            .iter()
            .filter(|(key, state)| state.takes_work(now) && !excluded.contains(key))
            .filter(|(_, state)| size.fits(&state.spec.capacity))
            .min_by(|(_, left), (_, right)| missing(left).total_cmp(&missing(right)))
            .map(|(key, _)| key)
    }

    /// Selects the worker on which a task of this size leaves the least free.
    ///
    /// The measure is the largest free fraction of any of the worker's resources. The tightest fit
    /// leaves large gaps on other workers intact for large tasks.
    pub fn best_fit(
        &self,
        size: &ResourceVector,
        excluded: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        self.vms
            .states
            .iter()
            .filter(|(key, state)| state.takes_work(now) && !excluded.contains(key))
            .filter_map(|(key, state)| {
                state.remainder_after(size).map(|left| (key, left))
            })
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(key, _)| key)
    }
}

impl VmState for WorkerState {
    type Spec = WorkerSpec;

    fn name(spec: &WorkerSpec) -> &Name {
        &spec.name
    }

    fn new(spec: WorkerSpec) -> Self {
        WorkerState {
            spec,
            booked: ResourceVector::default(),
            reachable: false,
            all_booked: false,
            settled: false,
            lease_sent: None,
            answered: None,
            listed: true,
            tasks: 0,
            starts: 0.0,
            failures: 0.0,
            quarantined_until: None,
        }
    }

    fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    fn set_listed(&mut self, spec: Option<WorkerSpec>) {
        self.listed = spec.is_some();
        if let Some(spec) = spec {
            self.spec = spec;
        }
    }

    fn is_needed(&self) -> bool {
        self.listed || self.tasks > 0
    }
}

impl WorkerState {
    /// Returns whether new tasks may be placed on the worker.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.may_start()
            && self.listed
            && !self.spec.leaving
            && self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Returns whether a task that is booked on the worker may be started there: the worker is in contact,
    /// and runs and will run nothing that is not booked.
    pub fn may_start(&self) -> bool {
        self.reachable && self.all_booked && self.settled
    }

    /// Returns the largest fraction of any resource that a task of this size leaves free, or `None` if
    /// the task does not fit.
    fn remainder_after(&self, size: &ResourceVector) -> Option<f64> {
        let free = self.spec.capacity.minus(&self.booked);
        if !size.fits(&free) {
            return None;
        }
        Some(free.minus(size).dominant_share(&self.spec.capacity))
    }
}
