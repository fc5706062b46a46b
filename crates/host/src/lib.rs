//! What every host of a pilot shares, the simulator's, the daemon and the platform's alike: names to the
//! small indices that decisions are made on and back, the names of settings, and the tables published.

mod published;
mod setting_values;
mod settings;

pub use published::{Admission, PublishedTable, PublishedTables};
pub use setting_values::{SettingValue, SettingValues};
pub use settings::{parse_settings, setting_values};

use std::collections::BTreeMap;

use lockcroft::{ClassId, MachineTypeId, Settings, ZoneId};

/// NameInterner in the order in which they were first met; an index, once given, stays.
#[derive(Clone, Debug, Default)]
pub struct NameInterner {
    names: Vec<String>,
    indices: BTreeMap<String, usize>,
}

impl NameInterner {
    /// The index of a name, a new one if it was not met before.
    pub fn index(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        self.names.push(name.to_string());
        self.indices.insert(name.to_string(), self.names.len() - 1);
        self.names.len() - 1
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The name behind an index that was given out here.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The zones, kinds and classes that the terms state, each an index in the order stated.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
    pub classes: Vec<String>,
}

impl NameIndex {
    /// The names that the settings state.
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map_while(|class| class.name.clone()).collect();
        NameIndex { zones: settings.zones.clone(), machine_types: settings.machine_types.clone(), classes }
    }

    /// # Errors
    /// NameInterner the word that the terms do not state; so do the two below.
    pub fn zone(&self, name: &str) -> Result<ZoneId, String> {
        position(&self.zones, "zone", name)
    }

    pub fn machine_type(&self, name: &str) -> Result<MachineTypeId, String> {
        position(&self.machine_types, "kind", name)
    }

    pub fn class(&self, name: &str) -> Result<ClassId, String> {
        position(&self.classes, "class", name)
    }
}

fn position(names: &[String], what: &str, name: &str) -> Result<usize, String> {
    names.iter().position(|known| known == name).ok_or_else(|| format!("unknown {what} {name:?}"))
}
