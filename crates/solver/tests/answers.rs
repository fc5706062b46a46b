//! Answers to whole problems: against a plain linear program of every server and piece, over random
//! cases, and in the hard cases by name.

mod whole;

use lockcroft_solver::{Class, Endpoint, Problem, ProblemError, solve};
use proptest::prelude::*;

fn server(zone: usize, capacity: f64) -> Endpoint {
    Endpoint { zone, capacity, warmth: 1.0, withdrawn: false }
}

fn class(work: f64, earnings: f64, demand: &[f64]) -> Class {
    let demand = demand.to_vec();
    Class { work, contract_time: 10.0 * work, earnings, zones: vec![], servers: None, demand }
}

fn problem(zones: usize, servers: Vec<Endpoint>, classes: Vec<Class>) -> Problem {
    Problem { zones, servers, classes, crossing: 0.1 }
}

prop_compose! {
    fn any_server()(zone in 0..3_usize, capacity in 1..9_u32, warmth in 0..5_u32, withdrawn in 0..8) -> Endpoint {
        let warmth = if warmth == 0 { 0.25 } else { 1.0 };
        Endpoint { zone, capacity: f64::from(capacity) / 2.0, warmth, withdrawn: withdrawn == 0 }
    }
}

prop_compose! {
    fn any_class()(work in 1..20_u32, earnings in 0..9_u32, demand in proptest::collection::vec(0..120_u32, 3),
                   only in 0..6_usize) -> Class {
        let demand = demand.into_iter().map(f64::from).collect();
        let zones = if only < 3 { vec![only] } else { vec![] };
        Class { zones, ..Class { demand, ..class(f64::from(work) / 100.0, f64::from(earnings), &[]) } }
    }
}

prop_compose! {
    fn any_problem()(servers in proptest::collection::vec(any_server(), 1..9),
                     classes in proptest::collection::vec(any_class(), 1..3), crossing in 0..3_u32) -> Problem {
        Problem { crossing: f64::from(crossing) / 2.0, ..problem(3, servers, classes) }
    }
}

fn close(a: f64, b: f64, scale: f64) -> bool {
    (a - b).abs() <= 1e-4 * (1.0 + scale.abs())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// As good as the linear program of the whole.
    #[test]
    fn as_good_as_the_whole_program(problem in any_problem()) {
        let answer = solve(&problem).expect("sound");
        let best = whole::best(&problem);
        prop_assert!(close(answer.objective.total(), best, best), "{} and {best}", answer.objective.total());
    }

    #[test]
    fn never_above_capacity(problem in any_problem()) {
        let answer = solve(&problem).expect("sound");
        for (server, load) in problem.servers.iter().zip(&answer.loads) {
            let room = if server.withdrawn { 0.0 } else { server.capacity * server.warmth };
            prop_assert!(*load <= room + 1e-9, "{load} on {room}");
        }
        for (class, let_in) in problem.classes.iter().zip(&answer.let_in) {
            prop_assert!((0.0..=1.0).contains(let_in), "{let_in} of {class:?}");
        }
    }

    /// Who earns more is let in no less.
    #[test]
    fn monotone_in_earnings(problem in any_problem(), more in 1..5_u32) {
        let before = solve(&problem).expect("sound");
        let mut richer = problem.clone();
        richer.classes[0].earnings += f64::from(more);
        // Lateness costs what work earns on average: kept as it was, for the class alone to change.
        richer.classes.iter_mut().for_each(|class| class.contract_time = 1e6);
        let mut poorer = problem;
        poorer.classes.iter_mut().for_each(|class| class.contract_time = 1e6);
        let (before, after) = (solve(&poorer).unwrap_or(before), solve(&richer).expect("sound"));
        prop_assert!(after.let_in[0] >= before.let_in[0] - 1e-6, "{:?} then {:?}", before.let_in, after.let_in);
    }

    /// Servers by other numbers get the same loads, to the bit.
    #[test]
    fn names_do_not_matter(problem in any_problem()) {
        let mut turned = problem.clone();
        turned.servers.reverse();
        let (one, other) = (solve(&problem).expect("sound"), solve(&turned).expect("sound"));
        let mut loads = other.loads;
        loads.reverse();
        prop_assert_eq!(&one.loads, &loads);
        prop_assert_eq!(&one, &solve(&problem).expect("sound"));
    }
}

#[test]
fn equal_servers_get_equal_weights_and_a_cold_one_waits_for_its_warmth() {
    let mut servers = vec![server(0, 4.0); 4];
    for warmth in [0.1, 0.25, 0.5, 0.75, 1.0] {
        servers[3].warmth = warmth;
        let answer = solve(&problem(1, servers.clone(), vec![class(0.1, 1.0, &[60.0])])).expect("sound");
        assert!(answer.loads[3] <= 4.0 * warmth);
        assert_eq!(answer.weights, [256; 4], "as if warm: the module holds back what is cold");
        let share = answer.loads[3] / answer.loads[0];
        assert!((share - warmth).abs() < 1e-6, "{share} at {warmth}");
    }
}

