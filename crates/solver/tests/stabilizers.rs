//! Stabilizers of plans and tables, and the estimator of capacities.

use std::time::Duration;

use lockcroft_solver::{
    CapacityEstimator, CapacityPrior, ChangeCost, Class, Endpoint, LoadSample, PlanStabilizer, Problem,
    TableScope, TableStabilizer, WeightFractions, solve,
};
use proptest::prelude::*;

const COST: ChangeCost = ChangeCost { per_entry: 0.5, max_entries: 100, horizon_secs: 30.0 };

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

fn update(stabilizer: &mut PlanStabilizer, problem: &Problem, cost: ChangeCost) -> Vec<(usize, u32)> {
    let numbers: Vec<usize> = (0..problem.endpoints.len()).collect();
    stabilizer.update(problem, &numbers, &solve(problem).expect("valid problem"), cost)
}

proptest! {
    /// Demand that fluctuates by up to 5% changes no weight and no admission rate.
    #[test]
    fn fluctuating_demand_changes_no_plan(fluctuations in proptest::collection::vec(-0.05..0.05_f64, 20)) {
        let mut stabilizer = PlanStabilizer::default();
        let capacities = [1.0, 2.0, 2.0, 4.0, 8.0];
        prop_assert_eq!(update(&mut stabilizer, &problem(&capacities, 100.0), COST).len(), 5);
        let rates = stabilizer.admission_rates().to_vec();
        for fluctuation in fluctuations {
            let changes = update(&mut stabilizer, &problem(&capacities, 100.0 * (1.0 + fluctuation)), COST);
            prop_assert_eq!(changes, vec![]);
            prop_assert_eq!(stabilizer.admission_rates(), &rates[..]);
        }
    }
}

#[test]
fn only_changes_that_gain_more_than_they_cost_are_applied() {
    let mut stabilizer = PlanStabilizer::default();
    update(&mut stabilizer, &problem(&[2.0; 6], 90.0), COST);
    // The capacity of one endpoint is halved: late requests then cost more than a change.
    let halved = problem(&[2.0, 2.0, 2.0, 2.0, 2.0, 1.0], 90.0);
    let expensive = ChangeCost { per_entry: 1e6, ..COST };
    assert_eq!(update(&mut stabilizer.clone(), &halved, expensive), []);
    assert_eq!(update(&mut stabilizer, &halved, COST), [(5, 128)]);
    assert_eq!(update(&mut stabilizer, &halved, COST), [], "no further change");
}

/// The remaining changes are applied with the next solutions.
#[test]
fn a_large_change_is_applied_over_several_updates() {
    let mut stabilizer = PlanStabilizer::default();
    update(&mut stabilizer, &problem(&[2.0; 40], 600.0), COST);
    let capacities: Vec<f64> = (0..40).map(|i| if i < 12 { 0.5 } else { 2.0 }).collect();
    let halved = problem(&capacities, 500.0);
    let limited = ChangeCost { max_entries: 5, ..COST };
    let changes: Vec<usize> = (0..4).map(|_| update(&mut stabilizer, &halved, limited).len()).collect();
    assert_eq!(changes, [5, 5, 2, 0]);
}

#[test]
fn a_new_endpoint_gets_its_weight_at_any_cost() {
    let mut stabilizer = PlanStabilizer::default();
    let expensive = ChangeCost { per_entry: 1e6, ..COST };
    update(&mut stabilizer, &problem(&[2.0; 3], 30.0), expensive);
    assert_eq!(update(&mut stabilizer, &problem(&[2.0; 4], 30.0), expensive), [(3, 256)]);
    update(&mut stabilizer, &problem(&[2.0; 2], 30.0), expensive);
    assert_eq!(stabilizer.weights().len(), 2, "removed endpoints have no weight");
}

const PRIOR: CapacityPrior = CapacityPrior { cores: 2.0, factor: 4.0 };

