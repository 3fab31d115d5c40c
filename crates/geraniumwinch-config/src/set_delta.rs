//! Difference between two revisions of the configuration.

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigurationSet;
use crate::ObjectName;
use crate::ObjectOptions;

/// Change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// Kind and name of the object.
    pub name: ObjectName,
    /// New options of the object, or `None` if it is removed.
    pub options: Option<ObjectOptions>,
}

/// Changes that turn one configuration set into another.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SetDelta {
    /// The changed objects.
    pub changes: Vec<ObjectChange>,
}

impl SetDelta {
    /// Computes the changes that turn `old` into `new`.
    pub fn between(old: &ConfigurationSet, new: &ConfigurationSet) -> SetDelta {
        let mut changes = Vec::new();
        for (name, _) in old.iter().filter(|(name, _)| new.get(name).is_none()) {
            changes.push(ObjectChange { name: name.clone(), options: None });
        }
        for (name, options) in
            new.iter().filter(|&(name, options)| old.get(name) != Some(options))
        {
            changes.push(ObjectChange {
                name: name.clone(),
                options: Some(options.clone()),
            });
        }
        SetDelta { changes }
    }

    /// Applies the changes to a set.
    pub fn apply(&self, set: &mut ConfigurationSet) {
        for change in &self.changes {
            match &change.options {
                Some(options) => set.insert(change.name.clone(), options.clone()),
                None => set.remove(&change.name),
            }
        }
    }
}
