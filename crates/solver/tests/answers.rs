//! Answers to whole problems: compared with a linear program of every endpoint and segment over random problems, and in
//! hard cases.

mod linear_program;

use lockcroft_solver::{Class, Endpoint, Problem, ProblemError, solve};
use proptest::prelude::*;

fn endpoint(zone: usize, capacity: f64) -> Endpoint {
    Endpoint { zone, capacity, slow_start_factor: 1.0, is_unavailable: false }
}

fn class(work: f64, earnings: f64, demand: &[f64]) -> Class {
    let demand = demand.to_vec();
    Class {
        work,
        latency_objective: 10.0 * work,
        value: earnings,
        allowed_zones: vec![],
        allowed_endpoints: None,
        demand,
    }
}

fn problem(zones: usize, servers: Vec<Endpoint>, classes: Vec<Class>) -> Problem {
    Problem { zone_count: zones, endpoints: servers, classes, crossing_cost: 0.1 }
}

prop_compose! {
    fn any_endpoint()(zone in 0..3_usize, capacity in 1..9_u32, warmth in 0..5_u32, withdrawn in 0..8) -> Endpoint {
        let warmth = if warmth == 0 { 0.25 } else { 1.0 };
        Endpoint { zone, capacity: f64::from(capacity) / 2.0, slow_start_factor: warmth, is_unavailable: withdrawn == 0 }
    }
}

prop_compose! {
    fn any_class()(work in 1..20_u32, earnings in 0..9_u32, demand in proptest::collection::vec(0..120_u32, 3),
                   only in 0..6_usize) -> Class {
        let demand = demand.into_iter().map(f64::from).collect();
        let zones = if only < 3 { vec![only] } else { vec![] };
        Class { allowed_zones: zones, ..Class { demand, ..class(f64::from(work) / 100.0, f64::from(earnings), &[]) } }
    }
}

prop_compose! {
    fn any_problem()(servers in proptest::collection::vec(any_endpoint(), 1..9),
                     classes in proptest::collection::vec(any_class(), 1..3), crossing in 0..3_u32) -> Problem {
        Problem { crossing_cost: f64::from(crossing) / 2.0, ..problem(3, servers, classes) }
    }
}

fn close(a: f64, b: f64, scale: f64) -> bool {
    (a - b).abs() <= 1e-4 * (1.0 + scale.abs())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn totals_equal_those_of_the_linear_program(problem in any_problem()) {
        let answer = solve(&problem).expect("sound");
        let best = linear_program::best_total(&problem);
        prop_assert!(close(answer.objective.total(), best, best), "{} and {best}", answer.objective.total());
    }

    #[test]
    fn loads_stay_within_capacity_and_rates_within_0_and_1(problem in any_problem()) {
        let answer = solve(&problem).expect("sound");
        for (endpoint, load) in problem.endpoints.iter().zip(&answer.loads) {
            let capacity = if endpoint.is_unavailable { 0.0 } else { endpoint.capacity * endpoint.slow_start_factor };
            prop_assert!(*load <= capacity + 1e-9, "{load} of {capacity}");
        }
        for (class, rate) in problem.classes.iter().zip(&answer.admission_rates) {
            prop_assert!((0.0..=1.0).contains(rate), "{rate} of {class:?}");
        }
    }

    #[test]
    fn a_class_of_higher_value_is_admitted_no_less(problem in any_problem(), more in 1..5_u32) {
        let before = solve(&problem).expect("sound");
        let mut higher = problem.clone();
        higher.classes[0].value += f64::from(more);
        // Late work costs the mean value of work, which changes as well; with this objective nothing is late.
        higher.classes.iter_mut().for_each(|class| class.latency_objective = 1e6);
        let mut lower = problem;
        lower.classes.iter_mut().for_each(|class| class.latency_objective = 1e6);
        let (before, after) = (solve(&lower).unwrap_or(before), solve(&higher).expect("sound"));
        prop_assert!(after.admission_rates[0] >= before.admission_rates[0] - 1e-6, "{:?} then {:?}", before.admission_rates, after.admission_rates);
    }

    /// To the bit.
    #[test]
    fn loads_do_not_depend_on_the_order_of_endpoints(problem in any_problem()) {
        let mut reversed = problem.clone();
        reversed.endpoints.reverse();
        let (answer, reversed) = (solve(&problem).expect("sound"), solve(&reversed).expect("sound"));
        let mut loads = reversed.loads;
        loads.reverse();
        prop_assert_eq!(&answer.loads, &loads);
        prop_assert_eq!(&answer, &solve(&problem).expect("sound"));
    }
}

#[test]
fn slow_start_lowers_the_load_of_an_endpoint_and_not_its_weight() {
    let mut servers = vec![endpoint(0, 4.0); 4];
    for warmth in [0.1, 0.25, 0.5, 0.75, 1.0] {
        servers[3].slow_start_factor = warmth;
        let answer = solve(&problem(1, servers.clone(), vec![class(0.1, 1.0, &[60.0])])).expect("sound");
        assert!(answer.loads[3] <= 4.0 * warmth);
        assert_eq!(answer.weights, [256; 4], "the decisions reduce the weight in slow start");
        let share = answer.loads[3] / answer.loads[0];
        assert!((share - warmth).abs() < 1e-6, "{share} at {warmth}");
    }
}

