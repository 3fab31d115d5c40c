//! The endpoints of a failure domain and the occupancy of their slots.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::GrantHolder;
use crate::Name;
use crate::vm_table::VmState;
use crate::vm_table::VmTable;

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
    vms: VmTable<EndpointKey, EndpointState>,
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
        self.vms.set_list(specs);
        self.by_service.clear();
        for (key, state) in &self.vms.states {
            self.by_service.entry(state.spec.service.clone()).or_default().push(key);
        }
    }

    /// Returns the key of the endpoint with the given name.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        self.vms.find(name)
    }

    /// Returns the description of an endpoint.
    pub fn spec(&self, key: EndpointKey) -> Option<&EndpointSpec> {
        self.vms.states.get(key).map(|state| &state.spec)
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
            let state = &self.vms.states[**key];
            state.listed && !state.spec.leaving
        };
        let all_excluded = keys
            .iter()
            .filter(usable)
            .all(|&key| excluded.contains(&self.vms.states[key].spec.name));
        let excluded = if all_excluded { &[] } else { excluded };
        keys.iter()
            .copied()
            .filter(|&key| {
                self.free_slots(key) > 0 && self.vms.states[key].allows(holder)
            })
            .filter(|&key| !excluded.contains(&self.vms.states[key].spec.name))
            .max_by_key(|&key| self.free_slots(key))
    }

    /// Returns the number of an endpoint's slots that are available to new requests.
    fn free_slots(&self, key: EndpointKey) -> u32 {
        let state = &self.vms.states[key];
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
            let state = &self.vms.states[key];
            state.listed && !state.spec.leaving
        });
        usable.fold((0, 0), |(free, all), &key| {
            (free + self.free_slots(key), all + self.vms.states[key].spec.slots)
        })
    }

    /// Marks one slot of an endpoint as busy.
    pub fn occupy(&mut self, key: EndpointKey, holder: GrantHolder) {
        if let Some(state) = self.vms.states.get_mut(key) {
            state.busy += 1;
            if let Some(count) = state.limited_count_mut(holder) {
                *count += 1;
            }
        }
    }

    /// Marks one busy slot of an endpoint as free.
    pub fn vacate(&mut self, key: EndpointKey, holder: GrantHolder) {
        if let Some(state) = self.vms.states.get_mut(key) {
            state.busy = state.busy.saturating_sub(1);
            if let Some(count) = state.limited_count_mut(holder) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Returns all endpoints with their number of busy slots.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointSpec, u32)> {
        self.vms.states.values().map(|state| (&state.spec, state.busy))
    }
}

impl VmState for EndpointState {
    type Spec = EndpointSpec;

    fn name(spec: &EndpointSpec) -> &Name {
        &spec.name
    }

    fn new(spec: EndpointSpec) -> Self {
        EndpointState { spec, busy: 0, busy_owner: 0, busy_remote: 0, listed: true }
    }

    fn spec(&self) -> &EndpointSpec {
        &self.spec
    }

    fn set_listed(&mut self, spec: Option<EndpointSpec>) {
        self.listed = spec.is_some();
        if let Some(spec) = spec {
            self.spec = spec;
        }
    }

    fn is_needed(&self) -> bool {
        self.listed || self.busy > 0
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
