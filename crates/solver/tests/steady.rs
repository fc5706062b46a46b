//! Holding on to an answer, and what is learnt of servers.

use std::time::Duration;

use lockcroft_solver::{
    CapacityEstimator, CapacityPrior, ChangePrice, Class, Endpoint, LoadSample, PlanStabilizer, Problem,
    Shares, TableScope, Tables, solve,
};
use proptest::prelude::*;

const PRICE: ChangePrice = ChangePrice { line: 0.5, lines_most: 100, stands: 30.0 };

fn problem(capacities: &[f64], demand: f64) -> Problem {
    let server = |capacity: &f64| Endpoint { zone: 0, capacity: *capacity, warmth: 1.0, withdrawn: false };
    let class = Class {
        work: 0.1,
        contract_time: 1.0,
        earnings: 1.0,
        zones: vec![],
        servers: None,
        demand: vec![demand],
    };
    Problem {
        zones: 1,
        servers: capacities.iter().map(server).collect(),
        classes: vec![class],
        crossing: 0.0,
    }
}

fn take(keeper: &mut PlanStabilizer, problem: &Problem, price: ChangePrice) -> Vec<(usize, u32)> {
    let numbers: Vec<usize> = (0..problem.servers.len()).collect();
    keeper.take(problem, &numbers, &solve(problem).expect("sound"), price)
}

proptest! {
    /// Demand that trembles by a twentieth, and capacities by less than a weight's step, move no line.
    #[test]
    fn trembling_moves_nothing(tremble in proptest::collection::vec(-0.05..0.05_f64, 20)) {
        let mut keeper = PlanStabilizer::default();
        let capacities = [1.0, 2.0, 2.0, 4.0, 8.0];
        prop_assert_eq!(take(&mut keeper, &problem(&capacities, 100.0), PRICE).len(), 5);
        let shares = keeper.let_in().to_vec();
        for part in tremble {
            let none = take(&mut keeper, &problem(&capacities, 100.0 * (1.0 + part)), PRICE);
            prop_assert_eq!(none, vec![]);
            prop_assert_eq!(keeper.let_in(), &shares[..]);
        }
    }
}

#[test]
fn what_gains_more_than_its_lines_cost_is_taken_and_the_rest_is_not() {
    let mut keeper = PlanStabilizer::default();
    take(&mut keeper, &problem(&[2.0; 6], 90.0), PRICE);
    // One turns out to be half as large: late visits cost more than a line.
    let halved = problem(&[2.0, 2.0, 2.0, 2.0, 2.0, 1.0], 90.0);
    let dear = ChangePrice { line: 1e6, ..PRICE };
    assert_eq!(take(&mut keeper.clone(), &halved, dear), []);
    assert_eq!(take(&mut keeper, &halved, PRICE), [(5, 128)]);
    assert_eq!(take(&mut keeper, &halved, PRICE), [], "and there it stays");
}

/// So many lines at once and no more; the next answers bring the others.
#[test]
fn a_great_change_keeps_the_pace() {
    let mut keeper = PlanStabilizer::default();
    take(&mut keeper, &problem(&[2.0; 40], 600.0), PRICE);
    let capacities: Vec<f64> = (0..40).map(|i| if i < 12 { 0.5 } else { 2.0 }).collect();
    let halved = problem(&capacities, 500.0);
    let slow = ChangePrice { lines_most: 5, ..PRICE };
    let lines: Vec<usize> = (0..4).map(|_| take(&mut keeper, &halved, slow).len()).collect();
    assert_eq!(lines, [5, 5, 2, 0]);
}

#[test]
fn a_server_that_is_new_weighs_something_at_any_price() {
    let mut keeper = PlanStabilizer::default();
    let dear = ChangePrice { line: 1e6, ..PRICE };
    take(&mut keeper, &problem(&[2.0; 3], 30.0), dear);
    assert_eq!(take(&mut keeper, &problem(&[2.0; 4], 30.0), dear), [(3, 256)]);
    take(&mut keeper, &problem(&[2.0; 2], 30.0), dear);
    assert_eq!(keeper.weights().len(), 2, "who went is forgotten");
}