#[test]
fn overload_sheds_the_class_of_lower_value_first_and_states_the_missing_cores() {
    for (overload, max_rate) in [(1.1, 1.0), (2.0, 1.0), (100.0, 0.1)] {
        let classes = vec![class(0.1, 3.0, &[overload * 20.0]), class(0.1, 1.0, &[overload * 20.0])];
        let answer = solve(&problem(1, vec![endpoint(0, 4.0)], classes)).expect("sound");
        assert!(answer.admission_rates[0] <= max_rate, "{:?}", answer.admission_rates);
        assert!(
            answer.admission_rates[0] > answer.admission_rates[1],
            "the class of lower value is shed first: {:?}",
            answer.admission_rates
        );
        let dropped = answer.shed.last().expect("the class of lower value");
        assert_eq!((dropped.class, &dropped.competing_classes[..]), (1, &[0][..]));
        let work = dropped.request_rate * 0.1;
        assert!(dropped.missing_capacity >= work && dropped.missing_capacity < 1.5 * work, "{dropped:?}");
    }
}

#[test]
fn a_lost_zone_is_served_by_others_and_a_class_keeps_to_its_endpoint() {
    let mut servers: Vec<Endpoint> = (0..6).map(|i| endpoint(i / 2, 2.0)).collect();
    servers[..2].iter_mut().for_each(|server| server.is_unavailable = true);
    let mut restricted = class(0.05, 2.0, &[4.0, 0.0, 0.0]);
    restricted.allowed_endpoints = Some(vec![4]);
    let answer =
        solve(&problem(3, servers.clone(), vec![class(0.1, 1.0, &[20.0, 5.0, 5.0]), restricted.clone()]))
            .expect("sound");
    assert_eq!(answer.admission_rates, [1.0, 1.0]);
    assert_eq!(answer.weights[..2], [0, 0]);
    assert_eq!(answer.table_weights(1, 0), [(4, 256)]);
    restricted.allowed_endpoints = Some(vec![0]);
    let answer = solve(&problem(3, servers, vec![restricted])).expect("sound");
    assert_eq!((answer.admission_rates[0], answer.shed[0].capacity), (0.0, 0.0));
}

#[test]
fn without_demand_weights_follow_capacity() {
    let answer = solve(&problem(1, vec![endpoint(0, 1.0), endpoint(0, 4.0)], vec![class(0.1, 1.0, &[0.0])]));
    let answer = answer.expect("sound");
    assert_eq!((answer.weights, answer.admission_rates), (vec![64, 256], vec![1.0]));
}

#[test]
fn capacities_a_million_times_apart_are_solved() {
    let servers = vec![endpoint(0, 1e-3), endpoint(0, 1e3)];
    let answer = solve(&problem(1, servers, vec![class(0.01, 1.0, &[10_000.0])])).expect("sound");
    assert_eq!(answer.weights, [0, 256]);
    assert!(answer.admission_rates[0] > 0.99 && answer.loads[0] <= 1e-3);
}

#[test]
fn values_out_of_range_are_named_in_the_error() {
    let sound = problem(1, vec![endpoint(0, 1.0)], vec![class(0.1, 1.0, &[1.0])]);
    let check = |change: &dyn Fn(&mut Problem)| {
        let mut problem = sound.clone();
        change(&mut problem);
        solve(&problem).expect_err("out of range").to_string()
    };
    assert_eq!(check(&|p| p.endpoints[0].capacity = f64::NAN), "server 0: capacity NaN");
    assert_eq!(check(&|p| p.endpoints[0].zone = 7), "server 0: zone 7");
    assert_eq!(check(&|p| p.classes[0].work = 0.0), "class 0: work 0");
    assert_eq!(check(&|p| p.classes[0].demand = vec![]), "class 0: zones of demand 0");
    assert_eq!(check(&|p| p.classes[0].allowed_endpoints = Some(vec![3])), "class 0: no such server: 3");
    assert_eq!(
        solve(&Problem { crossing_cost: -1.0, ..sound }),
        Err(ProblemError::InvalidCrossingCost(-1.0))
    );
}

/// No update is sent while all endpoints are in slow start, as their weights stay.
#[test]
fn slow_start_of_all_endpoints_lowers_admission_and_not_weights() {
    let running = problem(1, vec![endpoint(0, 4.0), endpoint(0, 2.0)], vec![class(0.1, 1.0, &[50.0])]);
    let mut starting = running.clone();
    starting.endpoints.iter_mut().for_each(|server| server.slow_start_factor = 0.25);
    let (before, after) = (solve(&running).expect("sound"), solve(&starting).expect("sound"));
    assert_eq!((before.admission_rates[0], &before.weights), (1.0, &after.weights));
    assert!(after.admission_rates[0] <= 1.5 / 5.0, "1.5 cores of 5: {:?}", after.admission_rates);
    assert!(after.loads.iter().zip([1.0, 0.5]).all(|(load, capacity)| *load <= capacity));
}

/// Half of the endpoints return at once, in slow start.
#[test]
fn returning_endpoints_get_their_weights_and_load_by_slow_start() {
    let mut servers = vec![endpoint(0, 2.0); 8];
    servers[4..].iter_mut().for_each(|server| server.is_unavailable = true);
    let gone = problem(1, servers.clone(), vec![class(0.1, 1.0, &[100.0])]);
    servers[4..]
        .iter_mut()
        .for_each(|server| (server.is_unavailable, server.slow_start_factor) = (false, 0.25));
    let back = Problem { endpoints: servers, ..gone.clone() };
    let (gone, back) = (solve(&gone).expect("sound"), solve(&back).expect("sound"));
    assert_eq!(gone.weights[4..], [0; 4]);
    assert_eq!(back.weights, [256; 8]);
    assert!(back.loads[4..].iter().all(|load| *load <= 0.5), "{:?}", back.loads);
    assert!(
        back.admission_rates[0] > gone.admission_rates[0],
        "{:?} then {:?}",
        gone.admission_rates,
        back.admission_rates
    );
}
