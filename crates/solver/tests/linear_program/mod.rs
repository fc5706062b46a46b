//! Solves a complete problem as a linear program, with a variable for each combination of class, zone, endpoint and
//! segment of its capacity.

use std::collections::BTreeMap;

use lockcroft_solver::{Class, Problem};
use microlp::{ComparisonOp, OptimizationDirection, Problem as Program};

const SEGMENTS: usize = 16;

/// Returns true if a class may use an endpoint.
fn may_use(class: &Class, problem: &Problem, endpoint: usize) -> bool {
    let is_zone_allowed =
        class.allowed_zones.is_empty() || class.allowed_zones.contains(&problem.endpoints[endpoint].zone);
    is_zone_allowed && class.allowed_endpoints.as_ref().is_none_or(|endpoints| endpoints.contains(&endpoint))
}

/// Returns the mean ratio of latency objective to work over the classes that may use an endpoint, weighted by their
/// demand in work, times the mean cores of the endpoints in its group.
fn steepness(problem: &Problem, endpoint: usize) -> f64 {
    let group_of = |endpoint: usize| -> (usize, Vec<bool>) {
        (
            // If crossing zones is free, all zones count as one.
            if problem.crossing_cost > 0.0 { problem.endpoints[endpoint].zone } else { 0 },
            problem.classes.iter().map(|class| may_use(class, problem, endpoint)).collect(),
        )
    };
    let is_available = |endpoint: usize| !problem.endpoints[endpoint].is_unavailable;
    let group: Vec<f64> = (0..problem.endpoints.len())
        .filter(|other| is_available(*other) && group_of(*other) == group_of(endpoint))
        .map(|other| problem.endpoints[other].capacity)
        .collect();
    let cores = (group.iter().sum::<f64>() / group.len() as f64).max(1.0);
    let mut weighted_ratios = 0.0;
    let mut work = 0.0;
    for class in problem.classes.iter().filter(|class| may_use(class, problem, endpoint)) {
        let demand = class.demand.iter().sum::<f64>() * class.work;
        weighted_ratios += demand * class.latency_objective / class.work;
        work += demand;
    }
    if work > 0.0 { cores * weighted_ratios / work } else { 0.0 }
}

/// Returns the greatest [`Objective::total`](lockcroft_solver::Objective::total) of any plan; NaN if the program can't
/// be solved.
pub fn best_total(problem: &Problem) -> f64 {
    let mut program = Program::new(OptimizationDirection::Maximize);
    let mut demand_rows = BTreeMap::<_, Vec<_>>::new();
    let mut capacity_rows = BTreeMap::<_, Vec<_>>::new();
    let mut work = 0.0;
    let mut value = 0.0;
    for class in &problem.classes {
        let class_work = class.demand.iter().sum::<f64>() * class.work;
        work += class_work;
        value += class_work * class.value / class.work;
    }
    let work_value = if work > 0.0 { value / work } else { 0.0 };
    for (index, endpoint) in
        problem.endpoints.iter().enumerate().filter(|(_, endpoint)| !endpoint.is_unavailable)
    {
        let steepness = steepness(problem, index);
        let penalized_work = |utilization: f64| {
            utilization * utilization * ((-(1.0 - utilization) * steepness).exp() + 1.0 / 1024.0)
        };
        for segment in 0..SEGMENTS {
            let (from, to) = (segment as f64 / SEGMENTS as f64, (segment + 1) as f64 / SEGMENTS as f64);
            let cost = (penalized_work(to) - penalized_work(from)) * SEGMENTS as f64 * work_value;
            for (class_index, class) in problem.classes.iter().enumerate() {
                for zone in (0..problem.zone_count).filter(|_| may_use(class, problem, index)) {
                    let crossing_cost = if zone == endpoint.zone { 0.0 } else { problem.crossing_cost };
                    let gain = (class.value - crossing_cost) / class.work - cost;
                    let variable = program.add_var(gain, (0.0, f64::INFINITY));
                    demand_rows.entry((class_index, zone)).or_default().push((variable, 1.0));
                    capacity_rows.entry((index, segment)).or_default().push((variable, 1.0));
                }
            }
        }
    }
    for ((class, zone), variables) in demand_rows {
        let class = &problem.classes[class];
        program.add_constraint(variables, ComparisonOp::Le, class.demand[zone] * class.work);
    }
    for ((endpoint, _), variables) in capacity_rows {
        let endpoint = &problem.endpoints[endpoint];
        program.add_constraint(
            variables,
            ComparisonOp::Le,
            endpoint.capacity * endpoint.slow_start_factor / SEGMENTS as f64,
        );
    }
    program
        .solve()
        .ok()
        .and_then(|outcome| outcome.solution().map(|solution| solution.objective()))
        .unwrap_or(f64::NAN)
}
