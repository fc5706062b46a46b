//! Any order of lists, joinings, ends, decisions and messages that are written or not: in the end every joined proxy
//! has what is published, and none may send to a server that drains or is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_platform::{ConnectionId, ControlPlane, Effect};
use proptest::prelude::*;
use serde_json::{Value, json};

use crate::stage::{Stage, WALL, entry, list};

const SERVERS: usize = 6;
const PROXIES: usize = 4;

#[derive(Clone, Debug)]
enum Happening {
    Joins(usize),
    Ends(usize),
    /// Takes in nothing for now, or again.
    Stalls(usize, bool),
    Drains(usize),
    Goes(usize),
    Starts(usize),
    /// The whole list is told instead of a change.
    Whole,
    Passes(u64),
}

/// What a proxy holds; it keeps over a change of streams whom it shuts out, and its table.
#[derive(Default)]
struct Proxy {
    connection: Option<ConnectionId>,
    known: bool,
    table: BTreeMap<String, f64>,
    shut: BTreeSet<String>,
    stalled: bool,
    /// A message that it has not taken in yet.
    waiting: Option<String>,
}

struct World {
    control_plane: ControlPlane,
    now: Duration,
    index: u64,
    connection: ConnectionId,
    proxies: Vec<Proxy>,
    /// State and start of each server.
    servers: Vec<(&'static str, u64)>,
    answers: Vec<(ConnectionId, usize, u64)>,
}

impl World {
    fn new() -> Self {
        let mut stage = Stage::bare();
        let servers = vec![("up", 0); SERVERS];
        stage.list(&list(0, true, &World::entries(&servers)));
        let proxies = (0..PROXIES).map(|_| Proxy::default()).collect();
        let (control_plane, now) = (stage.control_plane, stage.now);
        World { control_plane, now, index: 0, connection: 0, proxies, servers, answers: Vec::new() }
    }

    fn entries(servers: &[(&str, u64)]) -> Vec<Value> {
        let here = servers.iter().enumerate().filter(|(_, (state, _))| *state != "removed");
        here.map(|(at, (state, since))| entry(&format!("s-{at}"), state, *since)).collect()
    }

    fn happen(&mut self, happening: &Happening) {
        match happening {
            Happening::Joins(at) => {
                self.connection += 1;
                let cold = !std::mem::replace(&mut self.proxies[*at].known, true);
                let line = json!({"t": "attach", "node": at, "locality": "a", "w": 5.0, "cold": cold});
                self.proxies[*at].connection = Some(self.connection);
                self.proxies[*at].waiting = None;
                self.control_plane.connection_accepted(self.now, self.connection);
                self.control_plane.line_received(self.now, self.connection, line.to_string().as_bytes());
            }
            Happening::Ends(at) => {
                self.proxies[*at].waiting = None;
                self.proxies[*at]
                    .connection
                    .take()
                    .into_iter()
                    .for_each(|it| self.control_plane.connection_closed(it));
            }
            Happening::Stalls(at, stalled) => {
                self.proxies[*at].stalled = *stalled;
                self.take_in(*at);
            }
            Happening::Drains(at) => self.changes(*at, "draining", self.servers[*at].1),
            Happening::Goes(at) => self.changes(*at, "removed", self.servers[*at].1),
            Happening::Starts(at) => self.changes(*at, "up", WALL + self.now.as_millis() as u64),
            Happening::Whole => {
                self.index += 1;
                self.tell(true, &World::entries(&self.servers));
            }
            Happening::Passes(millis) => {
                let end = self.now + Duration::from_millis(*millis);
                while self.now < end {
                    self.now += Duration::from_millis(50);
                    self.decide();
                }
            }
        }
    }

    fn changes(&mut self, at: usize, state: &'static str, since: u64) {
        // Somebody is always there.
        let others =
            self.servers.iter().enumerate().filter(|(other, (state, _))| *other != at && *state == "up");
        if state != "up" && others.count() == 0 {
            return;
        }
        self.servers[at] = (state, since);
        self.index += 1;
        self.tell(false, &[entry(&format!("s-{at}"), state, since)]);
    }

    fn tell(&mut self, whole: bool, entries: &[Value]) {
        let wall = WALL + self.now.as_millis() as u64;
        self.control_plane
            .update_endpoints(self.now, wall, &list(self.index, whole, entries))
            .expect("sound");
    }

    fn decide(&mut self) {
        for (connection, node, nonce) in std::mem::take(&mut self.answers) {
            let done = json!({"t": "done", "node": node, "nonce": nonce, "latency": 50.0});
            self.control_plane.line_received(self.now, connection, done.to_string().as_bytes());
        }
        for effect in self.control_plane.decide(self.now) {
            match effect {
                Effect::Write { connection, text } => {
                    let at = self.proxies.iter().position(|proxy| proxy.connection == Some(connection));
                    let at = at.expect("written to one that is joined");
                    assert!(self.proxies[at].waiting.replace(text).is_none(), "a second message at once");
                    self.take_in(at);
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

    fn take_in(&mut self, at: usize) {
        let proxy = &mut self.proxies[at];
        let (Some(connection), false) = (proxy.connection, proxy.stalled) else { return };
        let Some(text) = proxy.waiting.take() else { return };
        for line in text.lines() {
            let part: Value = serde_json::from_str(line).expect("a part");
            let names = |field: &str| -> Vec<String> {
                let all = part[field].as_array().into_iter().flatten();
                all.filter_map(|name| name.as_str().map(String::from)).collect()
            };
            if part["full"] == true {
                proxy.table.clear();
            }
            for line in part["endpoints"].as_array().into_iter().flatten() {
                proxy
                    .table
                    .insert(line[0].as_str().expect("a name").into(), line[1].as_f64().expect("a weight"));
            }
            proxy.table.retain(|_, weight| *weight > 0.0);
            proxy.shut.extend(names("eject"));
            names("restore").iter().for_each(|name| {
                proxy.shut.remove(name);
            });
            self.answers.extend(part["nonce_out"].as_u64().map(|nonce| (connection, at, nonce)));
        }
        self.control_plane.write_completed(connection);
    }
}

fn any_happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        3 => (0..PROXIES).prop_map(Happening::Joins),
        1 => (0..PROXIES).prop_map(Happening::Ends),
        1 => (0..PROXIES, any::<bool>()).prop_map(|(at, stalled)| Happening::Stalls(at, stalled)),
        1 => (0..SERVERS).prop_map(Happening::Drains),
        1 => (0..SERVERS).prop_map(Happening::Goes),
        2 => (0..SERVERS).prop_map(Happening::Starts),
        1 => Just(Happening::Whole),
        4 => (0..40_u64).prop_map(|steps| Happening::Passes(steps * 100)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]
    #[test]
    fn every_joined_proxy_ends_with_what_is_published(all in prop::collection::vec(any_happening(), 1..40)) {
        let mut world = World::new();
        all.iter().for_each(|happening| world.happen(happening));
        (0..PROXIES).for_each(|at| world.happen(&Happening::Stalls(at, false)));
        // A warm-up, a hold and what waits for messages' pace.
        world.happen(&Happening::Passes(40_000));
        let joined: Vec<&Proxy> = world.proxies.iter().filter(|proxy| proxy.connection.is_some()).collect();
        for proxy in &joined {
            prop_assert_eq!(&proxy.table, &joined[0].table);
            for (at, (state, _)) in world.servers.iter().enumerate() {
                let name = format!("s-{at}");
                let may_send = proxy.table.contains_key(&name) && !proxy.shut.contains(&name);
                prop_assert_eq!(may_send, *state == "up", "{} is {}", name, state);
            }
        }
    }
}
