//! What is to be solved: servers, classes, demand.

use std::fmt;

/// A server, by its place in [`Problem::servers`].
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Place among the zones.
    pub zone: usize,
    /// Work that it does in a second once it is warm, in seconds of one core: its cores, for short.
    pub capacity: f64,
    /// The share of its capacity that it has now; below 1 while it is cold.
    pub warmth: f64,
    /// Takes nothing: withdrawn, draining, or down.
    pub withdrawn: bool,
}

impl Endpoint {
    /// Cores that it has now.
    pub fn room(&self) -> f64 {
        if self.withdrawn { 0.0 } else { self.capacity * self.warmth }
    }
}

/// A class of visits.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Seconds of one core that a visit takes.
    pub work: f64,
    /// Seconds within which an answer is on time.
    pub contract_time: f64,
    /// What a visit earns that is answered on time.
    pub earnings: f64,
    /// Servers that it may use, by zone; empty: all zones.
    pub zones: Vec<usize>,
    /// Servers that it may use, by place; none stated: all of its zones. A list without a member is one.
    pub servers: Option<Vec<usize>>,
    /// Visits a second, by zone of the proxies that they come to.
    pub demand: Vec<f64>,
}

/// All that weights are worked out from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    pub zones: usize,
    pub servers: Vec<Endpoint>,
    pub classes: Vec<Class>,
    /// What a visit that crosses zones costs, in earnings.
    pub crossing: f64,
}

/// What is wrong with a problem, and with which entry of it.
#[derive(Clone, Debug, PartialEq)]
pub enum ProblemError {
    /// Endpoint, figure, value: below 0, above what whole numbers hold, or not a number.
    Endpoint(usize, &'static str, f64),
    /// Class, figure, value.
    Class(usize, &'static str, f64),
    /// Class, its list, the entry that is not there.
    Place(usize, &'static str, usize),
    Crossing(f64),
}

impl fmt::Display for ProblemError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProblemError::Endpoint(server, what, value) => write!(out, "server {server}: {what} {value}"),
            ProblemError::Class(class, what, value) => write!(out, "class {class}: {what} {value}"),
            ProblemError::Place(class, what, place) => write!(out, "class {class}: no such {what}: {place}"),
            ProblemError::Crossing(value) => write!(out, "crossing {value}"),
        }
    }
}

impl std::error::Error for ProblemError {}

/// Sums of all servers' work stay whole numbers of [`UNIT`] far below what is exact.
const MOST: f64 = 1e9;
/// Figures that divide may not be smaller.
const LEAST: f64 = 1e-6;

/// Whole units in a second of work: a microsecond of one core.
pub(crate) const UNIT: f64 = 1e6;

/// Work in whole units.
pub(crate) fn units(work: f64) -> i64 {
    (work * UNIT).round() as i64
}

impl Problem {
    /// # Errors
    /// The first entry that makes no sense.
    pub fn check(&self) -> Result<(), ProblemError> {
        let sound = |value: f64| value.is_finite() && (0.0..=MOST).contains(&value);
        for (place, server) in self.servers.iter().enumerate() {
            if server.zone >= self.zones {
                return Err(ProblemError::Endpoint(place, "zone", server.zone as f64));
            }
            if !sound(server.capacity) {
                return Err(ProblemError::Endpoint(place, "capacity", server.capacity));
            }
            if !(0.0..=1.0).contains(&server.warmth) {
                return Err(ProblemError::Endpoint(place, "warmth", server.warmth));
            }
        }
        for (place, class) in self.classes.iter().enumerate() {
            let least = |value: f64| sound(value) && value >= LEAST;
            let figures = [("work", class.work), ("contract time", class.contract_time)];
            if let Some((what, value)) = figures.into_iter().find(|(_, value)| !least(*value)) {
                return Err(ProblemError::Class(place, what, value));
            }
            if !sound(class.earnings) {
                return Err(ProblemError::Class(place, "earnings", class.earnings));
            }
            if class.demand.len() != self.zones {
                return Err(ProblemError::Class(place, "zones of demand", class.demand.len() as f64));
            }
            if let Some(value) = class.demand.iter().find(|value| !sound(**value * class.work)) {
                return Err(ProblemError::Class(place, "demand", *value));
            }
            if let Some(zone) = class.zones.iter().find(|zone| **zone >= self.zones) {
                return Err(ProblemError::Place(place, "zone", *zone));
            }
            if let Some(server) = class.servers.iter().flatten().find(|server| **server >= self.servers.len())
            {
                return Err(ProblemError::Place(place, "server", *server));
            }
        }
        if sound(self.crossing) { Ok(()) } else { Err(ProblemError::Crossing(self.crossing)) }
    }

    /// Work that a server can do in a second now, in whole units.
    pub(crate) fn room(&self, server: usize) -> i64 {
        units(self.servers[server].room())
    }

    /// Work that a class asks for in a zone in a second, in whole units.
    pub(crate) fn asked(&self, class: usize, zone: usize) -> i64 {
        units(self.classes[class].demand[zone] * self.classes[class].work)
    }

    /// Earnings that a unit of a class's work brings, less the crossing.
    pub(crate) fn gain(&self, class: usize, crosses: bool) -> f64 {
        let Class { earnings, work, .. } = self.classes[class];
        (earnings - if crosses { self.crossing } else { 0.0 }) / work
    }
}
