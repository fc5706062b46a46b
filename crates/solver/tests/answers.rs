//! Solutions of complete problems: random problems compared with a linear program over every endpoint and segment,
//! and edge cases.

mod linear_program;

use lockcroft_solver::{Class, Endpoint, Problem, ProblemError, solve};
use proptest::prelude::*;

fn endpoint(zone: usize, capacity: f64) -> Endpoint {
    Endpoint { zone, capacity, slow_start_factor: 1.0, is_unavailable: false }
}

fn class(work: f64, value: f64, demand: &[f64]) -> Class {
    let demand = demand.to_vec();
    Class {
        work,
        latency_objective: 10.0 * work,
        value,
        allowed_zones: vec![],
        allowed_endpoints: None,
        demand,
    }
}

fn problem(zone_count: usize, endpoints: Vec<Endpoint>, classes: Vec<Class>) -> Problem {
    Problem { zone_count, endpoints, classes, crossing_cost: 0.1 }
}

prop_compose! {
    fn any_endpoint()(zone in 0..3_usize, capacity in 1..9_u32, slow_start in 0..5_u32,
                      unavailable in 0..8) -> Endpoint {
        let slow_start_factor = if slow_start == 0 { 0.25 } else { 1.0 };
        Endpoint { zone, capacity: f64::from(capacity) / 2.0, slow_start_factor, is_unavailable: unavailable == 0 }
    }
}

prop_compose! {
    fn any_class()(work in 1..20_u32, value in 0..9_u32, demand in proptest::collection::vec(0..120_u32, 3),
                   zone in 0..6_usize) -> Class {
        let demand = demand.into_iter().map(f64::from).collect();
        let allowed_zones = if zone < 3 { vec![zone] } else { vec![] };
        Class { allowed_zones, ..Class { demand, ..class(f64::from(work) / 100.0, f64::from(value), &[]) } }
    }
}

prop_compose! {
    fn any_problem()(endpoints in proptest::collection::vec(any_endpoint(), 1..9),
                     classes in proptest::collection::vec(any_class(), 1..3), crossing_cost in 0..3_u32) -> Problem {
        Problem { crossing_cost: f64::from(crossing_cost) / 2.0, ..problem(3, endpoints, classes) }
    }
}

fn is_close(a: f64, b: f64, scale: f64) -> bool {
    (a - b).abs() <= 1e-4 * (1.0 + scale.abs())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn totals_equal_those_of_the_linear_program(problem in any_problem()) {
        let solution = solve(&problem).expect("valid problem");
        let best = linear_program::best_total(&problem);
        prop_assert!(is_close(solution.objective.total(), best, best), "{} and {best}", solution.objective.total());
    }

    #[test]
    fn loads_stay_within_capacity_and_rates_within_0_and_1(problem in any_problem()) {
        let solution = solve(&problem).expect("valid problem");
        for (endpoint, load) in problem.endpoints.iter().zip(&solution.loads) {
            let capacity = if endpoint.is_unavailable { 0.0 } else { endpoint.capacity * endpoint.slow_start_factor };
            prop_assert!(*load <= capacity + 1e-9, "{load} of {capacity}");
        }
        for (class, rate) in problem.classes.iter().zip(&solution.admission_rates) {
            prop_assert!((0.0..=1.0).contains(rate), "{rate} of {class:?}");
        }
    }

    #[test]
    fn a_class_of_higher_value_is_admitted_no_less(problem in any_problem(), added_value in 1..5_u32) {
        let before = solve(&problem).expect("valid problem");
        let mut higher = problem.clone();
        higher.classes[0].value += f64::from(added_value);
        // Late work costs the mean value of work, which rises as well. With this latency objective no work is late.
        higher.classes.iter_mut().for_each(|class| class.latency_objective = 1e6);
        let mut lower = problem;
        lower.classes.iter_mut().for_each(|class| class.latency_objective = 1e6);
        let (before, after) = (solve(&lower).unwrap_or(before), solve(&higher).expect("valid problem"));
        let (before, after) = (before.admission_rates, after.admission_rates);
        prop_assert!(after[0] >= before[0] - 1e-6, "{before:?} then {after:?}");
    }

    /// Loads are bit-identical when the endpoints are reversed, and the solution when solving is repeated.
    #[test]
    fn loads_do_not_depend_on_the_order_of_endpoints(problem in any_problem()) {
        let mut reversed = problem.clone();
        reversed.endpoints.reverse();
        let (solution, reversed) = (solve(&problem).expect("valid problem"), solve(&reversed).expect("valid problem"));
        let mut loads = reversed.loads;
        loads.reverse();
        prop_assert_eq!(&solution.loads, &loads);
        prop_assert_eq!(&solution, &solve(&problem).expect("valid problem"));
    }
}

