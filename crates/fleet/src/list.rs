//! The list of servers: what the file says, and what an operator said on top of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, EndpointRecord, EndpointStatus};
use lockcroft_config::{EndpointEntry, EndpointListConfig};
use lockcroft_host::NameInterner;

/// An operator's word on one server; it holds until the opposite word, whatever the file says later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OperatorOverride {
    pub drains: bool,
    /// In place of the listed weight.
    pub weight: Option<f64>,
}

/// One server as the file lists it, its start on the pilot's own clock.
struct Line {
    entry: EndpointEntry,
    /// The age at the time when this start was first heard of, and that time.
    age: Option<(Duration, Duration)>,
}

/// Servers by index; an index stays with its name, also when the server is off the list.
#[derive(Default)]
pub struct EndpointList {
    names: NameInterner,
    lines: BTreeMap<EndpointId, Line>,
    words: BTreeMap<EndpointId, OperatorOverride>,
    /// Weights that were worked out, in place of the file's.
    planned: BTreeMap<EndpointId, f64>,
    pub version: u64,
}

impl EndpointList {
    /// Takes a whole list. A start that was known keeps its age on the pilot's clock, so that two
    /// readings of one file never look like two starts.
    pub fn take(&mut self, now: Duration, wall: SystemTime, roster: EndpointListConfig) {
        let mut old = std::mem::take(&mut self.lines);
        self.version = roster.version;
        for entry in roster.entries {
            let server = self.names.index(&entry.name);
            let known = old.remove(&server).filter(|line| line.entry.started_at == entry.started_at);
            let age = match known {
                Some(line) => line.age,
                None => entry.started_at.map(|at| (wall.duration_since(at).unwrap_or_default(), now)),
            };
            self.lines.insert(server, Line { entry, age });
        }
    }

    /// What the decisions are told: every server of the list, with the operator's words.
    pub fn listings(&self, now: Duration) -> Vec<EndpointRecord> {
        self.lines.iter().map(|(server, line)| self.listing(now, *server, line)).collect()
    }

    fn listing(&self, now: Duration, server: EndpointId, line: &Line) -> EndpointRecord {
        let word = self.words.get(&server).copied().unwrap_or_default();
        let state = match line.entry.status {
            EndpointStatus::Ready if word.drains => EndpointStatus::Draining,
            state => state,
        };
        let planned = self.planned.get(&server).copied();
        let weight = word.weight.or(planned).unwrap_or(line.entry.weight);
        let age = line.age.map(|(age, seen)| age + (now - seen));
        EndpointRecord {
            endpoint: server,
            zone: line.entry.zone,
            machine_type: line.entry.machine_type,
            status: state,
            weight,
            age,
        }
    }

    /// Changes an operator's word.
    pub fn say(&mut self, server: EndpointId, change: impl FnOnce(&mut OperatorOverride)) {
        let word = self.words.entry(server).or_default();
        change(word);
        if *word == OperatorOverride::default() {
            self.words.remove(&server);
        }
    }

    /// Takes a weight that was worked out; it stands until the next, also while the server is down.
    pub fn plan(&mut self, server: EndpointId, weight: f64) {
        self.planned.insert(server, weight);
    }

    pub fn word(&self, server: EndpointId) -> OperatorOverride {
        self.words.get(&server).copied().unwrap_or_default()
    }

    /// The index of a name met at a proxy; such a server need not be on the list.
    pub fn met(&mut self, name: &str) -> EndpointId {
        self.names.index(name)
    }

    /// The index of a server of the list.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.find(name).filter(|server| self.lines.contains_key(server))
    }

    pub fn name(&self, server: EndpointId) -> &str {
        self.names.name(server)
    }

    pub fn address(&self, server: EndpointId) -> Option<SocketAddr> {
        self.lines.get(&server).map(|line| line.entry.address)
    }

    /// The weight that the file gives a server.
    pub fn listed_weight(&self, server: EndpointId) -> Option<f64> {
        self.lines.get(&server).map(|line| line.entry.weight)
    }

    pub fn servers(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.lines.keys().copied()
    }
}