#[test]
fn short_by_a_tenth_a_half_and_a_hundred_times() {
    for (times, rich) in [(1.1, 1.0), (2.0, 1.0), (100.0, 0.1)] {
        let classes = vec![class(0.1, 3.0, &[times * 20.0]), class(0.1, 1.0, &[times * 20.0])];
        let answer = solve(&problem(1, vec![server(0, 4.0)], classes)).expect("sound");
        assert!(answer.let_in[0] <= rich, "{:?}", answer.let_in);
        assert!(answer.let_in[0] > answer.let_in[1], "the poorer gives way first: {:?}", answer.let_in);
        let dropped = answer.dropped.last().expect("the poorer");
        assert_eq!((dropped.class, &dropped.before[..]), (1, &[0][..]));
        let work = dropped.visits * 0.1;
        assert!(dropped.restored_by >= work && dropped.restored_by < 1.5 * work, "{dropped:?}");
    }
}

#[test]
fn a_zone_lost_whole_and_a_class_with_one_server() {
    let mut servers: Vec<Endpoint> = (0..6).map(|i| server(i / 2, 2.0)).collect();
    servers[..2].iter_mut().for_each(|server| server.withdrawn = true);
    let mut bound = class(0.05, 2.0, &[4.0, 0.0, 0.0]);
    bound.servers = Some(vec![4]);
    let answer = solve(&problem(3, servers.clone(), vec![class(0.1, 1.0, &[20.0, 5.0, 5.0]), bound.clone()]))
        .expect("sound");
    assert_eq!(answer.let_in, [1.0, 1.0]);
    assert_eq!(answer.weights[..2], [0, 0]);
    assert_eq!(answer.table(1, 0), [(4, 256)]);
    bound.servers = Some(vec![0]);
    let answer = solve(&problem(3, servers, vec![bound])).expect("sound");
    assert_eq!((answer.let_in[0], answer.dropped[0].room), (0.0, 0.0));
}

#[test]
fn demand_of_nothing_leaves_weights_by_size() {
    let answer = solve(&problem(1, vec![server(0, 1.0), server(0, 4.0)], vec![class(0.1, 1.0, &[0.0])]));
    let answer = answer.expect("sound");
    assert_eq!((answer.weights, answer.let_in), (vec![64, 256], vec![1.0]));
}

#[test]
fn capacities_a_million_apart() {
    let servers = vec![server(0, 1e-3), server(0, 1e3)];
    let answer = solve(&problem(1, servers, vec![class(0.01, 1.0, &[10_000.0])])).expect("sound");
    assert_eq!(answer.weights, [0, 256]);
    assert!(answer.let_in[0] > 0.99 && answer.loads[0] <= 1e-3);
}

#[test]
fn nonsense_is_named() {
    let sound = problem(1, vec![server(0, 1.0)], vec![class(0.1, 1.0, &[1.0])]);
    let check = |change: &dyn Fn(&mut Problem)| {
        let mut problem = sound.clone();
        change(&mut problem);
        solve(&problem).expect_err("nonsense").to_string()
    };
    assert_eq!(check(&|p| p.servers[0].capacity = f64::NAN), "server 0: capacity NaN");
    assert_eq!(check(&|p| p.servers[0].zone = 7), "server 0: zone 7");
    assert_eq!(check(&|p| p.classes[0].work = 0.0), "class 0: work 0");
    assert_eq!(check(&|p| p.classes[0].demand = vec![]), "class 0: zones of demand 0");
    assert_eq!(check(&|p| p.classes[0].servers = Some(vec![3])), "class 0: no such server: 3");
    assert_eq!(solve(&Problem { crossing: -1.0, ..sound }), Err(ProblemError::Crossing(-1.0)));
}

/// All servers of a class turn cold at once: no more is let in than cold ones can do, and weights stay, so
/// that no line is sent in the midst of it.
#[test]
fn when_all_turn_cold_less_is_let_in_and_weights_stay() {
    let warm = problem(1, vec![server(0, 4.0), server(0, 2.0)], vec![class(0.1, 1.0, &[50.0])]);
    let mut cold = warm.clone();
    cold.servers.iter_mut().for_each(|server| server.warmth = 0.25);
    let (before, after) = (solve(&warm).expect("sound"), solve(&cold).expect("sound"));
    assert_eq!((before.let_in[0], &before.weights), (1.0, &after.weights));
    assert!(after.let_in[0] <= 1.5 / 5.0, "1.5 cores of 5: {:?}", after.let_in);
    assert!(after.loads.iter().zip([1.0, 0.5]).all(|(load, room)| *load <= room));
}

/// One kind is gone and comes back at once, cold: it has its part of the weights again, and load by its
/// warmth only.
#[test]
fn one_kind_that_comes_back_at_once_gets_load_by_its_warmth() {
    let mut servers = vec![server(0, 2.0); 8];
    servers[4..].iter_mut().for_each(|server| server.withdrawn = true);
    let gone = problem(1, servers.clone(), vec![class(0.1, 1.0, &[100.0])]);
    servers[4..].iter_mut().for_each(|server| (server.withdrawn, server.warmth) = (false, 0.25));
    let back = Problem { servers, ..gone.clone() };
    let (gone, back) = (solve(&gone).expect("sound"), solve(&back).expect("sound"));
    assert_eq!(gone.weights[4..], [0; 4]);
    assert_eq!(back.weights, [256; 8]);
    assert!(back.loads[4..].iter().all(|load| *load <= 0.5), "{:?}", back.loads);
    assert!(back.let_in[0] > gone.let_in[0], "{:?} then {:?}", gone.let_in, back.let_in);
}
