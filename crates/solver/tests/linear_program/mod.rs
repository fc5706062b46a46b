//! The linear program of a whole problem, with a variable for each class, zone, endpoint and segment of its capacity.

use std::collections::BTreeMap;

use lockcroft_solver::{Class, Problem};
use microlp::{ComparisonOp, OptimizationDirection, Problem as Program};

const SEGMENTS: usize = 16;

fn may_use(class: &Class, problem: &Problem, endpoint: usize) -> bool {
    let zone =
        class.allowed_zones.is_empty() || class.allowed_zones.contains(&problem.endpoints[endpoint].zone);
    zone && class.allowed_endpoints.as_ref().is_none_or(|endpoints| endpoints.contains(&endpoint))
}

/// Latency objective over work of the classes that may use an endpoint, weighted by the work that they ask for, times the
/// mean cores of the endpoints in its group.
fn steepness(problem: &Problem, endpoint: usize) -> f64 {
    let group_of = |endpoint: usize| -> (usize, Vec<bool>) {
        (
            // Where crossing costs nothing, zones make no difference.
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
        let asked = class.demand.iter().sum::<f64>() * class.work;
        weighted_ratios += asked * class.latency_objective / class.work;
        work += asked;
    }
    if work > 0.0 { cores * weighted_ratios / work } else { 0.0 }
}

/// The greatest total of any plan.
pub fn best_total(problem: &Problem) -> f64 {
    let mut program = Program::new(OptimizationDirection::Maximize);
    let mut demand_rows = BTreeMap::<_, Vec<_>>::new();
    let mut capacity_rows = BTreeMap::<_, Vec<_>>::new();
    let mut work = 0.0;
    let mut value = 0.0;
    for class in &problem.classes {
        let own = class.demand.iter().sum::<f64>() * class.work;
        work += own;
        value += own * class.value / class.work;
    }
    let unit_value = if work > 0.0 { value / work } else { 0.0 };
    for (place, endpoint) in
        problem.endpoints.iter().enumerate().filter(|(_, endpoint)| !endpoint.is_unavailable)
    {
        let steepness = steepness(problem, place);
        let penalized_work = |share: f64| share * share * ((-(1.0 - share) * steepness).exp() + 1.0 / 1024.0);
        for segment in 0..SEGMENTS {
            let (from, to) = (segment as f64 / SEGMENTS as f64, (segment + 1) as f64 / SEGMENTS as f64);
            let cost = (penalized_work(to) - penalized_work(from)) * SEGMENTS as f64 * unit_value;
            for (number, class) in problem.classes.iter().enumerate() {
                for zone in (0..problem.zone_count).filter(|_| may_use(class, problem, place)) {
                    let crossing = if zone == endpoint.zone { 0.0 } else { problem.crossing_cost };
                    let gain = (class.value - crossing) / class.work - cost;
                    let part = program.add_var(gain, (0.0, f64::INFINITY));
                    demand_rows.entry((number, zone)).or_default().push((part, 1.0));
                    capacity_rows.entry((place, segment)).or_default().push((part, 1.0));
                }
            }
        }
    }
    for ((class, zone), parts) in demand_rows {
        let class = &problem.classes[class];
        program.add_constraint(parts, ComparisonOp::Le, class.demand[zone] * class.work);
    }
    for ((place, _), parts) in capacity_rows {
        let endpoint = &problem.endpoints[place];
        program.add_constraint(
            parts,
            ComparisonOp::Le,
            endpoint.capacity * endpoint.slow_start_factor / SEGMENTS as f64,
        );
    }
    program.solve().ok().and_then(|outcome| outcome.solution().map(|s| s.objective())).unwrap_or(f64::NAN)
}
