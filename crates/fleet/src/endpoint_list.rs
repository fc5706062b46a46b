//! The endpoint list: the entries that its source states, with operator overrides and planned weights.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use lockcroft::{EndpointId, EndpointRecord, EndpointStatus};
use lockcroft_config::{EndpointEntry, EndpointListConfig};
use lockcroft_host::NameInterner;

/// An operator's override of one endpoint. It stays in effect until the operator removes it, also when the list is
/// replaced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OperatorOverride {
    /// True if a ready endpoint is treated as draining.
    pub draining: bool,
    /// The weight that replaces the listed or planned one, if any.
    pub weight: Option<f64>,
}

/// Formats the override as `show events` prints it.
impl fmt::Display for OperatorOverride {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.debug_struct("Word").field("drains", &self.draining).field("weight", &self.weight).finish()
    }
}

/// The age of an endpoint at the time when its start time was first read.
#[derive(Clone, Copy)]
struct ObservedAge {
    age: Duration,
    /// When the start time was first read, on the controller's clock.
    at: Duration,
}

/// A listed endpoint, with its age on the controller's clock if the list states its start time.
struct ListedEndpoint {
    entry: EndpointEntry,
    observed_age: Option<ObservedAge>,
}

/// The listed endpoints by id. A name keeps its id when its endpoint is taken off the list.
#[derive(Default)]
pub struct EndpointList {
    names: NameInterner,
    listed: BTreeMap<EndpointId, ListedEndpoint>,
    overrides: BTreeMap<EndpointId, OperatorOverride>,
    /// Weights from solver plans, which replace the listed ones.
    planned_weights: BTreeMap<EndpointId, f64>,
    /// The version that the source gave the list.
    pub version: u64,
}

impl EndpointList {
    /// Replaces the list. An unchanged start time keeps the age that was observed first, so that reading a file again
    /// does not look like a restart of its endpoints. A start time in the future counts as an age of 0.
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

    /// Returns the record of each listed endpoint, with overrides and planned weights applied, and its age at `now`.
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

    /// Changes the override of an endpoint, and removes it if it is empty afterwards.
    pub fn change_override(&mut self, endpoint: EndpointId, change: impl FnOnce(&mut OperatorOverride)) {
        let operator_override = self.overrides.entry(endpoint).or_default();
        change(operator_override);
        if *operator_override == OperatorOverride::default() {
            self.overrides.remove(&endpoint);
        }
    }

    /// Returns the override of an endpoint, or an empty one if no operator set any.
    #[must_use]
    pub fn operator_override(&self, endpoint: EndpointId) -> OperatorOverride {
        self.overrides.get(&endpoint).copied().unwrap_or_default()
    }

    /// Sets the planned weight of an endpoint. It stays in effect until the next one, also while the endpoint is
    /// down.
    pub fn set_planned_weight(&mut self, endpoint: EndpointId, weight: f64) {
        self.planned_weights.insert(endpoint, weight);
    }

    /// Returns the id of an endpoint name, which need not be on the list, and assigns one to an unknown name.
    pub fn intern(&mut self, name: &str) -> EndpointId {
        self.names.intern(name)
    }

    /// Returns the id of a listed endpoint.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.names.find(name).filter(|endpoint| self.listed.contains_key(endpoint))
    }

    /// Returns the name of an endpoint.
    #[must_use]
    pub fn name(&self, endpoint: EndpointId) -> &str {
        self.names.name(endpoint)
    }

    /// Returns the address on which an endpoint listens, or `None` if it is not listed.
    #[must_use]
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.listed.get(&endpoint).map(|listed| listed.entry.address)
    }

    /// Returns the weight that the source of the list states, or `None` if the endpoint is not listed.
    #[must_use]
    pub fn listed_weight(&self, endpoint: EndpointId) -> Option<f64> {
        self.listed.get(&endpoint).map(|listed| listed.entry.weight)
    }
}
