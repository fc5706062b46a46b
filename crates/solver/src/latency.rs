//! The cost of latency at a load, by a queueing estimate.
//!
//! At an endpoint with `c` cores that are utilized by the fraction `u`, the fraction of requests that miss their latency
//! objective is that of requests which wait longer in a queue with exponential times (M/M/1 at `c` times the speed):
//! `u * exp(-(1 - u) * c * latency_objective / work)`. The late work grows ever faster with the load, so linear segments
//! of the curve can be filled one after the other.

use crate::endpoint_group::EndpointGroup;
use crate::problem::Problem;

/// The number of segments of the curve. Demand is not known precisely enough for finer ones.
const SEGMENTS: i64 = 16;

/// The cost of uneven loads where nothing is late, as a fraction of the value of work. It is too small to outweigh a
/// crossing, and enough to keep an idle fleet from filling one zone before it uses the next.
const UNEVEN_LOAD_COST: f64 = 1.0 / 1024.0;

/// A part of a group's capacity, and the cost of each unit of work in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LinearSegment {
    /// In whole units.
    pub capacity: i64,
    pub cost: f64,
}

/// The segments of a group, from idle to fully utilized. A late unit of work costs what a unit is worth on average.
pub(crate) fn latency_segments(problem: &Problem, group: &EndpointGroup) -> Vec<LinearSegment> {
    let steepness = steepness(problem, group);
    let unit_value = mean_unit_value(problem);
    let capacity_up_to =
        |segment: i64| group.capacity / SEGMENTS * segment + group.capacity % SEGMENTS * segment / SEGMENTS;
    let segment = |index: i64| {
        let from = index as f64 / SEGMENTS as f64;
        let to = (index + 1) as f64 / SEGMENTS as f64;
        let slope = (penalized_work(to, steepness) - penalized_work(from, steepness)) / (to - from);
        LinearSegment {
            capacity: capacity_up_to(index + 1) - capacity_up_to(index),
            cost: slope * unit_value,
        }
    };
    (0..SEGMENTS).map(segment).filter(|segment| segment.capacity > 0).collect()
}

/// The fraction of requests that miss their latency objective at a utilization.
pub(crate) fn late_fraction(utilization: f64, steepness: f64) -> f64 {
    if utilization >= 1.0 {
        return 1.0;
    }
    utilization.max(0.0) * (-(1.0 - utilization) * steepness).exp()
}

/// Late work, and the cost of uneven loads in the same unit.
fn penalized_work(utilization: f64, steepness: f64) -> f64 {
    utilization * (late_fraction(utilization, steepness) + UNEVEN_LOAD_COST * utilization)
}

/// How quickly lateness falls with spare capacity: latency objective over work of the classes that may use the group,
/// weighted by the work that they ask for, times the mean cores of its endpoints.
pub(crate) fn steepness(problem: &Problem, group: &EndpointGroup) -> f64 {
    let total_cores: f64 = group.endpoints.iter().map(|endpoint| problem.endpoints[*endpoint].capacity).sum();
    let mean_cores = total_cores / group.endpoints.len().max(1) as f64;
    let mut total_work = 0.0;
    let mut weighted_ratios = 0.0;
    for class in &group.classes {
        let work = asked_by_class(problem, *class);
        let class = &problem.classes[*class];
        weighted_ratios += work * class.latency_objective / class.work;
        total_work += work;
    }
    if total_work > 0.0 { mean_cores.max(1.0) * weighted_ratios / total_work } else { 0.0 }
}

/// The mean value of a unit of the work that is asked for.
pub(crate) fn mean_unit_value(problem: &Problem) -> f64 {
    let mut total_work = 0.0;
    let mut total_value = 0.0;
    for class in 0..problem.classes.len() {
        let work = asked_by_class(problem, class);
        total_work += work;
        total_value += work * problem.unit_gain(class, false);
    }
    if total_work > 0.0 { total_value / total_work } else { 0.0 }
}

/// The units of work that a class asks for in all zones.
fn asked_by_class(problem: &Problem, class: usize) -> f64 {
    (0..problem.zone_count).map(|zone| problem.asked_units(class, zone) as f64).sum()
}