#[test]
fn slow_start_lowers_the_load_of_an_endpoint_and_not_its_weight() {
    let mut endpoints = vec![endpoint(0, 4.0); 4];
    for slow_start_factor in [0.1, 0.25, 0.5, 0.75, 1.0] {
        endpoints[3].slow_start_factor = slow_start_factor;
        let solution =
            solve(&problem(1, endpoints.clone(), vec![class(0.1, 1.0, &[60.0])])).expect("valid problem");
        assert!(solution.loads[3] <= 4.0 * slow_start_factor);
        assert_eq!(solution.weights, [256; 4], "the controller reduces weights during slow start");
        let ratio = solution.loads[3] / solution.loads[0];
        assert!((ratio - slow_start_factor).abs() < 1e-6, "{ratio} at {slow_start_factor}");
    }
}

#[test]
fn overload_sheds_the_class_of_lower_value_first_and_states_the_missing_cores() {
    for (overload, max_rate) in [(1.1, 1.0), (2.0, 1.0), (100.0, 0.1)] {
        let classes = vec![class(0.1, 3.0, &[overload * 20.0]), class(0.1, 1.0, &[overload * 20.0])];
        let solution = solve(&problem(1, vec![endpoint(0, 4.0)], classes)).expect("valid problem");
        assert!(solution.admission_rates[0] <= max_rate, "{:?}", solution.admission_rates);
        assert!(
            solution.admission_rates[0] > solution.admission_rates[1],
            "the class of lower value is shed first: {:?}",
            solution.admission_rates
        );
        let shed = solution.shed.last().expect("the class of lower value");
        assert_eq!((shed.class, &shed.competing_classes[..]), (1, &[0][..]));
        let work = shed.request_rate * 0.1;
        assert!(shed.missing_capacity >= work && shed.missing_capacity < 1.5 * work, "{shed:?}");
    }
}

#[test]
fn other_zones_serve_an_unavailable_zone_and_a_class_uses_only_its_allowed_endpoints() {
    let mut endpoints: Vec<Endpoint> = (0..6).map(|i| endpoint(i / 2, 2.0)).collect();
    endpoints[..2].iter_mut().for_each(|endpoint| endpoint.is_unavailable = true);
    let mut restricted = class(0.05, 2.0, &[4.0, 0.0, 0.0]);
    restricted.allowed_endpoints = Some(vec![4]);
    let solution =
        solve(&problem(3, endpoints.clone(), vec![class(0.1, 1.0, &[20.0, 5.0, 5.0]), restricted.clone()]))
            .expect("valid problem");
    assert_eq!(solution.admission_rates, [1.0, 1.0]);
    assert_eq!(solution.weights[..2], [0, 0]);
    assert_eq!(solution.table_weights(1, 0), [(4, 256)]);
    restricted.allowed_endpoints = Some(vec![0]);
    let solution = solve(&problem(3, endpoints, vec![restricted])).expect("valid problem");
    assert_eq!((solution.admission_rates[0], solution.shed[0].capacity), (0.0, 0.0));
}

#[test]
fn without_demand_weights_are_proportional_to_capacity() {
    let solution =
        solve(&problem(1, vec![endpoint(0, 1.0), endpoint(0, 4.0)], vec![class(0.1, 1.0, &[0.0])]));
    let solution = solution.expect("valid problem");
    assert_eq!((solution.weights, solution.admission_rates), (vec![64, 256], vec![1.0]));
}

