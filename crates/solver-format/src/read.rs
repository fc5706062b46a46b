//! Problem files.

use std::path::Path;

use lockcroft_config::{ConfigError, ConfigErrors, Document, parse_duration};
use lockcroft_solver::{Class, Endpoint, Problem};
use roxmltree::Node;

pub const SCHEMA: &str = include_str!("../problem.xsd");

/// A problem with the names behind its places.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NamedProblem {
    pub problem: Problem,
    pub zones: Vec<String>,
    pub servers: Vec<String>,
    pub classes: Vec<String>,
}

impl NamedProblem {
    /// # Errors
    /// All that is wrong with the file.
    pub fn open(file: &Path) -> Result<Self, ConfigErrors> {
        NamedProblem::read(&Document::open(file, SCHEMA)?)
    }

    /// # Errors
    /// All that no schema can see: names that are not listed, or listed twice.
    pub fn read(document: &Document) -> Result<Self, ConfigErrors> {
        let tree = document.tree();
        let root = tree.root_element();
        let mut reader = Reader { document, named: NamedProblem::default(), faults: Vec::new() };
        reader.named.problem.crossing = number(root, "crossing").unwrap_or(0.0);
        reader.zones(part(root, "zones"));
        reader.servers(part(root, "servers"));
        reader.classes(part(root, "classes"));
        if reader.faults.is_empty() { Ok(reader.named) } else { Err(ConfigErrors(reader.faults)) }
    }
}

struct Reader<'a> {
    document: &'a Document,
    named: NamedProblem,
    faults: Vec<ConfigError>,
}

impl Reader<'_> {
    fn zones(&mut self, nodes: Vec<Node>) {
        for node in nodes {
            let name = self.once(node, &self.named.zones.clone());
            self.named.zones.push(name);
        }
        self.named.problem.zones = self.named.zones.len();
    }

    fn servers(&mut self, nodes: Vec<Node>) {
        let mut met = std::collections::BTreeSet::new();
        for node in nodes {
            let name = text(node, "name").to_string();
            if !met.insert(name.clone()) {
                self.wrong(node, format!("{name} is listed twice"), "each name once");
            }
            let zone = self.place(node, text(node, "zone"), "zone", &self.named.zones.clone());
            self.named.servers.push(name);
            self.named.problem.servers.push(Endpoint {
                zone,
                capacity: number(node, "cores").unwrap_or(0.0),
                warmth: number(node, "warmth").unwrap_or(1.0),
                withdrawn: matches!(node.attribute("withdrawn"), Some("true" | "1")),
            });
        }
    }

    fn classes(&mut self, nodes: Vec<Node>) {
        let (zones, servers) = (self.named.zones.clone(), self.named.servers.clone());
        for node in nodes {
            let name = self.once(node, &self.named.classes.clone());
            self.named.classes.push(name);
            let mut list = |attribute: &str, what: &str, known: &[String]| -> Vec<usize> {
                let words = node.attribute(attribute).unwrap_or_default().split_whitespace();
                words.map(|word| self.place(node, word, what, known)).collect()
            };
            let only = (list("only-zones", "zone", &zones), list("only-servers", "server", &servers));
            let mut demand = vec![0.0; zones.len()];
            for part in node.children().filter(Node::is_element) {
                let zone = self.place(part, text(part, "zone"), "zone", &zones);
                if let Some(sum) = demand.get_mut(zone) {
                    *sum += number(part, "visits-per-s").unwrap_or(0.0);
                }
            }
            let seconds = |name: &str| parse_duration(text(node, name)).unwrap_or_default().as_secs_f64();
            self.named.problem.classes.push(Class {
                work: seconds("work"),
                contract_time: seconds("contract-time"),
                earnings: number(node, "earnings").unwrap_or(0.0),
                zones: only.0,
                servers: node.attribute("only-servers").map(|_| only.1),
                demand,
            });
        }
    }

    fn once(&mut self, node: Node, known: &[String]) -> String {
        let name = text(node, "name").to_string();
        if known.contains(&name) {
            self.wrong(node, format!("{name} is listed twice"), "each name once");
        }
        name
    }

    fn place(&mut self, node: Node, name: &str, what: &str, known: &[String]) -> usize {
        known.iter().position(|other| other == name).unwrap_or_else(|| {
            let some = known.iter().take(8).cloned().collect::<Vec<_>>().join(", ");
            let more = if known.len() > 8 { ", …" } else { "" };
            self.wrong(node, format!("{what} {name:?} is not listed"), &(some + more));
            0
        })
    }

    fn wrong(&mut self, node: Node, wrong: String, allowed: &str) {
        self.faults.push(self.document.error(node, wrong, Some(allowed)));
    }
}

fn part<'d, 'i>(root: Node<'d, 'i>, name: &str) -> Vec<Node<'d, 'i>> {
    let list = root.children().find(|node| node.has_tag_name(name));
    list.into_iter().flat_map(|list| list.children().filter(Node::is_element)).collect()
}

fn text<'a>(node: Node<'a, '_>, name: &str) -> &'a str {
    node.attribute(name).unwrap_or_default()
}

fn number(node: Node, name: &str) -> Option<f64> {
    node.attribute(name)?.trim().parse().ok()
}
