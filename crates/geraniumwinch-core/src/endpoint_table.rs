//! The endpoints of a failure domain and the occupancy of their slots.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;

use crate::GrantHolder;
use crate::Name;

slotmap::new_key_type! {
    /// The key of an endpoint in an [`EndpointTable`].
    pub struct EndpointKey;
}

/// The description of an endpoint in the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// The name of the VM.
    pub name: Name,
    /// The service that the endpoint runs.
    pub service: Name,
    /// The HTTP address of the endpoint as `IP:PORT`.
    pub address: Name,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// An endpoint and its busy slots.
#[derive(Debug, Clone)]
struct EndpointState {
    spec: EndpointSpec,
    busy: u32,
    busy_owner: u32,
    busy_remote: u32,
    listed: bool,
}

/// The endpoints of a failure domain.
#[derive(Debug, Default)]
pub struct EndpointTable {
    states: SlotMap<EndpointKey, EndpointState>,
    by_name: HashMap<Name, EndpointKey>,
    by_service: HashMap<Name, Vec<EndpointKey>>,
    /// Whether slots are reserved for grants that no process reports.
    reserve_active: bool,
}

impl EndpointTable {
    /// Replaces the VM list.
    ///
    /// Endpoints that are no longer listed get no new requests. They are removed by the first
    /// replacement at which all their slots are free.
    pub fn set_list(&mut self, specs: &[EndpointSpec]) {
        for state in self.states.values_mut() {
            state.listed = false;
        }
        for spec in specs {
            self.insert(spec.clone());
        }
        let by_name = &mut self.by_name;
        self.states.retain(|_, state| {
            let keep = state.listed || state.busy > 0;
            if !keep {
                by_name.remove(&state.spec.name);
            }
            keep
        });
        self.by_service.clear();
        for (key, state) in &self.states {
            self.by_service.entry(state.spec.service.clone()).or_default().push(key);
        }
    }

    /// Adds an endpoint or updates the description of a known one.
    fn insert(&mut self, spec: EndpointSpec) {
        if let Some(&key) = self.by_name.get(&spec.name) {
            let state = &mut self.states[key];
            state.spec = spec;
            state.listed = true;
            return;
        }
        let name = spec.name.clone();
        let key = self.states.insert(EndpointState {
            spec,
            busy: 0,
            busy_owner: 0,
            busy_remote: 0,
            listed: true,
        });
        self.by_name.insert(name, key);
    }

    /// Returns the key of the endpoint with the given name.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the description of an endpoint.
    pub fn spec(&self, key: EndpointKey) -> Option<&EndpointSpec> {
        self.states.get(key).map(|state| &state.spec)
    }

    /// Starts or ends reserving the slots that unreported grants may occupy.
    pub fn set_reserve_active(&mut self, active: bool) {
        self.reserve_active = active;
    }

    /// Selects the endpoint of a service with the most free slots, skipping excluded endpoints.
    ///
    /// If all usable endpoints are excluded, the exclusion is ignored.
    pub fn choose(
        &self,
        service: &str,
        excluded: &[Name],
        holder: GrantHolder,
    ) -> Option<EndpointKey> {
        let keys = self.by_service.get(service)?;
        let usable = |key: &&EndpointKey| {
            let state = &self.states[**key];
            state.listed && !state.spec.leaving
        };
        let all_excluded = keys
            .iter()
            .filter(usable)
            .all(|&key| excluded.contains(&self.states[key].spec.name));
        let excluded = if all_excluded { &[] } else { excluded };
        keys.iter()
            .copied()
            .filter(|&key| self.free_slots(key) > 0 && self.states[key].allows(holder))
            .filter(|&key| !excluded.contains(&self.states[key].spec.name))
            .max_by_key(|&key| self.free_slots(key))
    }

    /// Returns the number of an endpoint's slots that are available to new requests.
    fn free_slots(&self, key: EndpointKey) -> u32 {
        let state = &self.states[key];
        if state.spec.leaving || !state.listed {
            return 0;
        }
        let reserved = match self.reserve_active {
            true => GrantHolder::reserved_slots(state.spec.slots),
            false => 0,
        };
        state.spec.slots.saturating_sub(state.busy + reserved)
    }

    /// Returns the number of free slots and of all slots on the usable endpoints of a service.
    pub fn service_slots(&self, service: &str) -> (u32, u32) {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let usable = keys.iter().filter(|&&key| {
            let state = &self.states[key];
            state.listed && !state.spec.leaving
        });
        usable.fold((0, 0), |(free, all), &key| {
            (free + self.free_slots(key), all + self.states[key].spec.slots)
        })
    }

    /// Marks one slot of an endpoint as busy.
    pub fn occupy(&mut self, key: EndpointKey, holder: GrantHolder) {
        if let Some(state) = self.states.get_mut(key) {
            state.busy += 1;
            if let Some(count) = state.limited_count_mut(holder) {
                *count += 1;
            }
        }
    }

    /// Marks one busy slot of an endpoint as free.
    pub fn vacate(&mut self, key: EndpointKey, holder: GrantHolder) {
        if let Some(state) = self.states.get_mut(key) {
            state.busy = state.busy.saturating_sub(1);
            if let Some(count) = state.limited_count_mut(holder) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Returns all endpoints with their number of busy slots.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointSpec, u32)> {
        self.states.values().map(|state| (&state.spec, state.busy))
    }
}

impl EndpointState {
    /// Returns whether holders of a kind may get another slot.
    fn allows(&self, holder: GrantHolder) -> bool {
        let held = match holder {
            GrantHolder::Member => 0,
            GrantHolder::Owner => self.busy_owner,
            GrantHolder::Remote => self.busy_remote,
        };
        held < holder.max_slots(self.spec.slots)
    }

    /// Returns the number of slots of a kind of holder whose slots are limited.
    fn limited_count_mut(&mut self, holder: GrantHolder) -> Option<&mut u32> {
        match holder {
            GrantHolder::Member => None,
            GrantHolder::Owner => Some(&mut self.busy_owner),
            GrantHolder::Remote => Some(&mut self.busy_remote),
        }
    }
}
