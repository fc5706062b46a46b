//! Plans on the ordinary path: what is learnt becomes listed weights and ceilings.

use lockcroft::HealthCheckOutcome;
use lockcroft_fleet::FleetController;

use crate::stage::{Stage, ms};

const SOLVER: &str = r#"<solver every="1s" cores="4"/>"#;

/// A server that tells a low load at the same work is the larger one: it is given more, and no proxy is told
/// the same twice once the plan stands.
#[test]
fn what_servers_tell_becomes_weights() {
    let mut stage = Stage::with_solver(2, 1, SOLVER);
    stage.visits(60, &[ms(160), ms(160)], 1);
    stage.findings.insert(0, HealthCheckOutcome::Passed(Some(0.8)));
    stage.findings.insert(1, HealthCheckOutcome::Passed(Some(0.2)));
    stage.run_to(60_000);
    let picks = stage.picks(0);
    let [(_, small), (_, large)] = &picks[..] else { panic!("{picks:?}") };
    assert!(*large > 2 * *small && *small > 0, "{picks:?}");
    let plan = stage.helm.show_plan();
    assert!(plan.contains("class look-up") && plan.contains("server e1"), "{plan}");
    stage.quiet().run_to(90_000);
    assert_eq!(stage.orders(), "", "what stands is not told again");
}

/// More visits than all servers can do: what is let in is what there is room for, and no more.
#[test]
fn a_plan_that_is_short_is_a_ceiling() {
    let mut stage = Stage::with_solver(2, 1, r#"<solver every="1s" cores="1"/>"#);
    stage.visits(100, &[ms(120), ms(120)], 5);
    stage.run_to(20_000);
    let plan = stage.helm.show_plan();
    let word = |from: &str| plan.split_once(from).and_then(|(_, rest)| rest.split_whitespace().next());
    let planned: f64 = word("let_in ").and_then(|share| share.parse().ok()).expect("planned");
    assert!(planned < 0.25, "a visit is a tenth of a second's work, and one in five is fulfilled: {plan}");
    assert!(plan.contains("dropped look-up"), "{plan}");
    let levels = stage.orders();
    let levels: Vec<f64> = levels
        .lines()
        .filter_map(|line| line.split_once("level_look_up int(")?.1.trim_end_matches(')').parse().ok())
        .collect();
    let last = *levels.last().expect("told");
    assert!(last <= 250.0 && last <= planned * 1000.0 + 50.0, "{levels:?} of {planned}");
}

#[test]
fn without_a_solver_there_is_no_plan() {
    let mut stage = Stage::new(2, 1);
    stage.visits(100, &[ms(60), ms(60)], 1);
    stage.run_to(10_000);
    assert_eq!(stage.helm.show_plan(), "No solver is set.\n");
    assert!(FleetController::plan(&stage.helm).is_none());
}

/// Tables by zone: each zone's proxies keep to their own servers while these can do what comes, and only the zone
/// with too much sends some of it across.
#[test]
fn each_zone_has_a_table_as_planned() {
    let mut stage = Stage::two_zones(4, 4, r#"<solver every="1s" cores="4" crossing="0.2" by-zone="true"/>"#);
    stage.visits(20, &[ms(110); 4], 1);
    stage.run_to(30_000);
    let names = |proxy| stage.picks(proxy).into_iter().map(|(name, _)| name).collect::<Vec<_>>();
    assert_eq!((names(0), names(2)), (vec!["e0".into(), "e2".into()], vec!["e0".into(), "e2".into()]));
    assert_eq!(names(1), ["e1", "e3"]);
    // Two proxies of the one zone get three times what its servers have cores for.
    stage.visits_at(&[120, 20, 120, 20], &[ms(110); 4], 1);
    stage.run_to(50_000);
    let picks = stage.picks(0);
    assert_eq!(picks.len(), 4, "the other zone takes some: {picks:?}");
    assert!(picks[0].1 > picks[1].1, "and its own servers more each: {picks:?}");
}

/// No server is up that the class may use: to refuse its visits would mend nothing, and the probes may be wrong.
#[test]
fn where_a_class_has_no_server_the_plan_is_no_ceiling() {
    let mut stage = Stage::bound(2, 1, SOLVER);
    stage.visits(20, &[ms(110); 2], 1);
    stage.run_to(15_000);
    let (problem, _) = FleetController::plan(&stage.helm).expect("a plan was made");
    assert_eq!(problem.classes[0].servers, Some(vec![]), "none of its kind is there");
    assert!(stage.helm.show_plan().contains("let_in 1"), "{}", stage.helm.show_plan());
}
