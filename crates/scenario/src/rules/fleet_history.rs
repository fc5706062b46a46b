//! The endpoint list and the proxies' tables at an instant of the record, for the rules that ask for them.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_testbed::{ListedEndpoint, TrafficEvent, TrafficRecord};

use crate::observed_state::ObservedState;
use crate::rules::limits::Limits;

/// An endpoint as the list has it.
#[derive(Clone, Copy)]
struct ListedState {
    ready: bool,
    /// Since when the list says that requests must not go there.
    out_since: Option<Duration>,
    started: Option<Duration>,
}

/// What the record said up to an instant.
pub struct FleetHistory<'a> {
    limits: &'a Limits,
    list: BTreeMap<String, ListedState>,
    proxies: BTreeMap<String, ObservedState>,
}

impl<'a> FleetHistory<'a> {
    pub fn new(limits: &'a Limits) -> Self {
        FleetHistory { limits, list: BTreeMap::new(), proxies: BTreeMap::new() }
    }

    /// Takes an event; gives the proxy whose state it may have changed.
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

    /// An endpoint that the list no longer names is gone.
    fn update_list(&mut self, at: Duration, endpoints: &[ListedEndpoint]) {
        let before = std::mem::take(&mut self.list);
        let missing = before.iter().filter(|(name, _)| !endpoints.iter().any(|known| known.name == **name));
        let gone = missing.map(|(name, listed)| ListedEndpoint {
            name: name.clone(),
            state: "gone".into(),
            started: listed.started,
        });
        for ListedEndpoint { name, state, started } in endpoints.iter().cloned().chain(gone) {
            let out = state == "draining" || state == "gone" && !self.limits.ignore_removals;
            let out_before = before.get(&name).and_then(|listed| listed.out_since);
            let out_since = out.then(|| out_before.unwrap_or(at));
            self.list.insert(name, ListedState { ready: state == "ready", out_since, started });
        }
    }

    pub fn proxy_names(&self) -> impl Iterator<Item = &str> {
        self.proxies.keys().map(String::as_str)
    }

    pub fn proxy(&self, name: &str) -> Option<&ObservedState> {
        self.proxies.get(name)
    }

    /// Since when the list says that no request must go to the endpoint.
    pub fn out_since(&self, endpoint: &str) -> Option<Duration> {
        self.list.get(endpoint)?.out_since
    }

    /// Whether the list has an endpoint that is ready and no longer warming up.
    pub fn has_warm_endpoint(&self, at: Duration) -> bool {
        let window = self.limits.slow_start.window;
        let warm = |listed: &ListedState| listed.started.is_none_or(|start| start + window <= at);
        self.list.values().any(|listed| listed.ready && warm(listed))
    }
}
