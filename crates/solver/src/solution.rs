//! The result of solving a problem: weights, planned work, admission rates and the objective.

/// The greatest weight. Weights are integers from 0 to this.
pub const MAX_WEIGHT: u32 = 256;

/// Weights and the plan that they are derived from. Work is in seconds of one core per second, that is, in cores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Solution {
    /// Weight of each endpoint, from 0 to [`MAX_WEIGHT`].
    pub weights: Vec<u32>,
    /// Planned work by class and then by zone of the proxies. Lists only the endpoints that have a part of this work,
    /// in ascending order of their indices.
    pub planned_work: Vec<Vec<Vec<PlannedWork>>>,
    /// Planned work of each endpoint, in cores.
    pub loads: Vec<f64>,
    /// Admission rate of each class, from 0 to 1.
    pub admission_rates: Vec<f64>,
    /// The classes that are not fully admitted, with the reason.
    pub shed: Vec<ShedReason>,
    /// The objective value of the plan, by its terms.
    pub objective: Objective,
}

/// Work of one class and zone that is planned for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedWork {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// Planned work, in cores.
    pub work: f64,
}

impl Solution {
    /// Returns the endpoints, with weights from 1 to [`MAX_WEIGHT`], of a table that serves only one class in one zone
    /// of proxies. Endpoints whose weight rounds to 0 are left out.
    ///
    /// # Panics
    /// Panics if the problem had no such class or zone.
    #[must_use]
    pub fn table_weights(&self, class: usize, zone: usize) -> Vec<(usize, u32)> {
        let planned = &self.planned_work[class][zone];
        let work: Vec<f64> = planned.iter().map(|planned| planned.work).collect();
        let endpoints = planned.iter().map(|planned| planned.endpoint);
        endpoints.zip(to_weights(&work)).filter(|(_, weight)| *weight > 0).collect()
    }
}

/// The reason why requests of a class are shed.
#[derive(Clone, Debug, PartialEq)]
pub struct ShedReason {
    /// Index of the class.
    pub class: usize,
    /// Shed requests per second.
    pub request_rate: f64,
    /// Additional cores that would serve the shed requests, if they were added to the endpoints that the class may use
    /// and were utilized as much as the present ones.
    pub missing_capacity: f64,
    /// Available cores of the endpoints that the class may use.
    pub capacity: f64,
    /// Indices of the other classes with planned work in the endpoint groups that the class may use.
    pub competing_classes: Vec<usize>,
}

/// The terms of the objective, in value per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Objective {
    /// Value of the admitted requests.
    pub value: f64,
    /// Cost of requests that cross zones.
    pub crossing_cost: f64,
    /// Cost of latency: late work, and uneven loads.
    pub latency_cost: f64,
}

impl Objective {
    /// Returns the value less all costs, which the plan maximizes.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.value - self.crossing_cost - self.latency_cost
    }
}

/// Scales numbers so that the greatest becomes [`MAX_WEIGHT`], and rounds them to integer weights. Numbers far below
/// the greatest round to 0. All weights are 0 if no number is positive.
pub(crate) fn to_weights(shares: &[f64]) -> Vec<u32> {
    let max = shares.iter().copied().fold(0.0, f64::max);
    if max <= 0.0 {
        return vec![0; shares.len()];
    }
    shares.iter().map(|share| (share / max * f64::from(MAX_WEIGHT)).round() as u32).collect()
}
