//! What keeps plans in force, and what is estimated from reports.

use std::time::Duration;

use lockcroft_solver::{
    CapacityEstimator, CapacityPrior, ChangeCost, Class, Endpoint, LoadSample, PlanStabilizer, Problem,
    TableScope, TableStabilizer, WeightFractions, solve,
};
use proptest::prelude::*;

const PRICE: ChangeCost = ChangeCost { per_entry: 0.5, max_entries: 100, horizon_secs: 30.0 };

fn problem(capacities: &[f64], demand: f64) -> Problem {
    let endpoint = |capacity: &f64| Endpoint {
        zone: 0,
        capacity: *capacity,
        slow_start_factor: 1.0,
        is_unavailable: false,
    };
    let class = Class {
        work: 0.1,
        latency_objective: 1.0,
        value: 1.0,
        allowed_zones: vec![],
        allowed_endpoints: None,
        demand: vec![demand],
    };
    Problem {
        zone_count: 1,
        endpoints: capacities.iter().map(endpoint).collect(),
        classes: vec![class],
        crossing_cost: 0.0,
    }
}

fn update(stabilizer: &mut PlanStabilizer, problem: &Problem, price: ChangeCost) -> Vec<(usize, u32)> {
    let numbers: Vec<usize> = (0..problem.endpoints.len()).collect();
    stabilizer.update(problem, &numbers, &solve(problem).expect("sound"), price)
}

proptest! {
    /// By up to a twentieth.
    #[test]
    fn fluctuating_demand_changes_nothing(fluctuations in proptest::collection::vec(-0.05..0.05_f64, 20)) {
        let mut stabilizer = PlanStabilizer::default();
        let capacities = [1.0, 2.0, 2.0, 4.0, 8.0];
        prop_assert_eq!(update(&mut stabilizer, &problem(&capacities, 100.0), PRICE).len(), 5);
        let rates = stabilizer.admission_rates().to_vec();
        for fluctuation in fluctuations {
            let changes = update(&mut stabilizer, &problem(&capacities, 100.0 * (1.0 + fluctuation)), PRICE);
            prop_assert_eq!(changes, vec![]);
            prop_assert_eq!(stabilizer.admission_rates(), &rates[..]);
        }
    }
}

#[test]
fn only_changes_that_gain_more_than_they_cost_are_applied() {
    let mut stabilizer = PlanStabilizer::default();
    update(&mut stabilizer, &problem(&[2.0; 6], 90.0), PRICE);
    // One endpoint turns out to be half as large: late requests cost more than an entry.
    let halved = problem(&[2.0, 2.0, 2.0, 2.0, 2.0, 1.0], 90.0);
    let expensive = ChangeCost { per_entry: 1e6, ..PRICE };
    assert_eq!(update(&mut stabilizer.clone(), &halved, expensive), []);
    assert_eq!(update(&mut stabilizer, &halved, PRICE), [(5, 128)]);
    assert_eq!(update(&mut stabilizer, &halved, PRICE), [], "and it stays so");
}

/// The next answers bring the other changes.
#[test]
fn a_large_change_is_applied_in_limited_steps() {
    let mut stabilizer = PlanStabilizer::default();
    update(&mut stabilizer, &problem(&[2.0; 40], 600.0), PRICE);
    let capacities: Vec<f64> = (0..40).map(|i| if i < 12 { 0.5 } else { 2.0 }).collect();
    let halved = problem(&capacities, 500.0);
    let limited = ChangeCost { max_entries: 5, ..PRICE };
    let changes: Vec<usize> = (0..4).map(|_| update(&mut stabilizer, &halved, limited).len()).collect();
    assert_eq!(changes, [5, 5, 2, 0]);
}

#[test]
fn a_new_endpoint_gets_a_weight_at_any_price() {
    let mut stabilizer = PlanStabilizer::default();
    let expensive = ChangeCost { per_entry: 1e6, ..PRICE };
    update(&mut stabilizer, &problem(&[2.0; 3], 30.0), expensive);
    assert_eq!(update(&mut stabilizer, &problem(&[2.0; 4], 30.0), expensive), [(3, 256)]);
    update(&mut stabilizer, &problem(&[2.0; 2], 30.0), expensive);
    assert_eq!(stabilizer.weights().len(), 2, "removed endpoints are forgotten");
}

const PRIOR: CapacityPrior = CapacityPrior { cores: 2.0, factor: 4.0 };

