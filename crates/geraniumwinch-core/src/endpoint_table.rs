//! The endpoints of a failure domain and their slots.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use slotmap::SlotMap;

use crate::GrantHolder;
use crate::Name;

slotmap::new_key_type! {
    /// The key of an endpoint in its table.
    pub struct EndpointKey;
}

/// An endpoint as the VM list describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSpec {
    /// The VM's name.
    pub name: Name,
    /// The service that it runs.
    pub service: Name,
    /// Its HTTP address as `IP:PORT`.
    pub address: Name,
    /// The number of requests that it may run at the same time.
    pub slots: u32,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// An endpoint with its busy slots.
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
    set_aside: bool,
}

impl EndpointTable {
    /// Takes over a new VM list; endpoints that are no longer listed get no new work.
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

    /// Adds an endpoint or updates its description.
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

    /// Returns the key of the endpoint with a name.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the description of an endpoint.
    pub fn spec(&self, key: EndpointKey) -> Option<&EndpointSpec> {
        self.states.get(key).map(|state| &state.spec)
    }

    /// Sets the slots aside that holders which do not report may have, or gives them free.
    pub fn set_aside(&mut self, aside: bool) {
        self.set_aside = aside;
    }

    /// Chooses the endpoint of a service with the most free slots, outside the excluded ones.
    ///
    /// If every endpoint that takes work is excluded, the exclusion is ignored.
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
            .filter(|&key| self.free_slots(key) > 0 && self.states[key].may_hold(holder))
            .filter(|&key| !excluded.contains(&self.states[key].spec.name))
            .max_by_key(|&key| self.free_slots(key))
    }

    /// Returns the number of slots that new work may take on an endpoint.
    fn free_slots(&self, key: EndpointKey) -> u32 {
        let state = &self.states[key];
        if state.spec.leaving || !state.listed {
            return 0;
        }
        let aside = match self.set_aside {
            true => GrantHolder::reserved_slots(state.spec.slots),
            false => 0,
        };
        state.spec.slots.saturating_sub(state.busy + aside)
    }

    /// Returns the free and all slots of a service on endpoints that take new work.
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

    /// Marks one more slot of an endpoint as busy.
    pub fn occupy(&mut self, key: EndpointKey, holder: GrantHolder) {
        if let Some(state) = self.states.get_mut(key) {
            state.busy += 1;
            if let Some(count) = state.count_of(holder) {
                *count += 1;
            }
        }
    }

    /// Marks one slot of an endpoint as free again.
    pub fn vacate(&mut self, key: EndpointKey, holder: GrantHolder) {
        if let Some(state) = self.states.get_mut(key) {
            state.busy = state.busy.saturating_sub(1);
            if let Some(count) = state.count_of(holder) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Returns every endpoint with its busy slots.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointSpec, u32)> {
        self.states.values().map(|state| (&state.spec, state.busy))
    }
}

impl EndpointState {
    /// Returns whether holders of a kind may have one more slot.
    fn may_hold(&self, holder: GrantHolder) -> bool {
        let held = match holder {
            GrantHolder::Member => 0,
            GrantHolder::Owner => self.busy_owner,
            GrantHolder::Remote => self.busy_remote,
        };
        held < holder.max_slots(self.spec.slots)
    }

    /// Returns the count of the slots of a limited kind of holder.
    fn count_of(&mut self, holder: GrantHolder) -> Option<&mut u32> {
        match holder {
            GrantHolder::Member => None,
            GrantHolder::Owner => Some(&mut self.busy_owner),
            GrantHolder::Remote => Some(&mut self.busy_remote),
        }
    }
}