fn estimator() -> CapacityEstimator {
    CapacityEstimator::new(Duration::from_secs(30))
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Adds the same sample of endpoint 0 once a second.
fn observe(estimator: &mut CapacityEstimator, seconds: std::ops::Range<u64>, sample: LoadSample) {
    seconds.for_each(|at| estimator.observe(secs(at), 0, PRIOR, sample));
}

#[test]
fn the_capacity_is_estimated_from_a_reported_utilization_without_saturation() {
    let mut estimator = estimator();
    observe(
        &mut estimator,
        0..60,
        LoadSample { completed_work: 1.0, is_late: false, slowdown: 0.0, reported_utilization: Some(0.25) },
    );
    let estimate = estimator.estimate(secs(60), 0, PRIOR);
    assert!((estimate.capacity - 4.0).abs() < 0.1, "{estimate:?}");
    // Evidence decays until the estimate equals the prior.
    let old = estimator.estimate(secs(600), 0, PRIOR);
    assert!((old.capacity - 2.0).abs() < 0.01 && old.age == Some(secs(541)), "{old:?}");
}

/// At a utilization of one half, the duration of a request divided by its work is 1.5 with one core, 1.056 with four
/// cores, and 3 with half a core.
#[test]
fn the_capacity_is_estimated_from_the_slowdown_without_a_reported_utilization() {
    let estimate = |completed_work: f64, slowdown: f64| {
        let mut estimator = estimator();
        observe(
            &mut estimator,
            0..60,
            LoadSample { completed_work, is_late: false, slowdown, reported_utilization: None },
        );
        estimator.estimate(secs(60), 0, PRIOR).capacity
    };
    assert!((estimate(0.5, 1.5) - 1.0).abs() < 0.05, "{}", estimate(0.5, 1.5));
    assert!((estimate(2.0, 1.056) - 4.0).abs() < 0.1, "{}", estimate(2.0, 1.056));
    assert!((estimate(0.25, 3.0) - 0.5).abs() < 0.05, "{}", estimate(0.25, 3.0));
    assert!(
        (7.0..=8.0).contains(&estimate(1.6, 1.0)),
        "limited to four times the prior: {}",
        estimate(1.6, 1.0)
    );
}

#[test]
fn false_utilizations_and_idle_endpoints_do_not_raise_the_estimate() {
    let mut estimator = estimator();
    observe(
        &mut estimator,
        0..60,
        LoadSample { completed_work: 1.2, is_late: true, slowdown: 0.0, reported_utilization: Some(0.0) },
    );
    let late = estimator.estimate(secs(60), 0, PRIOR);
    assert!(late.capacity <= 1.3, "late at 1.2 cores of work, whatever it reports: {late:?}");
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
    assert_eq!(estimator.estimate(secs(121), 1, PRIOR).capacity, 2.0, "an idle endpoint keeps the prior");
}

#[test]
fn evidence_of_an_overload_decays() {
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
    assert!((1.4..1.9).contains(&overloaded.capacity), "it recently completed 1.8: {overloaded:?}");
    observe(
        &mut estimator,
        40..140,
        LoadSample { completed_work: 0.0, is_late: true, slowdown: 0.0, reported_utilization: None },
    );
    assert!(estimator.estimate(secs(140), 0, PRIOR).capacity >= 0.5, "not below a quarter of the prior");
    let decayed = estimator.estimate(secs(340), 0, PRIOR);
    assert_eq!(decayed.capacity, 2.0, "{decayed:?}");
    estimator.retain(|_| false);
    assert_eq!(estimator.estimate(secs(340), 0, PRIOR).age, None);
}

/// An overload or a short slowdown moves the estimate only slightly from a configured capacity. The median of a machine
/// type is the prior of an unknown endpoint, and one outlier does not change it.
#[test]
fn configured_and_machine_type_capacities_limit_the_effect_of_one_endpoint() {
    let mut estimator = estimator();
    let configured = CapacityPrior::configured(4.0);
    for at in 0..60 {
        estimator.observe(
            secs(at),
            0,
            configured,
            LoadSample { completed_work: 0.5, is_late: true, slowdown: 9.0, reported_utilization: None },
        );
        estimator.observe(
            secs(at),
            1,
            configured,
            LoadSample { completed_work: 3.9, is_late: false, slowdown: 1.0, reported_utilization: None },
        );
    }
    let capacity = |endpoint| estimator.estimate(secs(60), endpoint, configured).capacity;
    assert!(capacity(0) >= 3.5 && capacity(1) <= 4.5, "{} and {}", capacity(0), capacity(1));
    for endpoint in 2..6 {
        let utilization = if endpoint == 5 { 0.9 } else { 0.5 };
        let sample = LoadSample {
            completed_work: 1.0,
            is_late: false,
            slowdown: 0.0,
            reported_utilization: Some(utilization),
        };
        (0..60).for_each(|at| estimator.observe(secs(at), endpoint, PRIOR, sample));
    }
    assert_eq!(estimator.machine_type_capacity(secs(60), 2..4), None, "fewer than three measured endpoints");
    let median = estimator.machine_type_capacity(secs(60), 2..6).expect("four measured endpoints");
    assert!((median - 2.0).abs() < 0.1, "{median}");
    assert_eq!(
        estimator.machine_type_capacity(secs(600), 2..6),
        None,
        "the samples are older than the half-life"
    );
    let unknown = estimator.estimate(secs(60), 9, CapacityPrior::from_machine_type(median));
    assert_eq!((unknown.capacity, unknown.age), (median, None));
}

/// Returns a problem with two zones of two endpoints each, and this demand in the first zone.
fn two_zones(request_rate: f64) -> Problem {
    let endpoint = |zone| Endpoint { zone, capacity: 2.0, slow_start_factor: 1.0, is_unavailable: false };
    let class = Class { demand: vec![request_rate, 5.0], ..problem(&[], 0.0).classes.remove(0) };
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
    let solution = solve(problem).expect("valid problem");
    let weights = (0..4).map(|endpoint| (endpoint, 256)).collect();
    tables.update(problem, &[0, 1, 2, 3], &solution, &scopes, &weights, weights_changed)
}

#[test]
fn only_an_overloaded_zone_spills_over_to_another_zone() {
    let mut tables = TableStabilizer::default();
    let changed = update_tables(&mut tables, &two_zones(50.0), false);
    let [(0, overloaded), (1, other)] = &changed[..] else { panic!("{changed:?}") };
    assert!(
        overloaded[&0] == 1.0
            && overloaded[&0] == overloaded[&1]
            && overloaded[&2] < 1.0
            && overloaded[&2] > 0.2,
        "{overloaded:?}"
    );
    assert_eq!(other.keys().copied().collect::<Vec<_>>(), [2, 3], "{other:?}");
    assert_eq!(
        update_tables(&mut tables, &two_zones(51.0), false),
        [],
        "fluctuating demand changes no table"
    );
    let changed = update_tables(&mut tables, &two_zones(20.0), false);
    assert_eq!(changed.iter().map(|(scope, _)| *scope).collect::<Vec<_>>(), [0], "{changed:?}");
    // The controller handles an unavailable endpoint until a new endpoint or a larger change requires a new table.
    let mut unavailable = two_zones(20.0);
    unavailable.endpoints[0].is_unavailable = true;
    let changed = update_tables(&mut tables, &unavailable, false);
    assert!(changed.iter().all(|(_, fractions)| !fractions.contains_key(&0)), "{changed:?}");
}

/// The controller reduces the weight during slow start; the table has the fraction after slow start.
#[test]
fn slow_start_does_not_lower_the_fraction_in_a_table() {
    let mut starting = two_zones(20.0);
    starting.endpoints[0].slow_start_factor = 0.25;
    let changed = update_tables(&mut TableStabilizer::default(), &starting, false);
    let fractions = &changed[0].1;
    assert!((fractions[&0] - fractions[&1]).abs() < 1e-6, "{fractions:?}");
}
