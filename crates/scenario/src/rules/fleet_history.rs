//! The endpoint list and the proxies' states while the record is replayed, for the rules that need them.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_testbed::{ListedEndpoint, TrafficEvent, TrafficRecord};

use crate::observed_state::ObservedState;
use crate::rules::limits::Limits;

/// The state of an endpoint in the list.
#[derive(Clone, Copy)]
struct ListedState {
    ready: bool,
    /// The time since which the list has excluded the endpoint from requests; `None` if it does not.
    excluded_since: Option<Duration>,
    /// When the process last restarted; `None` for the initial process.
    started: Option<Duration>,
}

/// The state of the list and of all proxies after the records observed so far.
pub struct FleetHistory<'a> {
    limits: &'a Limits,
    list: BTreeMap<String, ListedState>,
    proxies: BTreeMap<String, ObservedState>,
}

impl<'a> FleetHistory<'a> {
    /// Returns a history before the first record.
    pub fn new(limits: &'a Limits) -> Self {
        FleetHistory { limits, list: BTreeMap::new(), proxies: BTreeMap::new() }
    }

    /// Applies a record and returns the name of the proxy whose state it may have changed.
    pub fn observe<'r>(&mut self, record: &'r TrafficRecord) -> Option<&'r str> {
        let at = record.at;
        match &record.event {
            TrafficEvent::ListPublished { endpoints } => {
                self.update_list(at, endpoints);
                return None;
            }
            TrafficEvent::ProxyStarted { proxy, endpoints } => {
                let classes = &self.limits.classes;
                self.proxies.entry(proxy.clone()).or_default().start(endpoints, classes);
                Some(proxy)
            }
            TrafficEvent::ControlStream { proxy, open } => {
                self.proxy_mut(proxy).control_stream(at, *open);
                Some(proxy)
            }
            TrafficEvent::ControlStreamStalled { proxy, stalled } => {
                self.proxy_mut(proxy).set_stalled(at, *stalled);
                Some(proxy)
            }
            TrafficEvent::UpdateAnswered { proxy, commands } => {
                self.proxy_mut(proxy).apply_update(commands);
                Some(proxy)
            }
            TrafficEvent::SnapshotApplied { proxy, version, tables, class_tables, ejected } => {
                self.proxy_mut(proxy).apply_snapshot(*version, tables, class_tables, ejected);
                Some(proxy)
            }
            _ => None,
        }
        .map(String::as_str)
    }

    fn proxy_mut(&mut self, name: &str) -> &mut ObservedState {
        self.proxies.entry(name.into()).or_default()
    }

    /// Replaces the list. Endpoints that it no longer contains are kept in state `gone`.
    fn update_list(&mut self, at: Duration, endpoints: &[ListedEndpoint]) {
        let before = std::mem::take(&mut self.list);
        let missing = before.iter().filter(|(name, _)| !endpoints.iter().any(|known| known.name == **name));
        let removed = missing.map(|(name, listed)| ListedEndpoint {
            name: name.clone(),
            state: "gone".into(),
            started: listed.started,
        });
        for ListedEndpoint { name, state, started } in endpoints.iter().cloned().chain(removed) {
            let is_excluded = state == "draining" || state == "gone" && !self.limits.ignore_removals;
            let excluded_before = before.get(&name).and_then(|listed| listed.excluded_since);
            let excluded_since = is_excluded.then(|| excluded_before.unwrap_or(at));
            self.list.insert(name, ListedState { ready: state == "ready", excluded_since, started });
        }
    }

    /// Returns the names of all proxies in the record so far.
    pub fn proxy_names(&self) -> impl Iterator<Item = &str> {
        self.proxies.keys().map(String::as_str)
    }

    /// Returns the state of a proxy.
    pub fn proxy(&self, name: &str) -> Option<&ObservedState> {
        self.proxies.get(name)
    }

    /// Returns the time since which the list has excluded the endpoint from requests.
    pub fn excluded_since(&self, endpoint: &str) -> Option<Duration> {
        self.list.get(endpoint)?.excluded_since
    }

    /// Returns true if the list has an endpoint that is ready and not warming up.
    pub fn has_warm_endpoint(&self, at: Duration) -> bool {
        let window = self.limits.slow_start.window;
        let warm = |listed: &ListedState| listed.started.is_none_or(|start| start + window <= at);
        self.list.values().any(|listed| listed.ready && warm(listed))
    }
}
