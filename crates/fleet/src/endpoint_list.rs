//! The endpoint list: what its source states, and what operators set on top of it.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, EndpointRecord, EndpointStatus};
use lockcroft_config::{EndpointEntry, EndpointListConfig};
use lockcroft_host::NameInterner;

/// An operator's override of one endpoint. It holds until the operator takes it back, whatever the source of the
/// list states later.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OperatorOverride {
    /// The endpoint is to drain.
    pub draining: bool,
    /// The weight in place of the listed one.
    pub weight: Option<f64>,
}

/// As `show events` gives it.
impl fmt::Display for OperatorOverride {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.debug_struct("Word").field("drains", &self.draining).field("weight", &self.weight).finish()
    }
}

/// How old an endpoint was when its start was first heard of.
#[derive(Clone, Copy)]
struct ObservedAge {
    age: Duration,
    at: Duration,
}

/// One endpoint as it is listed, with its start on the controller's own clock.
struct ListedEndpoint {
    entry: EndpointEntry,
    observed_age: Option<ObservedAge>,
}

/// Endpoints by id. An id stays with its name, also when the endpoint is off the list.
#[derive(Default)]
pub struct EndpointList {
    names: NameInterner,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    overrides: BTreeMap<EndpointId, OperatorOverride>,
    /// Weights that the solver worked out, in place of the listed ones.
    planned_weights: BTreeMap<EndpointId, f64>,
    /// The version that the source gave the list.
    pub version: u64,
}

impl EndpointList {
    /// Takes a whole list. A start that was known keeps its age on the controller's clock, so that two readings
    /// of one file never look like two starts.
    pub fn replace(&mut self, now: Duration, wall_clock: SystemTime, list: EndpointListConfig) {
        let mut previous = std::mem::take(&mut self.listed);
        self.version = list.version;
        for entry in list.entries {
            let endpoint = self.names.intern(&entry.name);
            let same_start =
                previous.remove(&endpoint).filter(|listed| listed.entry.started_at == entry.started_at);
            let observed_age = match same_start {
                Some(listed) => listed.observed_age,
                None => entry.started_at.map(|start| ObservedAge {
                    age: wall_clock.duration_since(start).unwrap_or_default(),
                    at: now,
                }),
            };
            self.listed.insert(endpoint, ListedEndpoint { entry, observed_age });
        }
    }

    /// What the decisions are given: every endpoint of the list, with the operators' overrides.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<EndpointRecord> {
        self.listed.iter().map(|(endpoint, listed)| self.record(now, *endpoint, listed)).collect()
    }

    fn record(&self, now: Duration, endpoint: EndpointId, listed: &ListedEndpoint) -> EndpointRecord {
        let operator_override = self.operator_override(endpoint);
        let status = match listed.entry.status {
            EndpointStatus::Ready if operator_override.draining => EndpointStatus::Draining,
            status => status,
        };
        let planned = self.planned_weights.get(&endpoint).copied();
        EndpointRecord {
            endpoint,
            zone: listed.entry.zone,
            machine_type: listed.entry.machine_type,
            status,
            weight: operator_override.weight.or(planned).unwrap_or(listed.entry.weight),
            age: listed.observed_age.map(|observed| observed.age + (now - observed.at)),
        }
    }

    /// Changes the override of an endpoint; one that says nothing is dropped.
    pub fn change_override(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut OperatorOverride)) {
        let operator_override = self.overrides.entry(endpoint).or_default();
        change(operator_override);
        if *operator_override == OperatorOverride::default() {
            self.overrides.remove(&endpoint);
        }
    }

    /// The override of an endpoint; an empty one where no operator set any.
    #[must_use]
    pub fn operator_override(&self, endpoint: EndpointId) -> OperatorOverride {
        self.overrides.get(&endpoint).copied().unwrap_or_default()
    }

    /// Takes a weight that the solver worked out. It stands until the next, also while the endpoint is down.
    pub fn set_planned_weight(&mut self, endpoint: EndpointId, weight: f64) {
        self.planned_weights.insert(endpoint, weight);
    }

    /// The id of a name that was met at a proxy; such an endpoint need not be on the list.
    pub fn intern(&mut self, name: &str) -> EndpointId {
        self.names.intern(name)
    }

    /// The id of an endpoint of the list.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.find(name).filter(|endpoint| self.listed.contains_key(endpoint))
    }

    /// The name behind an id.
    #[must_use]
    pub fn name(&self, endpoint: EndpointId) -> &str {
        self.names.name(endpoint)
    }

    /// Where an endpoint of the list listens.
    #[must_use]
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.listed.get(&endpoint).map(|listed| listed.entry.address)
    }

    /// The weight that the source of the list states.
    #[must_use]
    pub fn listed_weight(&self, endpoint: EndpointId) -> Option<f64> {
        self.listed.get(&endpoint).map(|listed| listed.entry.weight)
    }
}
