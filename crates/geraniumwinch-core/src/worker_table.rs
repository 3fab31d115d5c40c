//! The workers of a failure domain and their booked room.

use std::collections::HashMap;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;

use crate::Name;
use crate::ResourceVector;

slotmap::new_key_type! {
    /// The key of a worker in its table.
    pub struct WorkerKey;
}

/// A worker as the VM list describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The VM's name.
    pub name: Name,
    /// The rack that holds it.
    pub rack: Name,
    /// Its control address as `IP:PORT`.
    pub address: Name,
    /// Its resources.
    pub capacity: ResourceVector,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// A worker with its bookings.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// The description.
    pub spec: WorkerSpec,
    /// The resources booked by tasks that may be running on it.
    pub booked: ResourceVector,
    /// Whether its inventory is known and its last heartbeat was answered.
    pub reached: bool,
    /// When a command that gives or renews a task's lease was last sent.
    pub leased: Option<Instant>,
    /// Whether the VM list names it.
    pub listed: bool,
    /// The number of tasks booked on it.
    pub tasks: u32,
    /// The decayed number of starts.
    pub starts: f64,
    /// The decayed number of starts that failed at once.
    pub failures: f64,
    /// Until when it gets no new work after failures.
    pub quarantined_until: Option<Instant>,
}

/// The workers of a failure domain.
#[derive(Debug, Default)]
pub struct WorkerTable {
    states: SlotMap<WorkerKey, WorkerState>,
    by_name: HashMap<Name, WorkerKey>,
}

impl WorkerTable {
    /// Takes over a new VM list; workers that are no longer listed get no new work.
    pub fn set_list(&mut self, specs: &[WorkerSpec]) {
        for state in self.states.values_mut() {
            state.listed = false;
        }
        for spec in specs {
            self.insert(spec.clone());
        }
        let by_name = &mut self.by_name;
        self.states.retain(|_, state| {
            let keep = state.listed || state.tasks > 0;
            if !keep {
                by_name.remove(&state.spec.name);
            }
            keep
        });
    }

    /// Adds a worker or updates its description.
    fn insert(&mut self, spec: WorkerSpec) {
        if let Some(&key) = self.by_name.get(&spec.name) {
            let state = &mut self.states[key];
            state.spec = spec;
            state.listed = true;
            return;
        }
        let name = spec.name.clone();
        let key = self.states.insert(WorkerState {
            spec,
            booked: ResourceVector::default(),
            reached: false,
            leased: None,
            listed: true,
            tasks: 0,
            starts: 0.0,
            failures: 0.0,
            quarantined_until: None,
        });
        self.by_name.insert(name, key);
    }

    /// Returns the key of the worker with a name.
    pub fn find(&self, name: &str) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns a worker.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerState> {
        self.states.get(key)
    }

    /// Returns a worker for changes.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut WorkerState> {
        self.states.get_mut(key)
    }

    /// Returns every worker.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerState)> {
        self.states.iter()
    }

    /// Books room for one task.
    pub fn book(&mut self, key: WorkerKey, size: &ResourceVector) {
        if let Some(state) = self.states.get_mut(key) {
            state.booked.add(size);
            state.tasks += 1;
        }
    }

    /// Releases the room of one task.
    pub fn release(&mut self, key: WorkerKey, size: &ResourceVector) {
        if let Some(state) = self.states.get_mut(key) {
            state.booked.subtract(size);
            state.tasks = state.tasks.saturating_sub(1);
        }
    }

    /// Returns the sum of the listed workers' resources.
    pub fn total(&self) -> ResourceVector {
        let mut total = ResourceVector::default();
        for state in self.states.values().filter(|state| state.listed) {
            total.add(&state.spec.capacity);
        }
        total
    }

    /// Returns whether an empty worker could hold a task of this size.
    pub fn ever_fits(&self, size: &ResourceVector) -> bool {
        self.states.values().any(|state| state.listed && size.fits(&state.spec.capacity))
    }

    /// Chooses the worker on which the least has to end before a task of this size fits.
    pub fn nearest_fit(
        &self,
        size: &ResourceVector,
        held: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let missing = |state: &WorkerState| {
            let room = state.spec.capacity.minus(&state.booked);
            size.minus(&room).dominant_share(&state.spec.capacity)
        };
        self.states
            .iter()
            .filter(|(key, state)| state.takes_work(now) && !held.contains(key))
            .filter(|(_, state)| size.fits(&state.spec.capacity))
            .min_by(|(_, left), (_, right)| missing(left).total_cmp(&missing(right)))
            .map(|(key, _)| key)
    }

    /// Chooses the worker that a task of this size fills best.
    ///
    /// The tightest fit by the larger of the processor and memory room that stays free keeps large
    /// gaps whole for large tasks.
    pub fn best_fit(
        &self,
        size: &ResourceVector,
        held: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        self.states
            .iter()
            .filter(|(key, state)| state.takes_work(now) && !held.contains(key))
            .filter_map(|(key, state)| state.room_left(size).map(|left| (key, left)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(key, _)| key)
    }
}

impl WorkerState {
    /// Returns whether new tasks may be placed on the worker.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.reached
            && self.listed
            && !self.spec.leaving
            && self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Returns the fraction of the worker left free by a task, or `None` if it does not fit.
    fn room_left(&self, size: &ResourceVector) -> Option<f64> {
        let room = self.spec.capacity.minus(&self.booked);
        if !size.fits(&room) {
            return None;
        }
        Some(room.minus(size).dominant_share(&self.spec.capacity))
    }
}
