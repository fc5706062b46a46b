//! The input of the solver: endpoints, classes and their demand.

/// An endpoint, identified by its index in [`Problem::endpoints`].
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Index of its zone, below [`Problem::zone_count`].
    pub zone: usize,
    /// Capacity after slow start, in cores: the seconds of work of one core that it completes per second.
    pub capacity: f64,
    /// The fraction of its capacity that is available now, from 0 to 1; below 1 during slow start.
    pub slow_start_factor: f64,
    /// True if it takes no requests because it is ejected, draining or down.
    pub is_unavailable: bool,
}

impl Endpoint {
    /// Returns the capacity that is available now, in cores.
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
    /// Value of a request that is served within the latency objective.
    pub value: f64,
    /// Indices of the zones whose endpoints it may use; empty for all zones.
    pub allowed_zones: Vec<usize>,
    /// Indices of the endpoints that it may use within its zones; `None` for all of them. With an empty list it may use
    /// no endpoint.
    pub allowed_endpoints: Option<Vec<usize>>,
    /// Requests per second, by zone of the proxies that receive them.
    pub demand: Vec<f64>,
}

/// The input of the solver.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Problem {
    /// Number of zones.
    pub zone_count: usize,
    /// The endpoints, by index.
    pub endpoints: Vec<Endpoint>,
    /// The classes, by index.
    pub classes: Vec<Class>,
    /// Cost of a request that crosses zones, in the unit of [`Class::value`].
    pub crossing_cost: f64,
}

/// The reason why a problem is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ProblemError {
    /// A value of an endpoint is out of range. Holds the index of the endpoint, the name of the value, and the value.
    #[error("endpoint {0}: {1} is out of range: {2}")]
    InvalidEndpoint(usize, &'static str, f64),
    /// A value of a class is out of range. Holds the index of the class, the name of the value, and the value.
    #[error("class {0}: {1} is out of range: {2}")]
    InvalidClass(usize, &'static str, f64),
    /// A class refers to a zone or an endpoint that does not exist. Holds the index of the class, the kind of the
    /// index, and the index.
    #[error("class {0}: unknown {1} index: {2}")]
    IndexOutOfRange(usize, &'static str, usize),
    /// The cost of crossing zones is out of range. Holds the cost.
    #[error("crossing cost is out of range: {0}")]
    InvalidCrossingCost(f64),
}

/// The greatest value that is accepted. It keeps sums of work in integer units well within the range of `i64`.
const MAX_VALUE: f64 = 1e9;
/// The least accepted value of a number that is used as a divisor.
const MIN_DIVISOR: f64 = 1e-6;

/// The number of integer units in a second of work on one core: a unit is a microsecond of work.
pub(crate) const UNITS_PER_CORE: f64 = 1e6;

/// Converts work from seconds of one core to integer units, rounded.
fn to_units(work: f64) -> i64 {
    (work * UNITS_PER_CORE).round() as i64
}

/// Returns true if a value is finite and from 0 to [`MAX_VALUE`].
fn is_valid(value: f64) -> bool {
    value.is_finite() && (0.0..=MAX_VALUE).contains(&value)
}

impl Problem {
    /// Checks that all values are in range and all indices exist.
    ///
    /// # Errors
    /// Returns an error for the first invalid value or index.
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
            return Err(ProblemError::InvalidEndpoint(index, "zone index", endpoint.zone as f64));
        }
        if !is_valid(endpoint.capacity) {
            return Err(ProblemError::InvalidEndpoint(index, "capacity", endpoint.capacity));
        }
        if !(0.0..=1.0).contains(&endpoint.slow_start_factor) {
            return Err(ProblemError::InvalidEndpoint(
                index,
                "slow start factor",
                endpoint.slow_start_factor,
            ));
        }
        Ok(())
    }

    fn check_class(&self, index: usize) -> Result<(), ProblemError> {
        let class = &self.classes[index];
        for (name, value) in [("work", class.work), ("latency objective", class.latency_objective)] {
            if !is_valid(value) || value < MIN_DIVISOR {
                return Err(ProblemError::InvalidClass(index, name, value));
            }
        }
        if !is_valid(class.value) {
            return Err(ProblemError::InvalidClass(index, "value", class.value));
        }
        if class.demand.len() != self.zone_count {
            return Err(ProblemError::InvalidClass(
                index,
                "number of zones in demand",
                class.demand.len() as f64,
            ));
        }
        if let Some(demand) = class.demand.iter().find(|demand| !is_valid(**demand * class.work)) {
            return Err(ProblemError::InvalidClass(index, "demand", *demand));
        }
        if let Some(zone) = class.allowed_zones.iter().find(|zone| **zone >= self.zone_count) {
            return Err(ProblemError::IndexOutOfRange(index, "zone", *zone));
        }
        let mut endpoints = class.allowed_endpoints.iter().flatten();
        if let Some(endpoint) = endpoints.find(|endpoint| **endpoint >= self.endpoints.len()) {
            return Err(ProblemError::IndexOutOfRange(index, "endpoint", *endpoint));
        }
        Ok(())
    }

    /// Returns the available capacity of an endpoint, in integer units of work per second.
    pub(crate) fn capacity_units(&self, endpoint: usize) -> i64 {
        to_units(self.endpoints[endpoint].available_capacity())
    }

    /// Returns the demand of a class in a zone of proxies, in integer units of work per second.
    pub(crate) fn demand_units(&self, class: usize, zone: usize) -> i64 {
        to_units(self.classes[class].demand[zone] * self.classes[class].work)
    }

    /// Returns the value of a second of work of a class on one core, less the cost of crossing zones if
    /// `crosses_zones`.
    pub(crate) fn work_gain(&self, class: usize, crosses_zones: bool) -> f64 {
        let class = &self.classes[class];
        let crossing_cost = if crosses_zones { self.crossing_cost } else { 0.0 };
        (class.value - crossing_cost) / class.work
    }
}
