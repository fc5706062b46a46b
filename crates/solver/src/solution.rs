//! What the solver returns.

/// A weight is a number of steps, of which the greatest weight has this many.
pub const MAX_WEIGHT: u32 = 256;

/// Weights, and the plan that they follow from. Work is in seconds of one core in a second, that is, in cores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Solution {
    /// Weight by endpoint, in steps.
    pub weights: Vec<u32>,
    /// By class and then by zone of the proxies: the endpoints that are planned to do work of it, in their order.
    pub planned_work: Vec<Vec<Vec<PlannedWork>>>,
    /// Planned work of each endpoint.
    pub loads: Vec<f64>,
    /// Admission rate of each class, from 0 to 1.
    pub admission_rates: Vec<f64>,
    /// The classes that are not admitted in full, with the reason.
    pub shed: Vec<ShedReason>,
    /// The value of the plan.
    pub objective: Objective,
}

/// Work that an endpoint is planned to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedWork {
    /// Index of the endpoint.
    pub endpoint: usize,
    /// In cores.
    pub work: f64,
}

impl Solution {
    /// The table for one class and one zone of proxies alone: endpoints and their weights in steps.
    #[must_use]
    pub fn table_weights(&self, class: usize, zone: usize) -> Vec<(usize, u32)> {
        let planned = &self.planned_work[class][zone];
        let work: Vec<f64> = planned.iter().map(|planned| planned.work).collect();
        let endpoints = planned.iter().map(|planned| planned.endpoint);
        endpoints.zip(to_weight_steps(&work)).filter(|(_, weight)| *weight > 0).collect()
    }
}

/// Why requests of a class are shed.
#[derive(Clone, Debug, PartialEq)]
pub struct ShedReason {
    /// Index of the class.
    pub class: usize,
    /// Shed requests a second.
    pub request_rate: f64,
    /// Cores that would take them, among the endpoints of the class and as utilized as the present ones.
    pub missing_capacity: f64,
    /// Cores of the endpoints that the class may use.
    pub capacity: f64,
    /// Other classes that use these endpoints.
    pub competing_classes: Vec<usize>,
}

/// The objective by its parts, in value a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Objective {
    /// Value of the admitted requests.
    pub value: f64,
    /// Cost of requests that cross zones.
    pub crossing_cost: f64,
    /// Cost of latency.
    pub latency_cost: f64,
}

impl Objective {
    /// Value less costs; the plan maximizes this.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.value - self.crossing_cost - self.latency_cost
    }
}

/// Rounds parts to weights, the greatest to [`MAX_WEIGHT`]. A part that is far smaller than the greatest gets 0.
pub(crate) fn to_weight_steps(parts: &[f64]) -> Vec<u32> {
    let max = parts.iter().copied().fold(0.0, f64::max);
    if max <= 0.0 {
        return vec![0; parts.len()];
    }
    parts.iter().map(|part| (part / max * f64::from(MAX_WEIGHT)).round() as u32).collect()
}
