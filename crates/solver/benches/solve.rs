//! Time of an answer by size, compared with a linear program of the whole problem and with a greedy method, and of a new
//! answer after one change. Run: cargo bench -p lockcroft-solver --bench solve

#[path = "../tests/linear_program/mod.rs"]
mod linear_program;

use std::time::{Duration, Instant};

use lockcroft_solver::{ChangeCost, Class, Endpoint, LoadDistribution, PlanStabilizer, Problem, solve};

/// Endpoints of four sizes, distributed without random numbers.
fn problem(servers: usize, zones: usize, classes: usize) -> Problem {
    let endpoint = |i: usize| Endpoint {
        zone: i % zones,
        capacity: [1.0, 2.0, 4.0, 8.0][i / zones % 4],
        slow_start_factor: if i.is_multiple_of(17) { 0.25 } else { 1.0 },
        is_unavailable: i.is_multiple_of(23),
    };
    let total_cores = servers as f64 * 3.75;
    let class = |k: usize| Class {
        work: 0.02 * (k + 1) as f64,
        latency_objective: 0.5 + 0.1 * k as f64,
        value: 1.0 + (k * 7 % classes) as f64,
        // Every third class has zones of its own.
        allowed_zones: if k % 3 == 2 { vec![k % zones, (k + 1) % zones] } else { vec![] },
        allowed_endpoints: None,
        demand: (0..zones)
            .map(|zone| {
                let skew = (zone + 1) as f64 / (zones + 1) as f64;
                1.1 * total_cores * skew / (zones * classes) as f64 / (0.02 * (k + 1) as f64)
            })
            .collect(),
    };
    Problem {
        zone_count: zones,
        endpoints: (0..servers).map(endpoint).collect(),
        classes: (0..classes).map(class).collect(),
        crossing_cost: 0.2,
    }
}

/// Classes in the order of the value of their work, each in its own zone first and then in the others, without regard to
/// latency.
fn greedy(problem: &Problem) -> f64 {
    let mut capacity: Vec<f64> = vec![0.0; problem.zone_count];
    for endpoint in problem.endpoints.iter().filter(|endpoint| !endpoint.is_unavailable) {
        capacity[endpoint.zone] += endpoint.capacity * endpoint.slow_start_factor;
    }
    let mut order: Vec<&Class> = problem.classes.iter().collect();
    order.sort_by(|a, b| (b.value / b.work).total_cmp(&(a.value / a.work)));
    let mut sum = 0.0;
    for class in order {
        for (zone, requests) in class.demand.iter().enumerate() {
            let mut remaining = requests * class.work;
            let may = |to: &usize| class.allowed_zones.is_empty() || class.allowed_zones.contains(to);
            for to in
                std::iter::once(zone).chain((0..problem.zone_count).filter(|to| *to != zone)).filter(may)
            {
                let units = remaining.min(capacity[to]);
                remaining -= units;
                capacity[to] -= units;
                let crossing = if to == zone { 0.0 } else { problem.crossing_cost };
                sum += units * (class.value - crossing) / class.work;
            }
        }
    }
    sum
}

/// The peak memory of this process, if the system reports it.
fn memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmHWM"));
    line.map_or("unknown".into(), |line| line.split_whitespace().skip(1).collect::<Vec<_>>().join(" "))
}

fn timed<T>(work: impl Fn() -> T) -> (Duration, T) {
    let mut best = (Duration::MAX, work());
    for _ in 0..5 {
        let started = Instant::now();
        let got = work();
        if started.elapsed() < best.0 {
            best = (started.elapsed(), got);
        }
    }
    best
}

fn main() {
    println!("least of 5 runs; gains in earnings a second");
    for (servers, zones, classes) in [(20, 2, 2), (200, 3, 3), (640, 4, 3), (2000, 4, 8), (10_000, 8, 20)] {
        let problem = problem(servers, zones, classes);
        let (took, answer) = timed(|| solve(&problem).expect("sound"));
        let mut changed = problem.clone();
        changed.endpoints[1].is_unavailable = true;
        let price = ChangeCost { per_entry: 0.01, max_entries: 1000, horizon_secs: 10.0 };
        let numbers: Vec<usize> = (0..servers).collect();
        let mut stabilizer = PlanStabilizer::default();
        stabilizer.update(&problem, &numbers, &answer, price);
        let (again, lines) = timed(|| {
            let answer = solve(&changed).expect("sound");
            stabilizer.clone().update(&changed, &numbers, &answer, price).len()
        });
        let spread = LoadDistribution::new(&problem);
        let equal = spread.value(&vec![1; servers], &answer.admission_rates);
        let laid = spread.value(&answer.weights, &answer.admission_rates);
        println!(
            "{servers:6} servers {zones} zones {classes:2} classes: {took:10.1?} total {:10.1}, after one change \
             {again:10.1?} with {lines} lines; on-time earnings by weights {laid:.1}, by equal weights {equal:.1}; \
             greedy before lateness {:.1} ({:.1?}); at most {} so far",
            answer.objective.total(),
            greedy(&problem),
            timed(|| greedy(&problem)).0,
            memory(),
        );
        if servers <= 200 {
            let started = Instant::now();
            let best = linear_program::best_total(&problem);
            println!("       the whole as a linear program: {:.1?}, total {best:.1}", started.elapsed());
        }
    }
}