const PRIOR: CapacityPrior = CapacityPrior { cores: 2.0, within: 4.0 };

fn learner() -> CapacityEstimator {
    CapacityEstimator::new(Duration::from_secs(30))
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn looks(learner: &mut CapacityEstimator, spans: std::ops::Range<u64>, look: LoadSample) {
    spans.for_each(|at| learner.look(secs(at), 0, PRIOR, look));
}

#[test]
fn a_server_that_tells_its_load_is_known_without_being_full() {
    let mut learner = learner();
    looks(&mut learner, 0..60, LoadSample { done: 1.0, late: false, slowdown: 0.0, load: Some(0.25) });
    let known = learner.estimate(secs(60), 0, PRIOR);
    assert!((known.capacity - 4.0).abs() < 0.1, "{known:?}");
    // What was told loses force, until only the list is left.
    let old = learner.estimate(secs(600), 0, PRIOR);
    assert!((old.capacity - 2.0).abs() < 0.01 && old.age == Some(secs(541)), "{old:?}");
}

/// Without a load that is told, times tell: a server of one core at half its load takes half as
/// long again as the work, one of four an eighteenth, and a slow one (half a core) three times as long.
#[test]
fn times_tell_what_a_silent_server_can_do() {
    let known = |done: f64, slowdown: f64| {
        let mut learner = learner();
        looks(&mut learner, 0..60, LoadSample { done, late: false, slowdown, load: None });
        learner.estimate(secs(60), 0, PRIOR).capacity
    };
    assert!((known(0.5, 1.5) - 1.0).abs() < 0.05, "{}", known(0.5, 1.5));
    assert!((known(2.0, 1.056) - 4.0).abs() < 0.1, "{}", known(2.0, 1.056));
    assert!((known(0.25, 3.0) - 0.5).abs() < 0.05, "{}", known(0.25, 3.0));
    assert!((7.0..=8.0).contains(&known(1.6, 1.0)), "at most four times what was known: {}", known(1.6, 1.0));
}

#[test]
fn a_lying_load_and_an_idle_server_are_bounded() {
    let mut learner = learner();
    looks(&mut learner, 0..60, LoadSample { done: 1.2, late: true, slowdown: 0.0, load: Some(0.0) });
    let liar = learner.estimate(secs(60), 0, PRIOR);
    assert!(liar.capacity <= 1.3, "late at 1.2, whatever it tells: {liar:?}");
    looks(&mut learner, 60..120, LoadSample { done: 0.9, late: false, slowdown: 0.0, load: Some(1e-9) });
    let idle = learner.estimate(secs(120), 0, PRIOR);
    assert!(idle.capacity <= 8.0, "{idle:?}");
    learner.look(secs(121), 1, PRIOR, LoadSample { done: 0.01, late: false, slowdown: 0.0, load: None });
    assert_eq!(learner.estimate(secs(121), 1, PRIOR).capacity, 2.0, "an idle one is what the list says");
}

#[test]
fn a_jam_is_not_for_ever() {
    let mut learner = learner();
    looks(&mut learner, 0..30, LoadSample { done: 1.8, late: false, slowdown: 0.0, load: None });
    looks(&mut learner, 30..40, LoadSample { done: 0.2, late: true, slowdown: 0.0, load: None });
    let jammed = learner.estimate(secs(40), 0, PRIOR);
    assert!((1.4..1.9).contains(&jammed.capacity), "it did 1.8 a while ago: {jammed:?}");
    looks(&mut learner, 40..140, LoadSample { done: 0.0, late: true, slowdown: 0.0, load: None });
    assert!(learner.estimate(secs(140), 0, PRIOR).capacity >= 0.5, "a quarter of what was known at least");
    let later = learner.estimate(secs(340), 0, PRIOR);
    assert_eq!(later.capacity, 2.0, "{later:?}");
    learner.keep(|_| false);
    assert_eq!(learner.estimate(secs(340), 0, PRIOR).age, None);
}

/// What is stated of a kind is not unlearnt by a jam, nor by times that look quick; what others of a kind
/// showed stands for one of which nothing is known, and one that is odd leads nobody astray but itself.
#[test]
fn what_is_known_of_a_kind_bounds_what_one_server_shows() {
    let mut learner = learner();
    let stated = CapacityPrior::stated(4.0);
    for at in 0..60 {
        learner.look(secs(at), 0, stated, LoadSample { done: 0.5, late: true, slowdown: 9.0, load: None });
        learner.look(secs(at), 1, stated, LoadSample { done: 3.9, late: false, slowdown: 1.0, load: None });
    }
    let capacity = |server| learner.estimate(secs(60), server, stated).capacity;
    assert!(capacity(0) >= 3.5 && capacity(1) <= 4.5, "{} and {}", capacity(0), capacity(1));
    for server in 2..6 {
        let load = if server == 5 { 0.9 } else { 0.5 };
        let look = LoadSample { done: 1.0, late: false, slowdown: 0.0, load: Some(load) };
        (0..60).for_each(|at| learner.look(secs(at), server, PRIOR, look));
    }
    assert_eq!(learner.alike(secs(60), 2..4), None, "two are too few");
    let alike = learner.alike(secs(60), 2..6).expect("four showed it");
    assert!((alike - 2.0).abs() < 0.1, "{alike}");
    assert_eq!(learner.alike(secs(600), 2..6), None, "that was long ago");
    let new = learner.estimate(secs(60), 9, CapacityPrior::alike(alike));
    assert_eq!((new.capacity, new.age), (alike, None));
}

/// Two zones of two servers, the first with twice as many visits as its servers can do.
fn two_zones(visits: f64) -> Problem {
    let server = |zone| Endpoint { zone, capacity: 2.0, warmth: 1.0, withdrawn: false };
    let class = Class { demand: vec![visits, 5.0], ..problem(&[], 0.0).classes.remove(0) };
    Problem { zones: 2, servers: [0, 0, 1, 1].map(server).into(), classes: vec![class], crossing: 0.2 }
}

fn lay(tables: &mut Tables, problem: &Problem, anew: bool) -> Vec<(usize, Shares)> {
    let lanes = [0, 1].map(|zone| TableScope { zone, classes: vec![0] });
    let answer = solve(problem).expect("sound");
    let listed = (0..4).map(|server| (server, 256)).collect();
    tables.take(problem, &[0, 1, 2, 3], &answer, &lanes, &listed, anew)
}

#[test]
fn a_zone_with_too_much_spills_and_the_other_keeps_to_itself() {
    let mut tables = Tables::default();
    let laid = lay(&mut tables, &two_zones(50.0), false);
    let [(0, from), (1, own)] = &laid[..] else { panic!("{laid:?}") };
    assert!(from[&0] == 1.0 && from[&0] == from[&1] && from[&2] < 1.0 && from[&2] > 0.2, "{from:?}");
    assert_eq!(own.keys().copied().collect::<Vec<_>>(), [2, 3], "{own:?}");
    assert_eq!(lay(&mut tables, &two_zones(51.0), false), [], "demand that trembles moves no table");
    let moved = lay(&mut tables, &two_zones(20.0), false);
    assert_eq!(moved.iter().map(|(place, _)| *place).collect::<Vec<_>>(), [0], "{moved:?}");
    // One that is gone is the module's matter until a newcomer or a greater change asks for lines.
    let mut lost = two_zones(20.0);
    lost.servers[0].withdrawn = true;
    let moved = lay(&mut tables, &lost, false);
    assert!(moved.iter().all(|(_, shares)| !shares.contains_key(&0)), "{moved:?}");
}

/// A cold server's share is what it would have if it were warm: its warmth is taken off once, by the module.
#[test]
fn a_cold_server_in_a_table_is_held_back_once() {
    let mut cold = two_zones(20.0);
    cold.servers[0].warmth = 0.25;
    let laid = lay(&mut Tables::default(), &cold, false);
    let shares = &laid[0].1;
    assert!((shares[&0] - shares[&1]).abs() < 1e-6, "{shares:?}");
}
