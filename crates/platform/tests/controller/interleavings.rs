//! Random sequences of list updates, attachments, detachments, decisions, stalled writes and restarts. At the end, all attached
//! proxies have the same table, and none may send to an endpoint that is draining or removed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_platform::{ConnectionId, ControlPlane, Effect};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::harness::{Harness, START_UNIX_MS, entry, list};

const ENDPOINTS: usize = 6;
const PROXIES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    ProxyAttaches(usize),
    ProxyDetaches(usize),
    /// The proxy stops reading if true, else reads again.
    ProxyStalls(usize, bool),
    EndpointDrains(usize),
    EndpointIsRemoved(usize),
    EndpointStarts(usize),
    /// Discovery reports the complete list instead of a change.
    CompleteList,
    TimePasses(u64),
    /// The controller is killed and starts from nothing; proxies keep what they hold.
    ControllerRestarts,
}

/// The state of a proxy, which keeps its ejections and its table when it reconnects.
#[derive(Default)]
struct Proxy {
    connection: Option<ConnectionId>,
    /// True once it has applied a complete table; an ejection is not a table.
    has_table: bool,
    table: BTreeMap<String, f64>,
    ejected: BTreeSet<String>,
    stalled: bool,
    /// The message that the proxy has not read yet.
    unread: Option<String>,
}

struct Simulation {
    control_plane: ControlPlane,
    /// The time since the controller's start.
    now: Duration,
    controller_started_unix_ms: u64,
    list_version: u64,
    connection: ConnectionId,
    proxies: Vec<Proxy>,
    /// The status and start time of each endpoint.
    endpoints: Vec<(&'static str, u64)>,
    acknowledgements: Vec<(ConnectionId, usize, u64)>,
}

impl Simulation {
    fn new() -> Self {
        let mut harness = Harness::without_endpoints();
        let endpoints = vec![("up", 0); ENDPOINTS];
        harness.update_list(&list(0, true, &Simulation::entries(&endpoints)));
        let proxies = (0..PROXIES).map(|_| Proxy::default()).collect();
        let (control_plane, now) = (harness.control_plane, harness.now);
        Simulation {
            control_plane,
            now,
            controller_started_unix_ms: START_UNIX_MS,
            list_version: 0,
            connection: 0,
            proxies,
            endpoints,
            acknowledgements: Vec::new(),
        }
    }

    fn entries(endpoints: &[(&str, u64)]) -> Vec<Value> {
        let listed = endpoints.iter().enumerate().filter(|(_, (state, _))| *state != "removed");
        listed.map(|(at, (state, since))| entry(&format!("s-{at}"), state, *since)).collect()
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::ProxyAttaches(at) => {
                self.connection += 1;
                let cold = !self.proxies[*at].has_table;
                let line = json!({"t": "attach", "node": at, "locality": "a", "w": 5.0, "cold": cold});
                self.proxies[*at].connection = Some(self.connection);
                self.proxies[*at].unread = None;
                self.control_plane.connection_accepted(self.now, self.connection);
                self.control_plane.line_received(self.now, self.connection, line.to_string().as_bytes());
            }
            Step::ProxyDetaches(at) => {
                self.proxies[*at].unread = None;
                self.proxies[*at]
                    .connection
                    .take()
                    .into_iter()
                    .for_each(|connection| self.control_plane.connection_closed(connection));
            }
            Step::ProxyStalls(at, stalled) => {
                self.proxies[*at].stalled = *stalled;
                self.read_message(*at);
            }
            Step::EndpointDrains(at) => self.change_endpoint(*at, "draining", self.endpoints[*at].1),
            Step::EndpointIsRemoved(at) => self.change_endpoint(*at, "removed", self.endpoints[*at].1),
            Step::EndpointStarts(at) => self.change_endpoint(*at, "up", self.unix_ms()),
            Step::CompleteList => {
                self.list_version += 1;
                self.report_list(true, &Simulation::entries(&self.endpoints));
            }
            Step::TimePasses(millis) => {
                let end = self.now + Duration::from_millis(*millis);
                while self.now < end {
                    self.now += Duration::from_millis(50);
                    self.decide();
                }
            }
            Step::ControllerRestarts => self.restart_controller(),
        }
    }

    fn unix_ms(&self) -> u64 {
        self.controller_started_unix_ms + self.now.as_millis() as u64
    }

    fn restart_controller(&mut self) {
        self.controller_started_unix_ms = self.unix_ms();
        self.now = Duration::ZERO;
        self.control_plane = Harness::without_endpoints().control_plane;
        self.acknowledgements.clear();
        for proxy in &mut self.proxies {
            proxy.connection = None;
            proxy.unread = None;
        }
        self.report_list(true, &Simulation::entries(&self.endpoints));
    }

