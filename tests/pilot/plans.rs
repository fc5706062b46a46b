//! What plans made ahead change: tables by zone, and weights that the terms fix.

use std::collections::BTreeMap;

use crate::stage::*;
use expect_test::expect;
use lockcroft::HealthCheckOutcome;

/// Four servers, two a zone, and a proxy in each zone.
fn by_zone() -> Stage {
    let mut stage = Stage::with(4, |settings| {
        settings.solver.by_zone = true;
    });
    stage.join(0).join(1).run_to(6000);
    stage
}

#[test]
fn without_a_plan_each_zone_has_a_table_of_its_own_servers() {
    let trace = by_zone().said(&["server", "bind"]);
    expect![[r#"
        5.0 table 0: server 0 1
        5.0 table 0: server 2 1
        5.0 table 1: server 1 1
        5.0 table 1: server 3 1
        5.0 table 0: bind proxy 0
        5.0 table 1: bind proxy 1
        5.0 # book, look: table released, all its servers have a result
        5.0 # book, look: table released, all its servers have a result
    "#]]
    .assert_eq(&trace);
}

#[test]
fn a_plan_brings_in_servers_of_another_zone_for_what_is_too_much() {
    let mut stage = by_zone();
    stage.quiet().pilot.set_planned_weights(0, BTreeMap::from([(0, 1.0), (2, 1.0), (1, 0.25)]));
    let trace = stage.run_to(7000).said(&["table"]);
    expect![[r#"
        6.2 table 0: server 1 0.25
    "#]]
    .assert_eq(&trace);
}

/// A zone is lost that its table was planned on: the plan is some time old, and a quarter of one server is not enough
/// for all. Everybody beside it stands in at once, as listed, and the plan holds again once they are back.
#[test]
fn where_a_plan_has_lost_its_servers_all_beside_it_stand_in() {
    let mut stage = by_zone();
    stage.pilot.set_planned_weights(0, BTreeMap::from([(0, 1.0), (2, 1.0), (1, 0.25)]));
    stage.run_to(7000).quiet();
    (stage.health[0], stage.health[2]) = (HealthCheckOutcome::Refused, HealthCheckOutcome::Refused);
    let trace = stage.run_to(10_000).said(&["table 0"]);
    expect![[r#"
        8.8 table 0: server 3 1
        8.8 table 0: server 1 1
        8.8 table 0: server 0 0
        8.8 table 0: server 2 0
    "#]]
    .assert_eq(&trace);
    (stage.health[0], stage.health[2]) = (HealthCheckOutcome::Passed(None), HealthCheckOutcome::Passed(None));
    let trace = stage.quiet().run_to(16_000).said(&["table 0"]);
    expect![[r#"
        11.6 table 0: server 2 1
        11.6 table 0: server 3 0
        11.6 table 0: server 1 0.25
        11.8 table 0: server 0 1
    "#]]
    .assert_eq(&trace);
}

/// A share too small for the grid is no endpoint: with nobody else well, the rule on endpoints goes first.
#[test]
fn a_share_below_the_grid_leaves_no_proxy_without_an_endpoint() {
    let mut stage = by_zone();
    stage.pilot.set_planned_weights(0, BTreeMap::from([(0, 1.0), (2, 0.02)]));
    stage.run_to(7000).quiet();
    stage.health[0] = HealthCheckOutcome::Refused;
    let trace = stage.run_to(10_000).said(&["table 0"]);
    expect![[r#"
        8.8 table 0: server 1 1
        8.8 table 0: server 2 1
        8.8 table 0: server 3 1
        8.8 table 0: server 0 0
    "#]]
    .assert_eq(&trace);
}

#[test]
fn fixed_weights_stay_whatever_is_late() {
    let slow = [(50, 0, 800), (50, 0, 100), (50, 0, 100), (50, 0, 100)];
    let weights = |fixed: bool| {
        let mut stage = Stage::with(4, |settings| settings.rules.fixed_weights = fixed);
        stage.join(0).run_to(6000).quiet();
        stage.report_to(10_000, &slow).said(&["server 0"])
    };
    assert_eq!(weights(true), "");
    assert!(!weights(false).is_empty(), "relief answers unless the terms fix weights");
}