#[test]
fn capacities_that_differ_by_a_factor_of_a_million_are_solved() {
    let endpoints = vec![endpoint(0, 1e-3), endpoint(0, 1e3)];
    let solution = solve(&problem(1, endpoints, vec![class(0.01, 1.0, &[10_000.0])])).expect("valid problem");
    assert_eq!(solution.weights, [0, 256]);
    assert!(solution.admission_rates[0] > 0.99 && solution.loads[0] <= 1e-3);
}

#[test]
fn errors_name_the_value_that_is_out_of_range() {
    let valid = problem(1, vec![endpoint(0, 1.0)], vec![class(0.1, 1.0, &[1.0])]);
    let check = |change: &dyn Fn(&mut Problem)| {
        let mut problem = valid.clone();
        change(&mut problem);
        solve(&problem).expect_err("out of range").to_string()
    };
    assert_eq!(check(&|p| p.endpoints[0].capacity = f64::NAN), "endpoint 0: capacity is out of range: NaN");
    assert_eq!(check(&|p| p.endpoints[0].zone = 7), "endpoint 0: zone index is out of range: 7");
    assert_eq!(check(&|p| p.classes[0].work = 0.0), "class 0: work is out of range: 0");
    assert_eq!(
        check(&|p| p.classes[0].demand = vec![]),
        "class 0: number of zones in demand is out of range: 0"
    );
    assert_eq!(
        check(&|p| p.classes[0].allowed_endpoints = Some(vec![3])),
        "class 0: unknown endpoint index: 3"
    );
    assert_eq!(
        solve(&Problem { crossing_cost: -1.0, ..valid }),
        Err(ProblemError::InvalidCrossingCost(-1.0))
    );
}

/// Weights stay the same when all endpoints are in slow start, so that no updates are sent.
#[test]
fn slow_start_of_all_endpoints_lowers_admission_and_not_weights() {
    let running = problem(1, vec![endpoint(0, 4.0), endpoint(0, 2.0)], vec![class(0.1, 1.0, &[50.0])]);
    let mut starting = running.clone();
    starting.endpoints.iter_mut().for_each(|endpoint| endpoint.slow_start_factor = 0.25);
    let (before, after) = (solve(&running).expect("valid problem"), solve(&starting).expect("valid problem"));
    assert_eq!((before.admission_rates[0], &before.weights), (1.0, &after.weights));
    assert!(after.admission_rates[0] <= 1.5 / 5.0, "1.5 cores of 5: {:?}", after.admission_rates);
    assert!(after.loads.iter().zip([1.0, 0.5]).all(|(load, capacity)| *load <= capacity));
}

/// Half of the endpoints become available at the same time, in slow start.
#[test]
fn endpoints_that_become_available_get_full_weights_and_loads_limited_by_slow_start() {
    let mut endpoints = vec![endpoint(0, 2.0); 8];
    endpoints[4..].iter_mut().for_each(|endpoint| endpoint.is_unavailable = true);
    let reduced = problem(1, endpoints.clone(), vec![class(0.1, 1.0, &[100.0])]);
    endpoints[4..]
        .iter_mut()
        .for_each(|endpoint| (endpoint.is_unavailable, endpoint.slow_start_factor) = (false, 0.25));
    let restored = Problem { endpoints, ..reduced.clone() };
    let (reduced, restored) =
        (solve(&reduced).expect("valid problem"), solve(&restored).expect("valid problem"));
    assert_eq!(reduced.weights[4..], [0; 4]);
    assert_eq!(restored.weights, [256; 8]);
    assert!(restored.loads[4..].iter().all(|load| *load <= 0.5), "{:?}", restored.loads);
    assert!(
        restored.admission_rates[0] > reduced.admission_rates[0],
        "{:?} then {:?}",
        reduced.admission_rates,
        restored.admission_rates
    );
}
