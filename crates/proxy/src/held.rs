//! Tables, levels and shunning at one proxy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::choose::Wheel;
use crate::tries::Ending;

/// The backend that holds a proxy's standing table.
pub const STANDING: &str = "standing";

/// The guide's mean runs over so many tries.
const MEAN_OVER: f64 = 1024.0;

/// A line of a backend.
#[derive(Clone, Debug)]
pub struct Line {
    pub name: String,
    pub address: SocketAddr,
    pub weight: u32,
    pub first_weight: u32,
    /// Takes no visits, whatever its weight: the guide's maintenance and drain.
    pub maint: bool,
    pub drain: bool,
    failed_in_row: u32,
    shunned_until: Duration,
    pub tries: u64,
    pub connect_failed: u64,
    pub answer_failed: u64,
    pub answered_5xx: u64,
    pub sum_ms: f64,
    pub mean_ms: f64,
}

impl Line {
    pub fn new(name: &str, address: SocketAddr, weight: u32, maint: bool) -> Self {
        Line {
            name: name.into(),
            address,
            weight,
            first_weight: weight,
            maint,
            drain: false,
            failed_in_row: 0,
            shunned_until: Duration::ZERO,
            tries: 0,
            connect_failed: 0,
            answer_failed: 0,
            answered_5xx: 0,
            sum_ms: 0.0,
            mean_ms: 0.0,
        }
    }

    pub fn open(&self) -> bool {
        self.weight > 0 && !self.maint && !self.drain
    }
}

#[derive(Clone, Debug, Default)]
pub struct Backend {
    pub lines: Vec<Line>,
    wheel: Wheel,
}

impl Backend {
    pub fn line(&mut self, name: &str) -> Option<&mut Line> {
        self.lines.iter_mut().find(|line| line.name == name)
    }
}

/// What a proxy does of itself.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// It keeps away from a server after so many failures of its own in a row; 0: never.
    pub shuns_after: u32,
    pub shuns_for: Duration,
}

/// A line that was chosen for a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    pub backend: String,
    pub server: String,
    pub address: SocketAddr,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Front {
    pub visits: u64,
    pub denied: u64,
}

/// All that a proxy holds.
#[derive(Clone, Debug)]
pub struct Held {
    pub name: String,
    pub limits: Limits,
    pub backends: BTreeMap<String, Backend>,
    /// Class to backend; the map `classes`.
    pub map: BTreeMap<String, String>,
    /// Versions of the map that are being prepared.
    pub prepared: BTreeMap<u64, BTreeMap<String, String>>,
    pub versions: u64,
    pub vars: BTreeMap<String, i64>,
    pub fronts: BTreeMap<String, Front>,
}

impl Held {
    /// A proxy as it starts: each class on the standing table.
    pub fn new(name: &str, classes: &[String], standing: &[(String, SocketAddr)], limits: Limits) -> Self {
        let lines = standing.iter().map(|(name, address)| Line::new(name, *address, 256, false));
        let backend = Backend { lines: lines.collect(), wheel: Wheel::default() };
        Held {
            name: name.into(),
            limits,
            backends: BTreeMap::from([(STANDING.to_string(), backend)]),
            map: classes.iter().map(|class| (class.clone(), STANDING.to_string())).collect(),
            prepared: BTreeMap::new(),
            versions: 0,
            vars: BTreeMap::new(),
            fronts: classes.iter().map(|class| (class.clone(), Front::default())).collect(),
        }
    }

    /// Counts a visit that came, and says whether the level of its class lets it in. The draw, from 0 up
    /// to 1, stays with the client, so that one who comes again is refused again.
    pub fn lets_in(&mut self, class: &str, draw: f64) -> bool {
        let level = self.var("level", class).unwrap_or(1000);
        let lets_in = draw * 1000.0 < level as f64;
        if let Some(front) = self.fronts.get_mut(class) {
            front.visits += 1;
            front.denied += u64::from(!lets_in);
        }
        lets_in
    }

    /// Whether the class's visits may be tried again after proof.
    pub fn tries_again(&self, class: &str) -> bool {
        self.var("again", class) == Some(1)
    }

    fn var(&self, what: &str, class: &str) -> Option<i64> {
        self.vars.get(&format!("proc.{what}_{}", class.replace('-', "_"))).copied()
    }

    /// The line for the next try: open, not shunned, and not the one that was tried already.
    pub fn choose(&mut self, now: Duration, class: &str, not: Option<&str>) -> Option<Chosen> {
        let name = self.map.get(class)?;
        let Backend { lines, wheel } = self.backends.get_mut(name)?;
        let free = |line: &Line| line.open() && line.shunned_until <= now && Some(line.name.as_str()) != not;
        let weights: Vec<u32> = lines.iter().map(|line| if free(line) { line.weight } else { 0 }).collect();
        let line = &lines[wheel.next(&weights)?];
        Some(Chosen { backend: name.clone(), server: line.name.clone(), address: line.address })
    }

    /// How a try ended; after so many failures in a row the server is shunned.
    pub fn ended(&mut self, now: Duration, chosen: &Chosen, ending: Ending, took: Duration) {
        let Limits { shuns_after, shuns_for } = self.limits;
        let Some(line) = self.backends.get_mut(&chosen.backend).and_then(|b| b.line(&chosen.server)) else {
            return;
        };
        line.tries += 1;
        match ending {
            Ending::Refused => line.connect_failed += 1,
            Ending::Broken | Ending::Late => line.answer_failed += 1,
            Ending::TurnedAway => line.answered_5xx += 1,
            Ending::Answered(status) if status >= 500 => line.answered_5xx += 1,
            Ending::Answered(_) => {
                let ms = took.as_secs_f64() * 1e3;
                line.sum_ms += ms;
                line.mean_ms += (ms - line.mean_ms) / (line.tries as f64).min(MEAN_OVER);
            }
        }
        line.failed_in_row = if ending.failed() { line.failed_in_row + 1 } else { 0 };
        if shuns_after > 0 && line.failed_in_row >= shuns_after {
            (line.failed_in_row, line.shunned_until) = (0, now + shuns_for);
        }
    }

    /// Whether a class has a line that is open, shunned or not: what its orders left it.
    pub fn has_line(&self, class: &str) -> bool {
        let backend = self.map.get(class).and_then(|name| self.backends.get(name));
        backend.is_some_and(|backend| backend.lines.iter().any(Line::open))
    }
}
