//! What given weights are worth: requests spread by them, and work beyond an endpoint's capacity is lost.

use crate::endpoint_group::{EndpointGroup, group_endpoints};
use crate::latency::{late_fraction, mean_unit_value, steepness};
use crate::problem::{Problem, UNITS_PER_CORE};

/// How the requests of a problem spread by weights. Made once, for as many weights as are to be compared.
pub struct LoadDistribution<'a> {
    problem: &'a Problem,
    groups: Vec<GroupWithSteepness>,
    /// The mean value of a unit of work.
    unit_value: f64,
}

struct GroupWithSteepness {
    group: EndpointGroup,
    steepness: f64,
}

impl<'a> LoadDistribution<'a> {
    /// The distribution of a problem's requests.
    #[must_use]
    pub fn new(problem: &'a Problem) -> Self {
        let with_steepness =
            |group: EndpointGroup| GroupWithSteepness { steepness: steepness(problem, &group), group };
        LoadDistribution {
            problem,
            groups: group_endpoints(problem).into_iter().map(with_steepness).collect(),
            unit_value: mean_unit_value(problem),
        }
    }

    /// The work of each endpoint in cores, where the admitted requests spread by weight alone over all endpoints that
    /// their class may use. A class without an admission rate is admitted in full.
    #[must_use]
    pub fn loads(&self, weights: &[u32], admission_rates: &[f64]) -> Vec<f64> {
        let problem = self.problem;
        let mut loads = vec![0.0; problem.endpoints.len()];
        for class in 0..problem.classes.len() {
            let asked: i64 = (0..problem.zone_count).map(|zone| problem.asked_units(class, zone)).sum();
            let groups = self.groups.iter().map(|entry| &entry.group);
            let usable = groups.filter(|group| group.is_usable_by(class));
            let endpoints = usable.flat_map(|group| &group.endpoints);
            let total_weight: f64 = endpoints.clone().map(|endpoint| f64::from(weights[*endpoint])).sum();
            if total_weight > 0.0 {
                let admission_rate = admission_rates.get(class).copied().unwrap_or(1.0);
                let work_per_weight = asked as f64 / UNITS_PER_CORE * admission_rate / total_weight;
                endpoints.for_each(|endpoint| {
                    loads[*endpoint] += work_per_weight * f64::from(weights[*endpoint]);
                });
            }
        }
        loads
    }

    /// Value a second: the work that is done within its latency objective, at the mean value of work.
    #[must_use]
    pub fn value(&self, weights: &[u32], admission_rates: &[f64]) -> f64 {
        let loads = self.loads(weights, admission_rates);
        let timely_work = |entry: &GroupWithSteepness| -> f64 {
            let endpoints = entry.group.endpoints.iter();
            endpoints.map(|endpoint| self.timely_work(*endpoint, loads[*endpoint], entry.steepness)).sum()
        };
        self.groups.iter().map(timely_work).sum::<f64>() * self.unit_value
    }

    /// The work of an endpoint that is done within its latency objective.
    fn timely_work(&self, endpoint: usize, load: f64, steepness: f64) -> f64 {
        let capacity = self.problem.capacity_units(endpoint) as f64 / UNITS_PER_CORE;
        let utilization = load / capacity;
        // Beyond its capacity an endpoint falls behind, and everything in its queue is late.
        if utilization >= 1.0 { 0.0 } else { load * (1.0 - late_fraction(utilization, steepness)) }
    }
}