fn estimator() -> CapacityEstimator {
    CapacityEstimator::new(Duration::from_secs(30))
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn observe(estimator: &mut CapacityEstimator, seconds: std::ops::Range<u64>, sample: LoadSample) {
    seconds.for_each(|at| estimator.observe(secs(at), 0, PRIOR, sample));
}

#[test]
fn a_reported_load_shows_the_capacity_below_saturation() {
    let mut estimator = estimator();
    observe(
        &mut estimator,
        0..60,
        LoadSample { completed_work: 1.0, is_late: false, slowdown: 0.0, reported_utilization: Some(0.25) },
    );
    let known = estimator.estimate(secs(60), 0, PRIOR);
    assert!((known.capacity - 4.0).abs() < 0.1, "{known:?}");
    // Evidence decays until only the prior is left.
    let old = estimator.estimate(secs(600), 0, PRIOR);
    assert!((old.capacity - 2.0).abs() < 0.01 && old.age == Some(secs(541)), "{old:?}");
}

/// At half of its capacity an endpoint of one core takes half as long again as the work, one of four cores an eighteenth
/// longer, and a slow one (half a core) three times as long.
#[test]
fn without_a_reported_load_the_slowdown_shows_the_capacity() {
    let known = |done: f64, slowdown: f64| {
        let mut estimator = estimator();
        observe(
            &mut estimator,
            0..60,
            LoadSample { completed_work: done, is_late: false, slowdown, reported_utilization: None },
        );
        estimator.estimate(secs(60), 0, PRIOR).capacity
    };
    assert!((known(0.5, 1.5) - 1.0).abs() < 0.05, "{}", known(0.5, 1.5));
    assert!((known(2.0, 1.056) - 4.0).abs() < 0.1, "{}", known(2.0, 1.056));
    assert!((known(0.25, 3.0) - 0.5).abs() < 0.05, "{}", known(0.25, 3.0));
    assert!((7.0..=8.0).contains(&known(1.6, 1.0)), "at most four times the prior: {}", known(1.6, 1.0));
}

#[test]
fn false_loads_and_idle_endpoints_stay_within_the_bounds() {
    let mut estimator = estimator();
    observe(
        &mut estimator,
        0..60,
        LoadSample { completed_work: 1.2, is_late: true, slowdown: 0.0, reported_utilization: Some(0.0) },
    );
    let false_load = estimator.estimate(secs(60), 0, PRIOR);
    assert!(false_load.capacity <= 1.3, "late at 1.2, whatever it reports: {false_load:?}");
    observe(
        &mut estimator,
        60..120,
        LoadSample { completed_work: 0.9, is_late: false, slowdown: 0.0, reported_utilization: Some(1e-9) },
    );
    let idle = estimator.estimate(secs(120), 0, PRIOR);
    assert!(idle.capacity <= 8.0, "{idle:?}");
    estimator.observe(
        secs(121),
        1,
        PRIOR,
        LoadSample { completed_work: 0.01, is_late: false, slowdown: 0.0, reported_utilization: None },
    );
    assert_eq!(estimator.estimate(secs(121), 1, PRIOR).capacity, 2.0, "an idle one keeps the prior");
}

#[test]
fn an_overload_is_forgotten_in_time() {
    let mut estimator = estimator();
    observe(
        &mut estimator,
        0..30,
        LoadSample { completed_work: 1.8, is_late: false, slowdown: 0.0, reported_utilization: None },
    );
    observe(
        &mut estimator,
        30..40,
        LoadSample { completed_work: 0.2, is_late: true, slowdown: 0.0, reported_utilization: None },
    );
    let overloaded = estimator.estimate(secs(40), 0, PRIOR);
    assert!((1.4..1.9).contains(&overloaded.capacity), "it did 1.8 a while ago: {overloaded:?}");
    observe(
        &mut estimator,
        40..140,
        LoadSample { completed_work: 0.0, is_late: true, slowdown: 0.0, reported_utilization: None },
    );
    assert!(estimator.estimate(secs(140), 0, PRIOR).capacity >= 0.5, "at least a quarter of the prior");
    let later = estimator.estimate(secs(340), 0, PRIOR);
    assert_eq!(later.capacity, 2.0, "{later:?}");
    estimator.retain(|_| false);
    assert_eq!(estimator.estimate(secs(340), 0, PRIOR).age, None);
}

/// An overload or a short slowdown does not lead far from a configured capacity; the median of a machine type is the prior
/// of an unknown endpoint, and one outlier does not change it.
#[test]
fn the_machine_type_bounds_what_one_endpoint_shows() {
    let mut estimator = estimator();
    let stated = CapacityPrior::configured(4.0);
    for at in 0..60 {
        estimator.observe(
            secs(at),
            0,
            stated,
            LoadSample { completed_work: 0.5, is_late: true, slowdown: 9.0, reported_utilization: None },
        );
        estimator.observe(
            secs(at),
            1,
            stated,
            LoadSample { completed_work: 3.9, is_late: false, slowdown: 1.0, reported_utilization: None },
        );
    }
    let capacity = |endpoint| estimator.estimate(secs(60), endpoint, stated).capacity;
    assert!(capacity(0) >= 3.5 && capacity(1) <= 4.5, "{} and {}", capacity(0), capacity(1));
    for endpoint in 2..6 {
        let load = if endpoint == 5 { 0.9 } else { 0.5 };
        let sample = LoadSample {
            completed_work: 1.0,
            is_late: false,
            slowdown: 0.0,
            reported_utilization: Some(load),
        };
        (0..60).for_each(|at| estimator.observe(secs(at), endpoint, PRIOR, sample));
    }
    assert_eq!(estimator.machine_type_capacity(secs(60), 2..4), None, "two are too few");
    let median = estimator.machine_type_capacity(secs(60), 2..6).expect("four showed it");
    assert!((median - 2.0).abs() < 0.1, "{median}");
    assert_eq!(estimator.machine_type_capacity(secs(600), 2..6), None, "that was long ago");
    let new = estimator.estimate(secs(60), 9, CapacityPrior::from_machine_type(median));
    assert_eq!((new.capacity, new.age), (median, None));
}

/// Two zones of two endpoints each.
fn two_zones(requests_per_s: f64) -> Problem {
    let endpoint = |zone| Endpoint { zone, capacity: 2.0, slow_start_factor: 1.0, is_unavailable: false };
    let class = Class { demand: vec![requests_per_s, 5.0], ..problem(&[], 0.0).classes.remove(0) };
    Problem {
        zone_count: 2,
        endpoints: [0, 0, 1, 1].map(endpoint).into(),
        classes: vec![class],
        crossing_cost: 0.2,
    }
}

fn update_tables(
    tables: &mut TableStabilizer,
    problem: &Problem,
    weights_changed: bool,
) -> Vec<(usize, WeightFractions)> {
    let scopes = [0, 1].map(|zone| TableScope { zone, classes: vec![0] });
    let answer = solve(problem).expect("sound");
    let weights = (0..4).map(|endpoint| (endpoint, 256)).collect();
    tables.update(problem, &[0, 1, 2, 3], &answer, &scopes, &weights, weights_changed)
}

#[test]
fn an_overloaded_zone_spills_over_and_the_other_keeps_to_itself() {
    let mut tables = TableStabilizer::default();
    let changed = update_tables(&mut tables, &two_zones(50.0), false);
    let [(0, overloaded), (1, own)] = &changed[..] else { panic!("{changed:?}") };
    assert!(
        overloaded[&0] == 1.0
            && overloaded[&0] == overloaded[&1]
            && overloaded[&2] < 1.0
            && overloaded[&2] > 0.2,
        "{overloaded:?}"
    );
    assert_eq!(own.keys().copied().collect::<Vec<_>>(), [2, 3], "{own:?}");
    assert_eq!(
        update_tables(&mut tables, &two_zones(51.0), false),
        [],
        "fluctuating demand changes no table"
    );
    let changed = update_tables(&mut tables, &two_zones(20.0), false);
    assert_eq!(changed.iter().map(|(place, _)| *place).collect::<Vec<_>>(), [0], "{changed:?}");
    // The decisions handle a lost endpoint until a new one or a larger change asks for another table.
    let mut lost = two_zones(20.0);
    lost.endpoints[0].is_unavailable = true;
    let changed = update_tables(&mut tables, &lost, false);
    assert!(changed.iter().all(|(_, shares)| !shares.contains_key(&0)), "{changed:?}");
}

/// The decisions reduce its weight; the table has the fraction after slow start.
#[test]
fn slow_start_does_not_lower_the_fraction_in_a_table() {
    let mut starting = two_zones(20.0);
    starting.endpoints[0].slow_start_factor = 0.25;
    let changed = update_tables(&mut TableStabilizer::default(), &starting, false);
    let shares = &changed[0].1;
    assert!((shares[&0] - shares[&1]).abs() < 1e-6, "{shares:?}");
}
