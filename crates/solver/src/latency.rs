//! The cost of latency as a function of load, by a queueing model.
//!
//! At an endpoint with `c` cores and the utilization `u`, the fraction of requests that miss their latency objective is
//! estimated as the fraction that waits longer than the objective in an M/M/1 queue whose service rate is `c` times
//! that of one core: `u * exp(-(1 - u) * c * latency_objective / work)`. Late work is a convex function of the load, so
//! a flow fills the linear segments that approximate it in the right order.

use crate::endpoint_group::EndpointGroup;
use crate::problem::Problem;

/// The number of linear segments that approximate the cost. Demand is not known precisely enough for finer ones.
const SEGMENTS: i64 = 16;

/// The cost of uneven loads where no request is late, as a fraction of the value of work. It is too small to outweigh
/// the cost of crossing zones, and large enough to keep an idle fleet from filling one zone before it uses the next.
const UNEVEN_LOAD_COST: f64 = 1.0 / 1024.0;

/// A segment of a group's capacity with a constant cost per unit of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinearSegment {
    /// The capacity of the segment, in integer units of work per second.
    pub capacity: i64,
    /// Cost of latency of a second of work on one core.
    pub cost: f64,
}

/// Returns the segments of a group, from idle to fully utilized. Late work costs the mean value of work.
pub(crate) fn latency_segments(problem: &Problem, group: &EndpointGroup) -> Vec<LinearSegment> {
    let steepness = steepness(problem, group);
    let work_value = mean_work_value(problem);
    let capacity_up_to =
        |segment: i64| group.capacity / SEGMENTS * segment + group.capacity % SEGMENTS * segment / SEGMENTS;
    let segment = |index: i64| {
        let from = index as f64 / SEGMENTS as f64;
        let to = (index + 1) as f64 / SEGMENTS as f64;
        let slope = (penalized_work(to, steepness) - penalized_work(from, steepness)) / (to - from);
        LinearSegment {
            capacity: capacity_up_to(index + 1) - capacity_up_to(index),
            cost: slope * work_value,
        }
    };
    (0..SEGMENTS).map(segment).filter(|segment| segment.capacity > 0).collect()
}

/// Returns the estimated fraction of requests that miss their latency objective at a utilization. The steepness is the
/// result of [`steepness`].
pub(crate) fn late_fraction(utilization: f64, steepness: f64) -> f64 {
    if utilization >= 1.0 {
        return 1.0;
    }
    utilization.max(0.0) * (-(1.0 - utilization) * steepness).exp()
}

/// Returns late work plus the cost of uneven loads, both as a fraction of the capacity.
fn penalized_work(utilization: f64, steepness: f64) -> f64 {
    utilization * (late_fraction(utilization, steepness) + UNEVEN_LOAD_COST * utilization)
}

/// Returns the rate at which the late fraction falls exponentially with spare capacity: the mean ratio of latency
/// objective to work over the classes that may use the group, weighted by their demand in work, times the mean cores of
/// its endpoints.
pub(crate) fn steepness(problem: &Problem, group: &EndpointGroup) -> f64 {
    let total_cores: f64 = group.endpoints.iter().map(|endpoint| problem.endpoints[*endpoint].capacity).sum();
    let mean_cores = total_cores / group.endpoints.len().max(1) as f64;
    let mut total_work = 0.0;
    let mut weighted_ratios = 0.0;
    for class in &group.classes {
        let work = class_demand(problem, *class);
        let class = &problem.classes[*class];
        weighted_ratios += work * class.latency_objective / class.work;
        total_work += work;
    }
    if total_work > 0.0 { mean_cores.max(1.0) * weighted_ratios / total_work } else { 0.0 }
}

/// Returns the mean value of a second of work on one core over all demand; 0 without demand.
pub(crate) fn mean_work_value(problem: &Problem) -> f64 {
    let mut total_work = 0.0;
    let mut total_value = 0.0;
    for class in 0..problem.classes.len() {
        let work = class_demand(problem, class);
        total_work += work;
        total_value += work * problem.work_gain(class, false);
    }
    if total_work > 0.0 { total_value / total_work } else { 0.0 }
}

/// Returns the demand of a class over all zones, in units of work per second.
fn class_demand(problem: &Problem, class: usize) -> f64 {
    (0..problem.zone_count).map(|zone| problem.demand_units(class, zone) as f64).sum()
}
