//! Loads and value that result from given weights: requests are distributed by weight, and an overloaded endpoint
//! completes no work within its latency objective.

use crate::endpoint_group::{EndpointGroup, group_endpoints};
use crate::latency::{late_fraction, mean_work_value, steepness};
use crate::problem::{Problem, UNITS_PER_CORE};

/// Computes loads and value for a problem from weights. Can be used for any number of weights to compare.
pub struct LoadDistribution<'a> {
    problem: &'a Problem,
    groups: Vec<GroupWithSteepness>,
    /// The mean value of a second of work on one core.
    work_value: f64,
}

struct GroupWithSteepness {
    group: EndpointGroup,
    steepness: f64,
}

impl<'a> LoadDistribution<'a> {
    /// Returns the distribution of a problem's requests. The problem must be valid, see [`Problem::validate`].
    #[must_use]
    pub fn new(problem: &'a Problem) -> Self {
        let with_steepness =
            |group: EndpointGroup| GroupWithSteepness { steepness: steepness(problem, &group), group };
        LoadDistribution {
            problem,
            groups: group_endpoints(problem).into_iter().map(with_steepness).collect(),
            work_value: mean_work_value(problem),
        }
    }

    /// Returns the load of each endpoint in cores if the admitted requests are distributed by weight over all endpoints
    /// that their class may use. `weights` are by index of the endpoint, `admission_rates` by index of the class. A
    /// class without an admission rate is fully admitted.
    ///
    /// # Panics
    /// Panics if there are fewer weights than endpoints.
    #[must_use]
    pub fn loads(&self, weights: &[u32], admission_rates: &[f64]) -> Vec<f64> {
        let problem = self.problem;
        let mut loads = vec![0.0; problem.endpoints.len()];
        for class in 0..problem.classes.len() {
            let demand: i64 = (0..problem.zone_count).map(|zone| problem.demand_units(class, zone)).sum();
            let groups = self.groups.iter().map(|with_steepness| &with_steepness.group);
            let usable = groups.filter(|group| group.is_usable_by(class));
            let endpoints = usable.flat_map(|group| &group.endpoints);
            let total_weight: f64 = endpoints.clone().map(|endpoint| f64::from(weights[*endpoint])).sum();
            if total_weight > 0.0 {
                let admission_rate = admission_rates.get(class).copied().unwrap_or(1.0);
                let work_per_weight = demand as f64 / UNITS_PER_CORE * admission_rate / total_weight;
                endpoints.for_each(|endpoint| {
                    loads[*endpoint] += work_per_weight * f64::from(weights[*endpoint]);
                });
            }
        }
        loads
    }

    /// Returns the value per second: the work that is completed within its latency objective, at the mean value of
    /// work. The arguments are those of [`LoadDistribution::loads`].
    ///
    /// # Panics
    /// Panics if there are fewer weights than endpoints.
    #[must_use]
    pub fn value(&self, weights: &[u32], admission_rates: &[f64]) -> f64 {
        let loads = self.loads(weights, admission_rates);
        let timely_work = |member: &GroupWithSteepness| -> f64 {
            let endpoints = member.group.endpoints.iter();
            endpoints.map(|endpoint| self.timely_work(*endpoint, loads[*endpoint], member.steepness)).sum()
        };
        self.groups.iter().map(timely_work).sum::<f64>() * self.work_value
    }

    /// Returns the work that an endpoint completes within its latency objective, in cores.
    fn timely_work(&self, endpoint: usize, load: f64, steepness: f64) -> f64 {
        let capacity = self.problem.capacity_units(endpoint) as f64 / UNITS_PER_CORE;
        let utilization = load / capacity;
        // The queue of an overloaded endpoint grows without limit, so all of its requests are late.
        if utilization >= 1.0 { 0.0 } else { load * (1.0 - late_fraction(utilization, steepness)) }
    }
}
