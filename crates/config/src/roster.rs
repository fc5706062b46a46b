//! The list of servers as a file gives it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

use lockcroft::{EndpointStatus, MachineTypeId, ZoneId};
use lockcroft_host::NameIndex;
use roxmltree::Node;

use crate::document::{ConfigError, ConfigErrors, Document};

/// One server of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub name: String,
    pub zone: ZoneId,
    pub machine_type: MachineTypeId,
    pub address: SocketAddr,
    pub status: EndpointStatus,
    /// The listed weight, up to the terms' `weight-most`.
    pub weight: f64,
    /// When its process started; `None` if that was long ago.
    pub started_at: Option<SystemTime>,
}

/// A whole list, at its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointListConfig {
    /// 0 is the first version: nothing was ever taken off it.
    pub version: u64,
    pub entries: Vec<EndpointEntry>,
}

impl EndpointListConfig {
    /// Reads a roster that stands in a file of its own.
    ///
    /// # Errors
    /// All that is wrong with the file; nothing of it is used then.
    pub fn open(file: &Path, places: &NameIndex, weight_most: f64) -> Result<Self, ConfigErrors> {
        let document = Document::open(file, crate::SCHEMA)?;
        let tree = document.tree();
        let root = tree.root_element();
        if !root.has_tag_name("roster") {
            return Err(ConfigErrors(vec![document.error(
                root,
                "is no roster",
                Some("the root element roster"),
            )]));
        }
        EndpointListConfig::read(&document, root, places, weight_most)
    }

    pub(crate) fn read(
        document: &Document,
        root: Node,
        places: &NameIndex,
        weight_most: f64,
    ) -> Result<Self, ConfigErrors> {
        let (mut entries, mut faults) = (Vec::new(), Vec::new());
        let mut lines: BTreeMap<String, u32> = BTreeMap::new();
        for node in root.children().filter(Node::is_element) {
            match entry(document, node, places, weight_most) {
                Err(fault) => faults.push(fault),
                Ok(entry) => {
                    let line = document.error(node, "", None).line;
                    if let Some(first) = lines.insert(entry.name.clone(), line) {
                        let wrong = format!("server {} is listed in line {first} already", entry.name);
                        faults.push(document.error(node, wrong, Some("each name once")));
                    }
                    entries.push(entry);
                }
            }
        }
        let version = root.attribute("version").and_then(|version| version.parse().ok()).unwrap_or(0);
        if faults.is_empty() {
            Ok(EndpointListConfig { version, entries })
        } else {
            Err(ConfigErrors(faults))
        }
    }
}

fn entry(
    document: &Document,
    node: Node,
    places: &NameIndex,
    weight_most: f64,
) -> Result<EndpointEntry, ConfigError> {
    let text = |name: &str| node.attribute(name).unwrap_or_default();
    let zones = places.zones.join(", ");
    let kinds = places.machine_types.join(", ");
    let zone = places.zone(text("zone")).map_err(|e| document.error(node, e.to_string(), Some(&zones)))?;
    let kind =
        places.machine_type(text("kind")).map_err(|e| document.error(node, e.to_string(), Some(&kinds)))?;
    let wrong = |_| document.error(node, format!("{:?} is no address", text("address")), Some("IP:PORT"));
    let address = text("address").parse().map_err(wrong)?;
    let weight = node.attribute("weight").map_or(1.0, |weight| weight.parse().unwrap_or(1.0));
    if weight > weight_most {
        let most = format!("up to {weight_most}, the fleet's weight-most");
        return Err(document.error(node, format!("a weight of {weight}"), Some(&most)));
    }
    let state = match node.attribute("state") {
        Some("draining") => EndpointStatus::Draining,
        Some("gone") => EndpointStatus::Removed,
        _ => EndpointStatus::Ready,
    };
    let started = node.attribute("started").map(humantime::parse_rfc3339).transpose();
    let started = started.map_err(|e| {
        document.error(node, format!("started: {e}"), Some("a time in UTC such as 2026-12-01T08:30:00Z"))
    })?;
    Ok(EndpointEntry {
        name: text("name").into(),
        zone,
        machine_type: kind,
        address,
        status: state,
        weight,
        started_at: started,
    })
}
