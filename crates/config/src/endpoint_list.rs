//! Reads the endpoint list from the element `roster`, in a separate file or in a daemon's configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

use lockcroft::{EndpointStatus, MachineTypeId, ZoneId};
use lockcroft_host::NameIndex;
use roxmltree::Node;

use crate::document::Document;
use crate::error::{ConfigError, ConfigErrors};
use crate::xml::{attribute_text, child_elements};

/// The weight of an endpoint whose element states none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The name of the endpoint.
    pub name: String,
    /// The zone that the endpoint runs in.
    pub zone: ZoneId,
    /// The machine type of the endpoint.
    pub machine_type: MachineTypeId,
    /// The address at which the endpoint accepts requests.
    pub address: SocketAddr,
    /// The status that the list states: ready, draining or removed.
    pub status: EndpointStatus,
    /// The configured weight, from 0 to the fleet's maximum.
    pub weight: f64,
    /// The start time of the endpoint's process; `None` if the list states none, which means that the process has run
    /// for a long time.
    pub started_at: Option<SystemTime>,
}

/// An endpoint list with its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListConfig {
    /// The version of the list; 0 if the list states none. Version 0 is the first list: no endpoint was removed before.
    pub version: u64,
    /// The endpoints in the order of the file.
    pub entries: Vec<EndpointEntry>,
}

impl EndpointListConfig {
    /// Reads and validates a list in a separate file.
    ///
    /// # Errors
    /// Returns all errors in the file. A list with any error is rejected as a whole.
    pub fn open(file: &Path, names: &NameIndex, max_weight: f64) -> Result<Self, ConfigErrors> {
        let document = Document::open(file, crate::SCHEMA)?;
        let tree = document.tree();
        let root = tree.root_element();
        if !root.has_tag_name("roster") {
            let error = document.error(root, "is not an endpoint list", Some("the root element roster"));
            return Err(error.into());
        }
        EndpointListConfig::read(&document, root, names, max_weight)
    }

    /// Reads the element `roster` of a document that was validated against the schema.
    pub(crate) fn read(
        document: &Document,
        roster: Node,
        names: &NameIndex,
        max_weight: f64,
    ) -> Result<Self, ConfigErrors> {
        let reader = EntryReader { document, names, max_weight };
        let mut entries = Vec::new();
        let mut errors = Vec::new();
        let mut first_lines: BTreeMap<String, u32> = BTreeMap::new();
        for node in child_elements(Some(roster)) {
            let entry = match reader.read(node) {
                Ok(entry) => entry,
                Err(error) => {
                    errors.push(error);
                    continue;
                }
            };
            let line = document.error(node, "", None).line;
            if let Some(first) = first_lines.insert(entry.name.clone(), line) {
                let message = format!("server {} is already listed in line {first}", entry.name);
                errors.push(document.error(node, message, Some("each name once")));
            }
            entries.push(entry);
        }
        if !errors.is_empty() {
            return Err(ConfigErrors(errors));
        }
        let version = roster.attribute("version").and_then(|version| version.parse().ok()).unwrap_or(0);
        Ok(EndpointListConfig { version, entries })
    }
}

/// Reads the elements `server` in a list.
struct EntryReader<'a> {
    document: &'a Document,
    names: &'a NameIndex,
    max_weight: f64,
}

impl EntryReader<'_> {
    fn read(&self, node: Node) -> Result<EndpointEntry, ConfigError> {
        Ok(EndpointEntry {
            name: attribute_text(node, "name").into(),
            zone: self.read_zone(node)?,
            machine_type: self.read_machine_type(node)?,
            address: self.read_address(node)?,
            weight: self.read_weight(node)?,
            status: read_status(node),
            started_at: self.read_started_at(node)?,
        })
    }

    fn read_zone(&self, node: Node) -> Result<ZoneId, ConfigError> {
        self.names
            .zone(attribute_text(node, "zone"))
            .map_err(|error| self.document.error(node, error.to_string(), Some(&self.names.zones.join(", "))))
    }

    fn read_machine_type(&self, node: Node) -> Result<MachineTypeId, ConfigError> {
        self.names.machine_type(attribute_text(node, "kind")).map_err(|error| {
            self.document.error(node, error.to_string(), Some(&self.names.machine_types.join(", ")))
        })
    }

    fn read_address(&self, node: Node) -> Result<SocketAddr, ConfigError> {
        let text = attribute_text(node, "address");
        let Ok(address) = text.parse() else {
            return Err(self.document.error(
                node,
                format!("{text:?} is not a socket address"),
                Some("IP:PORT"),
            ));
        };
        Ok(address)
    }

    fn read_weight(&self, node: Node) -> Result<f64, ConfigError> {
        let configured = node.attribute("weight").and_then(|weight| weight.parse().ok());
        let weight = configured.unwrap_or(DEFAULT_WEIGHT);
        if weight > self.max_weight {
            let expected = format!("up to {}, the fleet's weight-most", self.max_weight);
            return Err(self.document.error(node, format!("weight {weight} is too large"), Some(&expected)));
        }
        Ok(weight)
    }

    fn read_started_at(&self, node: Node) -> Result<Option<SystemTime>, ConfigError> {
        node.attribute("started").map(humantime::parse_rfc3339).transpose().map_err(|error| {
            let expected = "a time in UTC such as 2026-12-01T08:30:00Z";
            self.document.error(node, format!("started: {error}"), Some(expected))
        })
    }
}

fn read_status(node: Node) -> EndpointStatus {
    match node.attribute("state") {
        Some("draining") => EndpointStatus::Draining,
        Some("gone") => EndpointStatus::Removed,
        _ => EndpointStatus::Ready,
    }
}
