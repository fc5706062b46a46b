//! Names of endpoints, zones, machine types and classes, and the small indices that decisions use for them.

use std::collections::BTreeMap;

use lockcroft::{ClassId, EndpointId, MachineTypeId, Settings, ZoneId};
use thiserror::Error;

/// Gives each name an index in the order in which the names are first seen; an index, once given, stays valid.
#[derive(Clone, Debug, Default)]
pub struct NameInterner {
    names: Vec<String>,
    indices: BTreeMap<String, EndpointId>,
}

impl NameInterner {
    /// The index of a name; a new one if the name was not seen before.
    pub fn intern(&mut self, name: &str) -> EndpointId {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }

    /// The index of a name that was seen before.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.indices.get(name).copied()
    }

    /// The name behind an index that was given out here.
    ///
    /// # Panics
    /// The index was never given out.
    #[must_use]
    pub fn name(&self, index: EndpointId) -> &str {
        &self.names[index]
    }

    /// How many names were seen.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name was seen yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// A name that the settings do not state.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum UnknownName {
    /// No zone has this name.
    #[error("unknown zone {0:?}")]
    Zone(String),
    /// No machine type has this name.
    #[error("unknown kind {0:?}")]
    MachineType(String),
    /// No class has this name.
    #[error("unknown class {0:?}")]
    Class(String),
}

/// The zones, machine types and classes that the settings state; the index of each is its position there.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Names of the zones, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Names of the machine types, by [`MachineTypeId`].
    pub machine_types: Vec<String>,
    /// Names of the classes, by [`ClassId`].
    pub classes: Vec<String>,
}

impl NameIndex {
    /// The names that the settings state.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map_while(|class| class.name.clone()).collect();
        NameIndex { zones: settings.zones.clone(), machine_types: settings.machine_types.clone(), classes }
    }

    /// The zone of this name.
    ///
    /// # Errors
    /// The settings state no such zone.
    pub fn zone(&self, name: &str) -> Result<ZoneId, UnknownName> {
        position(&self.zones, name).ok_or_else(|| UnknownName::Zone(name.into()))
    }

    /// The machine type of this name.
    ///
    /// # Errors
    /// The settings state no such machine type.
    pub fn machine_type(&self, name: &str) -> Result<MachineTypeId, UnknownName> {
        position(&self.machine_types, name).ok_or_else(|| UnknownName::MachineType(name.into()))
    }

    /// The class of this name.
    ///
    /// # Errors
    /// The settings state no such class.
    pub fn class(&self, name: &str) -> Result<ClassId, UnknownName> {
        position(&self.classes, name).ok_or_else(|| UnknownName::Class(name.into()))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