    fn change_endpoint(&mut self, at: usize, state: &'static str, since: u64) {
        // At least one endpoint stays up.
        let others =
            self.endpoints.iter().enumerate().filter(|(other, (state, _))| *other != at && *state == "up");
        if state != "up" && others.count() == 0 {
            return;
        }
        self.endpoints[at] = (state, since);
        self.list_version += 1;
        self.report_list(false, &[entry(&format!("s-{at}"), state, since)]);
    }

    fn report_list(&mut self, is_complete: bool, entries: &[Value]) {
        let unix_ms = self.unix_ms();
        self.control_plane
            .update_endpoints(self.now, unix_ms, &list(self.list_version, is_complete, entries))
            .expect("valid list");
    }

    fn decide(&mut self) {
        for (connection, node, nonce) in std::mem::take(&mut self.acknowledgements) {
            let done = json!({"t": "done", "node": node, "nonce": nonce, "latency": 50.0});
            self.control_plane.line_received(self.now, connection, done.to_string().as_bytes());
        }
        for effect in self.control_plane.decide(self.now) {
            match effect {
                Effect::Write { connection, text } => {
                    let at = self.proxies.iter().position(|proxy| proxy.connection == Some(connection));
                    let at = at.expect("message goes to an attached proxy");
                    assert!(
                        self.proxies[at].unread.replace(text).is_none(),
                        "second message before the first was read"
                    );
                    self.read_message(at);
                }
                Effect::CheckHealth { endpoint, address } => {
                    self.control_plane.health_check_finished(
                        self.now,
                        endpoint,
                        address,
                        HealthCheckOutcome::Passed(Some(0.3)),
                        Duration::ZERO,
                    );
                }
                Effect::Close { .. } | Effect::Abort { .. } | Effect::FinalRead { .. } => {}
            }
        }
    }

    fn read_message(&mut self, at: usize) {
        let proxy = &mut self.proxies[at];
        let (Some(connection), false) = (proxy.connection, proxy.stalled) else { return };
        let Some(text) = proxy.unread.take() else { return };
        for line in text.lines() {
            let part: Value = serde_json::from_str(line).expect("a part");
            let names = |field: &str| -> Vec<String> {
                let all = part[field].as_array().into_iter().flatten();
                all.filter_map(|name| name.as_str().map(String::from)).collect()
            };
            if part["full"] == true {
                proxy.table.clear();
                proxy.has_table = true;
            }
            for line in part["endpoints"].as_array().into_iter().flatten() {
                proxy
                    .table
                    .insert(line[0].as_str().expect("a name").into(), line[1].as_f64().expect("a weight"));
            }
            proxy.table.retain(|_, weight| *weight > 0.0);
            proxy.ejected.extend(names("eject"));
            names("restore").iter().for_each(|name| {
                proxy.ejected.remove(name);
            });
            self.acknowledgements.extend(part["nonce_out"].as_u64().map(|nonce| (connection, at, nonce)));
        }
        self.control_plane.write_completed(connection);
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..PROXIES).prop_map(Step::ProxyAttaches),
        1 => (0..PROXIES).prop_map(Step::ProxyDetaches),
        1 => (0..PROXIES, any::<bool>()).prop_map(|(at, stalled)| Step::ProxyStalls(at, stalled)),
        1 => (0..ENDPOINTS).prop_map(Step::EndpointDrains),
        1 => (0..ENDPOINTS).prop_map(Step::EndpointIsRemoved),
        2 => (0..ENDPOINTS).prop_map(Step::EndpointStarts),
        1 => Just(Step::CompleteList),
        4 => (0..40_u64).prop_map(|steps| Step::TimePasses(steps * 100)),
        1 => Just(Step::ControllerRestarts),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn attached_proxies_converge_to_the_published_state(steps in prop::collection::vec(any_step(), 1..40)) {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.run(step));
        (0..PROXIES).for_each(|at| simulation.run(&Step::ProxyStalls(at, false)));
        // Long enough for slow start, the start-up hold and updates that are delayed by the rate limit.
        simulation.run(&Step::TimePasses(40_000));
        let attached: Vec<&Proxy> = simulation.proxies.iter().filter(|proxy| proxy.connection.is_some()).collect();
        for proxy in &attached {
            prop_assert_eq!(&proxy.table, &attached[0].table);
            for (at, (state, _)) in simulation.endpoints.iter().enumerate() {
                let name = format!("s-{at}");
                let may_send = proxy.table.contains_key(&name) && !proxy.ejected.contains(&name);
                prop_assert_eq!(may_send, *state == "up", "{} is {}", name, state);
            }
        }
    }
}
