//! What each relay held, worked out again from the orders that passed on its socket.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A line as the orders left it: weight, and whether it is kept from visits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Line {
    weight: u32,
    barred: bool,
}

/// One relay, followed by its tap.
#[derive(Clone, Debug, Default)]
pub struct ObservedState {
    backends: BTreeMap<String, BTreeMap<String, Line>>,
    /// Every state that a backend was in, with the version of the set that brought it about; a proxy
    /// that starts anew counts anew.
    past: Vec<(String, u64, Vec<String>)>,
    /// Where in it the proxy's present life begins.
    life: usize,
    version: u64,
    map: BTreeMap<String, String>,
    /// Withdrawn by the pilot whose tables it holds, where it reads files.
    withdrawn: BTreeSet<String>,
    open: usize,
    stalled: bool,
    /// Since when it follows a pilot: its stream stands and it takes orders.
    pub joined: Option<Duration>,
}

impl ObservedState {
    /// It started with this standing table.
    pub fn standing(&mut self, servers: &[String], classes: &[String]) {
        let line = |name: &String| (name.clone(), Line { weight: 256, barred: false });
        self.backends = BTreeMap::from([("standing".into(), servers.iter().map(line).collect())]);
        (self.version, self.life) = (0, self.past.len());
        self.withdrawn.clear();
        self.remember(true);
        self.map = classes.iter().map(|class| (class.clone(), "standing".into())).collect();
    }

    pub fn stream(&mut self, at: Duration, open: bool) {
        self.open = if open { self.open + 1 } else { self.open.saturating_sub(1) };
        self.follow(at);
    }

    pub fn stall(&mut self, at: Duration, on: bool) {
        self.stalled = on;
        self.follow(at);
    }

    fn follow(&mut self, at: Duration) {
        let follows = self.open > 0 && !self.stalled;
        self.joined = if follows { self.joined.or(Some(at)) } else { None };
    }

    /// A line of orders with its answers; it changes something only if all of it was carried out.
    pub fn set(&mut self, orders: &[(String, String)]) {
        if orders.iter().all(|(_, answer)| done(answer)) {
            orders.iter().for_each(|(command, _)| self.carry_out(command));
            self.version += 1;
            self.remember(false);
        }
    }

    /// A generation of files; without an entry in the map the tables stay, and its withdrawals come to those before.
    pub fn laid(
        &mut self,
        set: u64,
        tables: &[(String, Vec<(String, u32)>)],
        map: &[(String, String)],
        withdrawn: &[String],
    ) {
        let mut barred: BTreeSet<String> = withdrawn.iter().cloned().collect();
        if map.is_empty() {
            barred.extend(self.withdrawn.iter().cloned());
        } else {
            self.withdrawn.clone_from(&barred);
            self.backends.retain(|name, _| name == "standing");
            for (name, lines) in tables {
                let line = |(server, weight): &(String, u32)| {
                    (server.clone(), Line { weight: *weight, barred: false })
                };
                self.backends.insert(name.clone(), lines.iter().map(line).collect());
            }
            self.map.extend(map.iter().cloned());
        }
        for (server, line) in self.backends.values_mut().flatten() {
            line.barred = barred.contains(server);
        }
        if set > 0 {
            self.version = set;
            self.remember(true);
        }
    }

    /// Backends that are not as they were last; all of them where lines without visits may have come or gone,
    /// which makes a version too.
    fn remember(&mut self, all: bool) {
        for (name, lines) in &self.backends {
            let open = lines.iter().filter(|(_, line)| line.weight > 0 && !line.barred);
            let open: Vec<String> = open.map(|(server, line)| format!("{server}={}", line.weight)).collect();
            let last = self.past[self.life..].iter().rev().find(|(past, ..)| past == name);
            if all || last.is_none_or(|(_, _, lines)| *lines != open) {
                self.past.push((name.clone(), self.version, open));
            }
        }
    }

    /// Whether the table in this state, as `t0@17`, has a line for the server that may be picked.
    pub fn could_pick(&self, table: &str, server: &str) -> bool {
        let Some((backend, version)) = table.split_once('@') else { return false };
        let of = |(name, at, _): &&(String, u64, Vec<String>)| name == backend && version.parse() == Ok(*at);
        let is = |line: &String| line.split('=').next() == Some(server);
        self.past.iter().filter(of).any(|(_, _, lines)| lines.iter().any(is))
    }

    /// The lines of a table in this state with their weights, if it was in one such state only.
    pub fn weights(&self, table: &str) -> Option<BTreeMap<String, u32>> {
        let (backend, version) = table.split_once('@')?;
        let of = |(name, at, _): &&(String, u64, Vec<String>)| name == backend && version.parse() == Ok(*at);
        let mut states = self.past.iter().filter(of);
        let (_, _, lines) = states.next().filter(|_| states.next().is_none())?;
        let line =
            |line: &String| line.split_once('=').and_then(|(name, w)| Some((name.into(), w.parse().ok()?)));
        lines.iter().map(line).collect()
    }

    fn carry_out(&mut self, command: &str) {
        let words: Vec<&str> = command.split(' ').collect();
        match words[..] {
            ["add", "server", place, _, "weight", weight] => {
                let line = Line { weight: weight.parse().unwrap_or(0), barred: true };
                let (backend, server) = split(place);
                self.backends.entry(backend).or_default().insert(server, line);
            }
            ["del", "server", place] => {
                let (backend, server) = split(place);
                self.backends.entry(backend).or_default().remove(&server);
            }
            ["set", "server", place, "weight", weight] => {
                self.at(place, |line| line.weight = weight.parse().unwrap_or(0));
            }
            ["set", "server", place, "state", state] => {
                self.at(place, |line| line.barred = state != "ready");
            }
            ["set" | "add", "map", "classes", class, backend] => {
                self.map.insert(class.into(), backend.into());
            }
            _ => {}
        }
    }

    fn at(&mut self, place: &str, change: impl FnOnce(&mut Line)) {
        let (backend, server) = split(place);
        if let Some(line) = self.backends.get_mut(&backend).and_then(|lines| lines.get_mut(&server)) {
            change(line);
        }
    }

    /// Whether some class has no line that it could pick.
    pub fn bare(&self) -> bool {
        self.map.values().any(|backend| {
            let lines = self.backends.get(backend);
            !lines.is_some_and(|lines| lines.values().any(|line| line.weight > 0 && !line.barred))
        })
    }
}

/// Whether an answer is the guide's word of success.
fn done(answer: &str) -> bool {
    let words = ["New server registered", "Server deleted", "address changed", "nothing changed"];
    answer.is_empty() || words.iter().any(|word| answer.starts_with(word))
}

fn split(place: &str) -> (String, String) {
    let (backend, server) = place.split_once('/').unwrap_or((place, ""));
    (backend.into(), server.into())
}
