//! Reads problem files.

use std::collections::BTreeSet;
use std::path::Path;

use lockcroft_config::{ConfigError, ConfigErrors, Document, attribute_text, child_elements, parse_duration};
use lockcroft_solver::{Class, Endpoint, Problem};
use roxmltree::Node;

/// The XML schema of problem files.
pub const SCHEMA: &str = include_str!("../problem.xsd");

/// The greatest number of known names that an error lists.
const MAX_NAMES_IN_ERROR: usize = 8;

/// A problem with the names of its zones, endpoints and classes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedProblem {
    /// The problem.
    pub problem: Problem,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the endpoints, by index.
    pub endpoints: Vec<String>,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
}

impl NamedProblem {
    /// Reads a file and validates it against the schema. Blocks while it reads the file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or all errors in the file otherwise.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        NamedProblem::read(&Document::open(file, SCHEMA)?)
    }

    /// Reads a problem from a document that was validated against the schema. Does not check what
    /// [`Problem::validate`] checks.
    ///
    /// # Errors
    /// Returns all errors that the schema cannot express: names that are unknown or listed twice.
    pub fn read(document: &Document) -> Result<Self, ConfigErrors> {
        let tree = document.tree();
        let root = tree.root_element();
        let elements = |list: &str| child_elements(root.children().find(|node| node.has_tag_name(list)));
        let mut reader = ProblemReader { document, named: NamedProblem::default(), errors: Vec::new() };
        reader.named.problem.crossing_cost = attribute_number(root, "crossing").unwrap_or(0.0);
        reader.read_zones(elements("zones"));
        reader.read_endpoints(elements("servers"));
        reader.read_classes(elements("classes"));
        if reader.errors.is_empty() { Ok(reader.named) } else { Err(ConfigErrors(reader.errors)) }
    }
}

/// The part of a problem that was read so far, and the errors found in it.
struct ProblemReader<'a> {
    document: &'a Document,
    named: NamedProblem,
    errors: Vec<ConfigError>,
}

impl ProblemReader<'_> {
    fn read_zones(&mut self, nodes: Vec<Node>) {
        let mut seen = BTreeSet::new();
        for node in nodes {
            let name = self.read_unique_name(node, &mut seen);
            self.named.zones.push(name);
        }
        self.named.problem.zone_count = self.named.zones.len();
    }

    fn read_endpoints(&mut self, nodes: Vec<Node>) {
        let zones = self.named.zones.clone();
        let mut seen = BTreeSet::new();
        for node in nodes {
            let name = self.read_unique_name(node, &mut seen);
            let zone = self.index_of(node, attribute_text(node, "zone"), "zone", &zones);
            self.named.endpoints.push(name);
            self.named.problem.endpoints.push(Endpoint {
                zone,
                capacity: attribute_number(node, "cores").unwrap_or(0.0),
                slow_start_factor: attribute_number(node, "warmth").unwrap_or(1.0),
                is_unavailable: matches!(node.attribute("withdrawn"), Some("true" | "1")),
            });
        }
    }

    fn read_classes(&mut self, nodes: Vec<Node>) {
        let zones = self.named.zones.clone();
        let endpoints = self.named.endpoints.clone();
        let mut seen = BTreeSet::new();
        for node in nodes {
            let name = self.read_unique_name(node, &mut seen);
            self.named.classes.push(name);
            let only_zones = self.read_indices(node, "only-zones", "zone", &zones);
            let only_endpoints = self.read_indices(node, "only-servers", "server", &endpoints);
            let demand = self.read_demand(node, &zones);
            self.named.problem.classes.push(Class {
                work: attribute_seconds(node, "work"),
                latency_objective: attribute_seconds(node, "contract-time"),
                value: attribute_number(node, "earnings").unwrap_or(0.0),
                allowed_zones: only_zones,
                allowed_endpoints: node.has_attribute("only-servers").then_some(only_endpoints),
                demand,
            });
        }
    }

    /// Returns the demand of a class by zone. Demand of a zone that is listed several times is summed.
    fn read_demand(&mut self, class: Node, zones: &[String]) -> Vec<f64> {
        let mut demand = vec![0.0; zones.len()];
        for node in child_elements(Some(class)) {
            let zone = self.index_of(node, attribute_text(node, "zone"), "zone", zones);
            if let Some(zone_demand) = demand.get_mut(zone) {
                *zone_demand += attribute_number(node, "visits-per-s").unwrap_or(0.0);
            }
        }
        demand
    }

    /// Returns the name of an element. Records an error if an earlier element of its list has the same name.
    fn read_unique_name(&mut self, node: Node, seen: &mut BTreeSet<String>) -> String {
        let name = attribute_text(node, "name").to_string();
        if !seen.insert(name.clone()) {
            self.record_error(node, format!("{name} is listed twice"), "each name once");
        }
        name
    }

    /// Returns the indices of the names in an attribute; none if the attribute is missing.
    fn read_indices(&mut self, node: Node, attribute: &str, kind: &str, known: &[String]) -> Vec<usize> {
        let names = attribute_text(node, attribute).split_whitespace();
        names.map(|name| self.index_of(node, name, kind, known)).collect()
    }

    /// Returns the index of a name. Records an error and returns 0 if the name is unknown.
    fn index_of(&mut self, node: Node, name: &str, kind: &str, known: &[String]) -> usize {
        if let Some(index) = known.iter().position(|other| other == name) {
            return index;
        }
        let mut expected = known.iter().take(MAX_NAMES_IN_ERROR).cloned().collect::<Vec<_>>().join(", ");
        if known.len() > MAX_NAMES_IN_ERROR {
            expected += ", …";
        }
        self.record_error(node, format!("{kind} {name:?} is not listed"), &expected);
        0
    }

    /// Records an error at an element.
    fn record_error(&mut self, node: Node, message: String, expected: &str) {
        self.errors.push(self.document.error(node, message, Some(expected)));
    }
}

/// Returns the number in an attribute; `None` if the attribute is missing or no number.
fn attribute_number(node: Node, name: &str) -> Option<f64> {
    node.attribute(name)?.trim().parse().ok()
}

/// Returns the duration in an attribute, in seconds; 0 if it is missing or invalid.
fn attribute_seconds(node: Node, name: &str) -> f64 {
    parse_duration(attribute_text(node, name)).unwrap_or_default().as_secs_f64()
}
