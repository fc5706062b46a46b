//! Effects of the solver's plans and of fixed weights: tables by zone, planned weights, fallback.

use std::collections::BTreeMap;

use crate::test_fleet::*;
use expect_test::expect;
use lockcroft::HealthCheckOutcome;

/// Two endpoints and one proxy in each of two zones.
fn by_zone() -> TestFleet {
    let mut fleet = TestFleet::with(4, |settings| {
        settings.solver.by_zone = true;
    });
    fleet.attach(0).attach(1).run_until(6000);
    fleet
}

#[test]
fn each_zone_has_a_table_of_its_own_endpoints_without_a_plan() {
    let trace = by_zone().lines_with(&["endpoint", "assign"]);
    expect![[r#"
        5.0 table 0: endpoint 0 1
        5.0 table 0: endpoint 2 1
        5.0 table 1: endpoint 1 1
        5.0 table 1: endpoint 3 1
        5.0 table 0: assign to proxy 0
        5.0 table 1: assign to proxy 1
        5.0 # book, look: table released, all endpoints have a health check result
        5.0 # book, look: table released, all endpoints have a health check result
    "#]]
    .assert_eq(&trace);
}

#[test]
fn plan_uses_endpoints_of_another_zone_for_excess_requests() {
    let mut fleet = by_zone();
    fleet.clear_trace().controller.set_planned_weights(0, BTreeMap::from([(0, 1.0), (2, 1.0), (1, 0.25)]));
    let trace = fleet.run_until(7000).lines_with(&["table"]);
    expect![[r#"
        6.2 table 0: endpoint 1 0.25
    "#]]
    .assert_eq(&trace);
}

/// Guards against overload when a zone loses the endpoints of its plan: the plan is not updated immediately,
/// and the rest of it, a quarter of one endpoint, cannot serve all requests. The table falls back to all
/// endpoints of its locality group with listed weights, and returns to the plan once the endpoints are
/// healthy again.
#[test]
fn table_falls_back_to_its_group_when_planned_endpoints_are_lost() {
    let mut fleet = by_zone();
    fleet.controller.set_planned_weights(0, BTreeMap::from([(0, 1.0), (2, 1.0), (1, 0.25)]));
    fleet.run_until(7000).clear_trace();
    (fleet.health[0], fleet.health[2]) = (HealthCheckOutcome::Refused, HealthCheckOutcome::Refused);
    let trace = fleet.run_until(10_000).lines_with(&["table 0"]);
    expect![[r#"
        8.8 table 0: endpoint 3 1
        8.8 table 0: endpoint 1 1
        8.8 table 0: endpoint 0 0
        8.8 table 0: endpoint 2 0
    "#]]
    .assert_eq(&trace);
    (fleet.health[0], fleet.health[2]) = (HealthCheckOutcome::Passed(None), HealthCheckOutcome::Passed(None));
    let trace = fleet.clear_trace().run_until(16_000).lines_with(&["table 0"]);
    expect![[r#"
        11.6 table 0: endpoint 2 1
        11.6 table 0: endpoint 3 0
        11.6 table 0: endpoint 1 0.25
        11.8 table 0: endpoint 0 1
    "#]]
    .assert_eq(&trace);
}

/// Guards against a proxy without endpoints: a planned weight that is rounded to 0 does not count as a usable
/// endpoint, so the table falls back to its locality group.
#[test]
fn planned_weight_below_one_step_leaves_no_proxy_without_an_endpoint() {
    let mut fleet = by_zone();
    fleet.controller.set_planned_weights(0, BTreeMap::from([(0, 1.0), (2, 0.02)]));
    fleet.run_until(7000).clear_trace();
    fleet.health[0] = HealthCheckOutcome::Refused;
    let trace = fleet.run_until(10_000).lines_with(&["table 0"]);
    expect![[r#"
        8.8 table 0: endpoint 1 1
        8.8 table 0: endpoint 2 1
        8.8 table 0: endpoint 3 1
        8.8 table 0: endpoint 0 0
    "#]]
    .assert_eq(&trace);
}

#[test]
fn fixed_weights_stay_when_an_endpoint_is_slow() {
    let slow = [(50, 0, 800), (50, 0, 100), (50, 0, 100), (50, 0, 100)];
    let weights = |fixed: bool| {
        let mut fleet = TestFleet::with(4, |settings| settings.rules.fixed_weights = fixed);
        fleet.attach(0).run_until(6000).clear_trace();
        fleet.report_until(10_000, &slow).lines_with(&["endpoint 0"])
    };
    assert_eq!(weights(true), "");
    assert!(!weights(false).is_empty(), "a slow endpoint loses weight unless the settings fix weights");
}
