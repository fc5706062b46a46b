//! Measures the time to solve problems of several sizes, and to solve again after one change. Compares the results with
//! a linear program of the complete problem and with a greedy method.
//! Run: cargo bench -p lockcroft-solver --bench solve

#[path = "../tests/linear_program/mod.rs"]
mod linear_program;

use std::time::{Duration, Instant};

use lockcroft_solver::{ChangeCost, Class, Endpoint, LoadDistribution, PlanStabilizer, Problem, solve};

/// Returns a problem with endpoints of four sizes. Uses no random numbers.
fn problem(endpoint_count: usize, zone_count: usize, class_count: usize) -> Problem {
    let endpoint = |i: usize| Endpoint {
        zone: i % zone_count,
        capacity: [1.0, 2.0, 4.0, 8.0][i / zone_count % 4],
        slow_start_factor: if i.is_multiple_of(17) { 0.25 } else { 1.0 },
        is_unavailable: i.is_multiple_of(23),
    };
    let total_cores = endpoint_count as f64 * 3.75;
    let class = |k: usize| Class {
        work: 0.02 * (k + 1) as f64,
        latency_objective: 0.5 + 0.1 * k as f64,
        value: 1.0 + (k * 7 % class_count) as f64,
        // Every third class is restricted to two zones.
        allowed_zones: if k % 3 == 2 { vec![k % zone_count, (k + 1) % zone_count] } else { vec![] },
        allowed_endpoints: None,
        demand: (0..zone_count)
            .map(|zone| {
                let skew = (zone + 1) as f64 / (zone_count + 1) as f64;
                1.1 * total_cores * skew / (zone_count * class_count) as f64 / (0.02 * (k + 1) as f64)
            })
            .collect(),
    };
    Problem {
        zone_count,
        endpoints: (0..endpoint_count).map(endpoint).collect(),
        classes: (0..class_count).map(class).collect(),
        crossing_cost: 0.2,
    }
}

/// Returns the value of a greedy plan: classes in descending order of the value of their work, each in its own zone
/// first and then in the others. Ignores latency.
fn greedy_value(problem: &Problem) -> f64 {
    let mut capacity: Vec<f64> = vec![0.0; problem.zone_count];
    for endpoint in problem.endpoints.iter().filter(|endpoint| !endpoint.is_unavailable) {
        capacity[endpoint.zone] += endpoint.capacity * endpoint.slow_start_factor;
    }
    let mut order: Vec<&Class> = problem.classes.iter().collect();
    order.sort_by(|a, b| (b.value / b.work).total_cmp(&(a.value / a.work)));
    let mut total_value = 0.0;
    for class in order {
        for (zone, requests) in class.demand.iter().enumerate() {
            let mut remaining = requests * class.work;
            let is_allowed = |to: &usize| class.allowed_zones.is_empty() || class.allowed_zones.contains(to);
            for to in std::iter::once(zone)
                .chain((0..problem.zone_count).filter(|to| *to != zone))
                .filter(is_allowed)
            {
                let work = remaining.min(capacity[to]);
                remaining -= work;
                capacity[to] -= work;
                let crossing_cost = if to == zone { 0.0 } else { problem.crossing_cost };
                total_value += work * (class.value - crossing_cost) / class.work;
            }
        }
    }
    total_value
}

/// Returns the peak memory of this process, or "unknown" if the system does not report it.
fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    line.map_or("unknown".into(), |line| line.split_whitespace().skip(1).collect::<Vec<_>>().join(" "))
}

/// Returns the shortest duration of five calls, after one warm-up call, and a result.
fn timed<T>(call: impl Fn() -> T) -> (Duration, T) {
    let mut best = (Duration::MAX, call());
    for _ in 0..5 {
        let started = Instant::now();
        let result = call();
        if started.elapsed() < best.0 {
            best = (started.elapsed(), result);
        }
    }
    best
}

fn main() {
    println!("shortest of 5 runs; objectives in value per second");
    for (endpoints, zones, classes) in [(20, 2, 2), (200, 3, 3), (640, 4, 3), (2000, 4, 8), (10_000, 8, 20)] {
        let problem = problem(endpoints, zones, classes);
        let (duration, solution) = timed(|| solve(&problem).expect("valid problem"));
        let mut changed = problem.clone();
        changed.endpoints[1].is_unavailable = true;
        let cost = ChangeCost { per_entry: 0.01, max_entries: 1000, horizon_secs: 10.0 };
        let numbers: Vec<usize> = (0..endpoints).collect();
        let mut stabilizer = PlanStabilizer::default();
        stabilizer.update(&problem, &numbers, &solution, cost);
        let (duration_after_change, changed_entries) = timed(|| {
            let solution = solve(&changed).expect("valid problem");
            stabilizer.clone().update(&changed, &numbers, &solution, cost).len()
        });
        let distribution = LoadDistribution::new(&problem);
        let value_of_equal_weights = distribution.value(&vec![1; endpoints], &solution.admission_rates);
        let value_of_weights = distribution.value(&solution.weights, &solution.admission_rates);
        println!(
            "{endpoints:6} endpoints {zones} zones {classes:2} classes: {duration:10.1?} total {:10.1}, after one \
             change {duration_after_change:10.1?} with {changed_entries} changed entries; value within the latency \
             objective {value_of_weights:.1}, with equal weights {value_of_equal_weights:.1}; greedy value without \
             latency cost {:.1} ({:.1?}); peak memory so far {}",
            solution.objective.total(),
            greedy_value(&problem),
            timed(|| greedy_value(&problem)).0,
            peak_memory(),
        );
        if endpoints <= 200 {
            let started = Instant::now();
            let best_total = linear_program::best_total(&problem);
            println!(
                "       linear program of the whole problem: {:.1?}, total {best_total:.1}",
                started.elapsed()
            );
        }
    }
}
