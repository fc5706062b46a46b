//! What is to be solved: endpoints, classes and their demand.

/// An endpoint; others refer to it by its index in [`Problem::endpoints`].
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Index of its zone.
    pub zone: usize,
    /// Cores: the work that it does in a second after slow start, in seconds of one core.
    pub capacity: f64,
    /// The fraction of its capacity that it has now; below 1 during slow start.
    pub slow_start_factor: f64,
    /// It takes no requests: ejected, draining or down.
    pub is_unavailable: bool,
}

impl Endpoint {
    /// The cores that it has now.
    #[must_use]
    pub fn available_capacity(&self) -> f64 {
        if self.is_unavailable { 0.0 } else { self.capacity * self.slow_start_factor }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Work of a request, in seconds of one core.
    pub work: f64,
    /// Latency objective in seconds.
    pub latency_objective: f64,
    /// Value of a request that is answered within the latency objective.
    pub value: f64,
    /// Zones whose endpoints it may use; empty for all.
    pub allowed_zones: Vec<usize>,
    /// Endpoints that it may use; `None` for all of its zones. An empty list stands for none.
    pub allowed_endpoints: Option<Vec<usize>>,
    /// Requests a second, by zone of the proxies that receive them.
    pub demand: Vec<f64>,
}

/// The input of the solver.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    /// Number of zones.
    pub zone_count: usize,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The classes.
    pub classes: Vec<Class>,
    /// Cost of a request that crosses zones, in the unit of [`Class::value`].
    pub crossing_cost: f64,
}

/// What is wrong with a problem.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProblemError {
    /// An endpoint's value is out of its range: index of the endpoint, name of the value, value.
    #[error("server {0}: {1} {2}")]
    InvalidEndpoint(usize, &'static str, f64),
    /// A class's value is out of its range: index of the class, name of the value, value.
    #[error("class {0}: {1} {2}")]
    InvalidClass(usize, &'static str, f64),
    /// A class refers to something that does not exist: index of the class, what it is, the index in question.
    #[error("class {0}: no such {1}: {2}")]
    IndexOutOfRange(usize, &'static str, usize),
    /// The cost of crossing zones is out of its range.
    #[error("crossing {0}")]
    InvalidCrossingCost(f64),
}

/// The greatest value that is accepted. Sums of all work in whole units stay far below what is exact.
const MAX_VALUE: f64 = 1e9;
/// The least value that is accepted as a divisor.
const MIN_DIVISOR: f64 = 1e-6;

/// Whole units in a second of work on one core: a unit is a microsecond.
pub(crate) const UNITS_PER_CORE: f64 = 1e6;

/// Work in whole units.
fn to_units(work: f64) -> i64 {
    (work * UNITS_PER_CORE).round() as i64
}

fn is_valid(value: f64) -> bool {
    value.is_finite() && (0.0..=MAX_VALUE).contains(&value)
}

impl Problem {
    /// Checks all values.
    ///
    /// # Errors
    /// The first value that is out of its range.
    pub fn validate(&self) -> Result<(), ProblemError> {
        for index in 0..self.endpoints.len() {
            self.check_endpoint(index)?;
        }
        for index in 0..self.classes.len() {
            self.check_class(index)?;
        }
        if is_valid(self.crossing_cost) {
            Ok(())
        } else {
            Err(ProblemError::InvalidCrossingCost(self.crossing_cost))
        }
    }

    fn check_endpoint(&self, index: usize) -> Result<(), ProblemError> {
        let endpoint = &self.endpoints[index];
        if endpoint.zone >= self.zone_count {
            return Err(ProblemError::InvalidEndpoint(index, "zone", endpoint.zone as f64));
        }
        if !is_valid(endpoint.capacity) {
            return Err(ProblemError::InvalidEndpoint(index, "capacity", endpoint.capacity));
        }
        if !(0.0..=1.0).contains(&endpoint.slow_start_factor) {
            return Err(ProblemError::InvalidEndpoint(index, "warmth", endpoint.slow_start_factor));
        }
        Ok(())
    }

    fn check_class(&self, index: usize) -> Result<(), ProblemError> {
        let class = &self.classes[index];
        for (name, value) in [("work", class.work), ("contract time", class.latency_objective)] {
            if !is_valid(value) || value < MIN_DIVISOR {
                return Err(ProblemError::InvalidClass(index, name, value));
            }
        }
        if !is_valid(class.value) {
            return Err(ProblemError::InvalidClass(index, "earnings", class.value));
        }
        if class.demand.len() != self.zone_count {
            return Err(ProblemError::InvalidClass(index, "zones of demand", class.demand.len() as f64));
        }
        if let Some(demand) = class.demand.iter().find(|demand| !is_valid(**demand * class.work)) {
            return Err(ProblemError::InvalidClass(index, "demand", *demand));
        }
        if let Some(zone) = class.allowed_zones.iter().find(|zone| **zone >= self.zone_count) {
            return Err(ProblemError::IndexOutOfRange(index, "zone", *zone));
        }
        let mut endpoints = class.allowed_endpoints.iter().flatten();
        if let Some(endpoint) = endpoints.find(|endpoint| **endpoint >= self.endpoints.len()) {
            return Err(ProblemError::IndexOutOfRange(index, "server", *endpoint));
        }
        Ok(())
    }

    /// The present capacity of an endpoint, in whole units of work a second.
    pub(crate) fn capacity_units(&self, endpoint: usize) -> i64 {
        to_units(self.endpoints[endpoint].available_capacity())
    }

    /// The work that a class asks for in a zone, in whole units a second.
    pub(crate) fn asked_units(&self, class: usize, zone: usize) -> i64 {
        to_units(self.classes[class].demand[zone] * self.classes[class].work)
    }

    /// The value of a second of a class's work, less the cost of crossing zones if it does.
    pub(crate) fn unit_gain(&self, class: usize, crosses_zones: bool) -> f64 {
        let class = &self.classes[class];
        let crossing_cost = if crosses_zones { self.crossing_cost } else { 0.0 };
        (class.value - crossing_cost) / class.work
    }
}
