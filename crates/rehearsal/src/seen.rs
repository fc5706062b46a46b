//! What each relay held, worked out again from the orders that passed on its socket.

use std::collections::BTreeMap;
use std::time::Duration;

/// A line as the orders left it: weight, and whether it is kept from visits.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    weight: u32,
    barred: bool,
}

/// One relay, followed by its tap.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    backends: BTreeMap<String, BTreeMap<String, Line>>,
    map: BTreeMap<String, String>,
    open: usize,
    stalled: bool,
    /// Since when it follows a pilot: its stream stands and it takes orders.
    pub joined: Option<Duration>,
}

impl Seen {
    /// It started with this standing table.
    pub fn standing(&mut self, servers: &[String], classes: &[String]) {
        let line = |name: &String| (name.clone(), Line { weight: 256, barred: false });
        self.backends = BTreeMap::from([("standing".into(), servers.iter().map(line).collect())]);
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

    /// A command and its answer; only those that were carried out change anything.
    pub fn order(&mut self, command: &str, answer: &str) {
        let words: Vec<&str> = command.split(' ').collect();
        match words[..] {
            ["add", "server", place, _, "weight", weight] if answer.starts_with("New server") => {
                let line = Line { weight: weight.parse().unwrap_or(0), barred: true };
                let (backend, server) = split(place);
                self.backends.entry(backend).or_default().insert(server, line);
            }
            ["del", "server", place] if answer.starts_with("Server deleted") => {
                let (backend, server) = split(place);
                self.backends.entry(backend).or_default().remove(&server);
            }
            ["set", "server", place, "weight", weight] if answer.is_empty() => {
                self.at(place, |line| line.weight = weight.parse().unwrap_or(0));
            }
            ["set", "server", place, "state", state] if answer.is_empty() => {
                self.at(place, |line| line.barred = state != "ready");
            }
            ["set", "map", "classes", class, backend] if answer.is_empty() => {
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

fn split(place: &str) -> (String, String) {
    let (backend, server) = place.split_once('/').unwrap_or((place, ""));
    (backend.into(), server.into())
}
