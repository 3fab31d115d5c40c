//! VMs of one kind by key and name, as the VM list names them.

use std::collections::HashMap;

use slotmap::Key;
use slotmap::SlotMap;

use crate::Name;

/// What is known of a VM.
pub(crate) trait VmState {
    /// The description of the VM in the VM list.
    type Spec: Clone;

    /// Returns the name in a description.
    fn name(spec: &Self::Spec) -> &Name;

    /// Creates the state of a VM that is listed for the first time.
    fn new(spec: Self::Spec) -> Self;

    /// Returns the description of the VM.
    fn spec(&self) -> &Self::Spec;

    /// Marks the VM as listed with a description, or as not listed any more.
    fn set_listed(&mut self, spec: Option<Self::Spec>);

    /// Returns whether the VM is listed or still has work.
    fn is_needed(&self) -> bool;
}

/// VMs of one kind by key and name.
#[derive(Debug)]
pub(crate) struct VmTable<K: Key, S> {
    pub(crate) states: SlotMap<K, S>,
    by_name: HashMap<Name, K>,
}

impl<K: Key, S> Default for VmTable<K, S> {
    fn default() -> Self {
        VmTable { states: SlotMap::with_key(), by_name: HashMap::new() }
    }
}

impl<K: Key, S: VmState> VmTable<K, S> {
    /// Replaces the VM list.
    ///
    /// VMs that are no longer listed are removed by the first replacement at which they have no work
    /// left.
    pub(crate) fn set_list(&mut self, specs: &[S::Spec]) {
        for state in self.states.values_mut() {
            state.set_listed(None);
        }
        for spec in specs {
            self.insert(spec.clone());
        }
        let by_name = &mut self.by_name;
        self.states.retain(|_, state| {
            let keep = state.is_needed();
            if !keep {
                by_name.remove(S::name(state.spec()));
            }
            keep
        });
    }

    /// Adds a VM or updates the description of a known one.
    fn insert(&mut self, spec: S::Spec) {
        if let Some(&key) = self.by_name.get(S::name(&spec)) {
            self.states[key].set_listed(Some(spec));
            return;
        }
        let name = S::name(&spec).clone();
        let key = self.states.insert(S::new(spec));
        self.by_name.insert(name, key);
    }

    /// Returns the key of the VM with the given name.
    pub(crate) fn find(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }
}
