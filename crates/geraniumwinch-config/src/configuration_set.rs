//! The operators' configuration, a set of named objects.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::IniText;
use crate::ObjectKind;
use crate::Result;
use crate::set_check;

/// Kind and name of an object, which together form the name of its section.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectName {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.schema().keyword, self.name)
    }
}

/// Options of an object, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ObjectOptions(BTreeMap<String, String>);

impl ObjectOptions {
    /// Returns the value of an option, or `None` if it is not set.
    pub fn get(&self, option: &str) -> Option<&str> {
        self.0.get(option).map(String::as_str)
    }

    /// Sets an option.
    pub fn set(&mut self, option: &str, value: &str) {
        self.0.insert(option.to_owned(), value.to_owned());
    }
}

/// A valid configuration set.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigurationSet {
    objects: BTreeMap<ObjectName, ObjectOptions>,
}

impl ConfigurationSet {
    /// Parses and validates a set; `file` names the text in problems.
    pub fn parse(file: &str, text: &str) -> Result<ConfigurationSet> {
        let ini = IniText::parse(file, text)?;
        set_check::check_set(&ini)
    }

    /// Returns the options of an object.
    pub fn get(&self, name: &ObjectName) -> Option<&ObjectOptions> {
        self.objects.get(name)
    }

    /// Adds or replaces an object.
    pub fn insert(&mut self, name: ObjectName, options: ObjectOptions) {
        self.objects.insert(name, options);
    }

    /// Removes an object.
    pub fn remove(&mut self, name: &ObjectName) {
        self.objects.remove(name);
    }

    /// Iterates over the objects, ordered by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectName, &ObjectOptions)> {
        self.objects.iter()
    }

    /// Iterates over the objects of one kind, ordered by name.
    pub fn of_kind(
        &self,
        kind: ObjectKind,
    ) -> impl Iterator<Item = (&str, &ObjectOptions)> {
        let objects = self.objects.iter().filter(move |(name, _)| name.kind == kind);
        objects.map(|(name, options)| (name.name.as_str(), options))
    }

    /// Formats the set as INI, ordered by kind and name.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        for (name, options) in &self.objects {
            text.push_str(&format!("[{name}]\n"));
            for (option, value) in &options.0 {
                text.push_str(&format!("{option} = {value}\n"));
            }
            text.push('\n');
        }
        text
    }

    /// Returns the SHA-256 digest of the INI text of the set, in hexadecimal digits.
    pub fn digest(&self) -> String {
        hex::encode(Sha256::digest(self.to_ini().as_bytes()))
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Returns whether the set contains no objects.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }
}
