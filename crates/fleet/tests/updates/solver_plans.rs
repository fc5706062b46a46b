//! Solver plans: planned weights, and planned limits of admission.

use lockcroft::HealthCheckOutcome;
use lockcroft_fleet::FleetController;

use crate::simulation::{Simulation, ms};

const SOLVER: &str = r#"<solver every="1s" cores="4"/>"#;

/// An endpoint that reports a lower load for the same work has more capacity, and gets more weight. Once the plan is
/// applied, no update is sent again.
#[test]
fn endpoint_with_lower_load_gets_more_weight() {
    let mut simulation = Simulation::with_solver(2, 1, SOLVER);
    simulation.set_load(60, &[ms(160), ms(160)], 1);
    simulation.health_checks.insert(0, HealthCheckOutcome::Passed(Some(0.8)));
    simulation.health_checks.insert(1, HealthCheckOutcome::Passed(Some(0.2)));
    simulation.run_to(60_000);
    let weights = simulation.weights(0);
    let [(_, small), (_, large)] = &weights[..] else { panic!("{weights:?}") };
    assert!(*large > 2 * *small && *small > 0, "{weights:?}");
    let plan = simulation.fleet.show_plan();
    assert!(plan.contains("class look-up") && plan.contains("server e1"), "{plan}");
    simulation.clear_trace().run_to(90_000);
    assert_eq!(simulation.commands(), "", "what is applied is not sent again");
}

/// If demand exceeds the capacity of all endpoints, the plan admits only the requests that there is capacity for.
#[test]
fn demand_above_capacity_limits_admission() {
    let mut simulation = Simulation::with_solver(2, 1, r#"<solver every="1s" cores="1"/>"#);
    simulation.set_load(100, &[ms(120), ms(120)], 5);
    simulation.run_to(20_000);
    let plan = simulation.fleet.show_plan();
    let value = |key: &str| plan.split_once(key).and_then(|(_, rest)| rest.split_whitespace().next());
    let planned: f64 = value("let_in ").and_then(|rate| rate.parse().ok()).expect("planned");
    assert!(planned < 0.25, "a request takes a tenth of a core-second, and one in five succeeds: {plan}");
    assert!(plan.contains("dropped look-up"), "{plan}");
    let commands = simulation.commands();
    let thousandths: Vec<f64> = commands
        .lines()
        .filter_map(|line| line.split_once("level_look_up int(")?.1.trim_end_matches(')').parse().ok())
        .collect();
    let last = *thousandths.last().expect("sent");
    assert!(last <= 250.0 && last <= planned * 1000.0 + 50.0, "{thousandths:?} of {planned}");
}

#[test]
fn without_a_solver_there_is_no_plan() {
    let mut simulation = Simulation::new(2, 1);
    simulation.set_load(100, &[ms(60), ms(60)], 1);
    simulation.run_to(10_000);
    assert_eq!(simulation.fleet.show_plan(), "No solver is set.\n");
    assert!(FleetController::last_problem(&simulation.fleet).is_none());
}

/// With tables by zone, the proxies of a zone use the endpoints of their zone while these have enough capacity; only
/// a zone with excess demand sends requests to the other.
#[test]
fn only_a_zone_with_excess_demand_uses_the_other_zone() {
    let mut simulation =
        Simulation::with_two_zones(4, 4, r#"<solver every="1s" cores="4" crossing="0.2" by-zone="true"/>"#);
    simulation.set_load(20, &[ms(110); 4], 1);
    simulation.run_to(30_000);
    let names = |proxy| simulation.weights(proxy).into_iter().map(|(name, _)| name).collect::<Vec<_>>();
    assert_eq!((names(0), names(2)), (vec!["e0".into(), "e2".into()], vec!["e0".into(), "e2".into()]));
    assert_eq!(names(1), ["e1", "e3"]);
    // The demand at the two proxies of one zone is three times the capacity of its endpoints.
    simulation.set_load_by_proxy(&[120, 20, 120, 20], &[ms(110); 4], 1);
    simulation.run_to(50_000);
    let weights = simulation.weights(0);
    assert_eq!(weights.len(), 4, "the other zone takes some requests: {weights:?}");
    assert!(weights[0].1 > weights[1].1, "each endpoint of the zone takes more: {weights:?}");
}

/// No endpoint that the class may use is up: rejecting its requests would relieve no endpoint, and the health checks
/// may be wrong.
#[test]
fn class_without_endpoints_is_not_limited_by_the_plan() {
    let mut simulation = Simulation::with_unusable_class(2, 1, SOLVER);
    simulation.set_load(20, &[ms(110); 2], 1);
    simulation.run_to(15_000);
    let (problem, _) = FleetController::last_problem(&simulation.fleet).expect("a plan was made");
    assert_eq!(problem.classes[0].endpoints, Some(vec![]), "no endpoint has its machine type");
    assert!(simulation.fleet.show_plan().contains("let_in 1"), "{}", simulation.fleet.show_plan());
}
