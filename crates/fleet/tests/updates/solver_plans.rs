//! Plans on the ordinary path: what is learnt becomes listed weights and ceilings.

use lockcroft::HealthCheckOutcome;
use lockcroft_fleet::FleetController;

use crate::simulation::{Simulation, ms};

const SOLVER: &str = r#"<solver every="1s" cores="4"/>"#;

/// An endpoint that reports a low load at the same work is the larger one: it is given more, and no proxy is sent
/// the same twice once the plan stands.
#[test]
fn load_reports_become_weights() {
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

/// More requests than all endpoints can do: what is admitted is what there is capacity for, and no more.
#[test]
fn a_plan_short_of_capacity_limits_admission() {
    let mut simulation = Simulation::with_solver(2, 1, r#"<solver every="1s" cores="1"/>"#);
    simulation.set_load(100, &[ms(120), ms(120)], 5);
    simulation.run_to(20_000);
    let plan = simulation.fleet.show_plan();
    let word = |from: &str| plan.split_once(from).and_then(|(_, rest)| rest.split_whitespace().next());
    let planned: f64 = word("let_in ").and_then(|share| share.parse().ok()).expect("planned");
    assert!(planned < 0.25, "a request is a tenth of a second's work, and one in five succeeds: {plan}");
    assert!(plan.contains("dropped look-up"), "{plan}");
    let levels = simulation.commands();
    let levels: Vec<f64> = levels
        .lines()
        .filter_map(|line| line.split_once("level_look_up int(")?.1.trim_end_matches(')').parse().ok())
        .collect();
    let last = *levels.last().expect("sent");
    assert!(last <= 250.0 && last <= planned * 1000.0 + 50.0, "{levels:?} of {planned}");
}

#[test]
fn without_a_solver_there_is_no_plan() {
    let mut simulation = Simulation::new(2, 1);
    simulation.set_load(100, &[ms(60), ms(60)], 1);
    simulation.run_to(10_000);
    assert_eq!(simulation.fleet.show_plan(), "No solver is set.\n");
    assert!(FleetController::last_problem(&simulation.fleet).is_none());
}

/// Tables by zone: each zone's proxies keep to their own endpoints while these can do what comes, and only the zone
/// with too much sends some of it across.
#[test]
fn each_zone_has_a_table_as_planned() {
    let mut simulation =
        Simulation::two_zones(4, 4, r#"<solver every="1s" cores="4" crossing="0.2" by-zone="true"/>"#);
    simulation.set_load(20, &[ms(110); 4], 1);
    simulation.run_to(30_000);
    let names = |proxy| simulation.weights(proxy).into_iter().map(|(name, _)| name).collect::<Vec<_>>();
    assert_eq!((names(0), names(2)), (vec!["e0".into(), "e2".into()], vec!["e0".into(), "e2".into()]));
    assert_eq!(names(1), ["e1", "e3"]);
    // Two proxies of the one zone get three times what its endpoints have cores for.
    simulation.set_load_by_proxy(&[120, 20, 120, 20], &[ms(110); 4], 1);
    simulation.run_to(50_000);
    let weights = simulation.weights(0);
    assert_eq!(weights.len(), 4, "the other zone takes some: {weights:?}");
    assert!(weights[0].1 > weights[1].1, "and its own endpoints more each: {weights:?}");
}

/// No endpoint is up that the class may use: to reject its requests would mend nothing, and the health checks may
/// be wrong.
#[test]
fn a_class_without_endpoints_is_not_limited_by_the_plan() {
    let mut simulation = Simulation::with_unusable_class(2, 1, SOLVER);
    simulation.set_load(20, &[ms(110); 2], 1);
    simulation.run_to(15_000);
    let (problem, _) = FleetController::last_problem(&simulation.fleet).expect("a plan was made");
    assert_eq!(problem.classes[0].allowed_endpoints, Some(vec![]), "none of its machine type is there");
    assert!(simulation.fleet.show_plan().contains("let_in 1"), "{}", simulation.fleet.show_plan());
}
