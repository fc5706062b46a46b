//! Holding on to an answer, and what is learnt of servers.

use std::time::Duration;

use lockcroft_solver::{Class, Keeper, Learner, Look, Price, Problem, Server, solve};
use proptest::prelude::*;

const PRICE: Price = Price { line: 0.5, lines_most: 100, stands: 30.0 };

fn problem(capacities: &[f64], demand: f64) -> Problem {
    let server = |capacity: &f64| Server { zone: 0, capacity: *capacity, warmth: 1.0, withdrawn: false };
    let class = Class {
        work: 0.1,
        contract_time: 1.0,
        earnings: 1.0,
        zones: vec![],
        servers: vec![],
        demand: vec![demand],
    };
    Problem {
        zones: 1,
        servers: capacities.iter().map(server).collect(),
        classes: vec![class],
        crossing: 0.0,
    }
}

fn take(keeper: &mut Keeper, problem: &Problem, price: Price) -> Vec<(usize, u32)> {
    let numbers: Vec<usize> = (0..problem.servers.len()).collect();
    keeper.take(problem, &numbers, &solve(problem).expect("sound"), price)
}

proptest! {
    /// Demand that trembles by a twentieth, and capacities by less than a weight's step, move no line.
    #[test]
    fn trembling_moves_nothing(tremble in proptest::collection::vec(-0.05..0.05_f64, 20)) {
        let mut keeper = Keeper::default();
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
    let mut keeper = Keeper::default();
    take(&mut keeper, &problem(&[2.0; 6], 90.0), PRICE);
    // One turns out to be half as large: late visits cost more than a line.
    let halved = problem(&[2.0, 2.0, 2.0, 2.0, 2.0, 1.0], 90.0);
    let dear = Price { line: 1e6, ..PRICE };
    assert_eq!(take(&mut keeper.clone(), &halved, dear), []);
    assert_eq!(take(&mut keeper, &halved, PRICE), [(5, 128)]);
    assert_eq!(take(&mut keeper, &halved, PRICE), [], "and there it stays");
}

/// So many lines at once and no more; the next answers bring the others.
#[test]
fn a_great_change_keeps_the_pace() {
    let mut keeper = Keeper::default();
    take(&mut keeper, &problem(&[2.0; 40], 600.0), PRICE);
    let capacities: Vec<f64> = (0..40).map(|i| if i < 12 { 0.5 } else { 2.0 }).collect();
    let halved = problem(&capacities, 500.0);
    let slow = Price { lines_most: 5, ..PRICE };
    let lines: Vec<usize> = (0..4).map(|_| take(&mut keeper, &halved, slow).len()).collect();
    assert_eq!(lines, [5, 5, 2, 0]);
}

#[test]
fn a_server_that_is_new_weighs_something_at_any_price() {
    let mut keeper = Keeper::default();
    let dear = Price { line: 1e6, ..PRICE };
    take(&mut keeper, &problem(&[2.0; 3], 30.0), dear);
    assert_eq!(take(&mut keeper, &problem(&[2.0; 4], 30.0), dear), [(3, 256)]);
    take(&mut keeper, &problem(&[2.0; 2], 30.0), dear);
    assert_eq!(keeper.weights().len(), 2, "who went is forgotten");
}

fn learner() -> Learner {
    Learner::new(Duration::from_secs(30))
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn looks(learner: &mut Learner, spans: std::ops::Range<u64>, look: Look) {
    spans.for_each(|at| learner.look(secs(at), 0, 2.0, look));
}

#[test]
fn a_server_that_tells_its_load_is_known_without_being_full() {
    let mut learner = learner();
    looks(&mut learner, 0..60, Look { done: 1.0, late: false, slowdown: 0.0, load: Some(0.25) });
    let known = learner.estimate(secs(60), 0, 2.0);
    assert!((known.capacity - 4.0).abs() < 0.1, "{known:?}");
    // What was told loses force, until only the list is left.
    let old = learner.estimate(secs(600), 0, 2.0);
    assert!((old.capacity - 2.0).abs() < 0.01 && old.age == Some(secs(541)), "{old:?}");
}

/// Without a load that is told, times tell: a server of one core at half its load takes half as
/// long again as the work, one of four an eighteenth, and a slow one (half a core) three times as long.
#[test]
fn times_tell_what_a_silent_server_can_do() {
    let known = |done: f64, slowdown: f64| {
        let mut learner = learner();
        looks(&mut learner, 0..60, Look { done, late: false, slowdown, load: None });
        learner.estimate(secs(60), 0, 2.0).capacity
    };
    assert!((known(0.5, 1.5) - 1.0).abs() < 0.05, "{}", known(0.5, 1.5));
    assert!((known(2.0, 1.056) - 4.0).abs() < 0.1, "{}", known(2.0, 1.056));
    assert!((known(0.25, 3.0) - 0.5).abs() < 0.05, "{}", known(0.25, 3.0));
    assert!((7.0..=8.0).contains(&known(1.6, 1.0)), "at most four times what was known: {}", known(1.6, 1.0));
}

#[test]
fn a_lying_load_and_an_idle_server_are_bounded() {
    let mut learner = learner();
    looks(&mut learner, 0..60, Look { done: 1.2, late: true, slowdown: 0.0, load: Some(0.0) });
    let liar = learner.estimate(secs(60), 0, 2.0);
    assert!(liar.capacity <= 1.3, "late at 1.2, whatever it tells: {liar:?}");
    looks(&mut learner, 60..120, Look { done: 0.9, late: false, slowdown: 0.0, load: Some(1e-9) });
    let idle = learner.estimate(secs(120), 0, 2.0);
    assert!(idle.capacity <= 8.0, "{idle:?}");
    learner.look(secs(121), 1, 2.0, Look { done: 0.01, late: false, slowdown: 0.0, load: None });
    assert_eq!(learner.estimate(secs(121), 1, 2.0).capacity, 2.0, "an idle one is what the list says");
}

#[test]
fn a_jam_is_not_for_ever() {
    let mut learner = learner();
    looks(&mut learner, 0..30, Look { done: 1.8, late: false, slowdown: 0.0, load: None });
    looks(&mut learner, 30..40, Look { done: 0.2, late: true, slowdown: 0.0, load: None });
    let jammed = learner.estimate(secs(40), 0, 2.0);
    assert!((1.4..1.9).contains(&jammed.capacity), "it did 1.8 a while ago: {jammed:?}");
    looks(&mut learner, 40..140, Look { done: 0.0, late: true, slowdown: 0.0, load: None });
    assert!(learner.estimate(secs(140), 0, 2.0).capacity >= 0.5, "a quarter of what was known at least");
    let later = learner.estimate(secs(340), 0, 2.0);
    assert_eq!(later.capacity, 2.0, "{later:?}");
    learner.keep(|_| false);
    assert_eq!(learner.estimate(secs(340), 0, 2.0).age, None);
}
