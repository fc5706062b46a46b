//! Maps names of endpoints, zones, machine types and classes to the indices that the controller uses for them.

use std::collections::BTreeMap;

use lockcroft::{ClassId, EndpointId, MachineTypeId, Settings, ZoneId};
use thiserror::Error;

/// Assigns consecutive indices from 0 to names, in the order in which they are first seen. An index stays valid for
/// the lifetime of the interner.
#[derive(Clone, Debug, Default)]
pub struct NameInterner {
    names: Vec<String>,
    indices: BTreeMap<String, EndpointId>,
}

impl NameInterner {
    /// Returns the index of a name, assigning the next free one if the name is new.
    pub fn intern(&mut self, name: &str) -> EndpointId {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len();
        self.names.push(name.to_string());
        self.indices.insert(name.to_string(), index);
        index
    }

    /// Returns the index of a name, or `None` if it was never interned.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.indices.get(name).copied()
    }

    /// Returns the name with this index.
    ///
    /// # Panics
    /// Panics if this interner never assigned the index.
    #[must_use]
    pub fn name(&self, index: EndpointId) -> &str {
        &self.names[index]
    }

    /// Returns the number of interned names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns true if no name was interned yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// A name that the settings do not define.
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

/// The zones, machine types and classes that the settings define. The index of each name is its position in the
/// settings.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// The zone names, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The machine type names, indexed by [`MachineTypeId`].
    pub machine_types: Vec<String>,
    /// The class names, indexed by [`ClassId`]. They end before the first class without a name.
    pub classes: Vec<String>,
}

impl NameIndex {
    /// Returns the names that the settings define.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map_while(|class| class.name.clone()).collect();
        NameIndex { zones: settings.zones.clone(), machine_types: settings.machine_types.clone(), classes }
    }

    /// Returns the zone with this name.
    ///
    /// # Errors
    /// Returns [`UnknownName::Zone`] if the settings define no such zone.
    pub fn zone(&self, name: &str) -> Result<ZoneId, UnknownName> {
        position(&self.zones, name).ok_or_else(|| UnknownName::Zone(name.into()))
    }

    /// Returns the machine type with this name.
    ///
    /// # Errors
    /// Returns [`UnknownName::MachineType`] if the settings define no such machine type.
    pub fn machine_type(&self, name: &str) -> Result<MachineTypeId, UnknownName> {
        position(&self.machine_types, name).ok_or_else(|| UnknownName::MachineType(name.into()))
    }

    /// Returns the class with this name.
    ///
    /// # Errors
    /// Returns [`UnknownName::Class`] if the settings define no such class.
    pub fn class(&self, name: &str) -> Result<ClassId, UnknownName> {
        position(&self.classes, name).ok_or_else(|| UnknownName::Class(name.into()))
    }
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
