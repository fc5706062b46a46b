//! Normal operation: start-up hold, health checks and drains.

use crate::test_fleet::*;
use expect_test::expect;
use lockcroft::{EndpointStatus, HealthCheckOutcome};

#[test]
fn health_counter_sets_check_intervals_and_weight() {
    let mut fleet = TestFleet::new(2);
    fleet.attach(0).run_until(6000).clear_trace().print_health_checks = true;
    fleet.health[1] = HealthCheckOutcome::Refused;
    fleet.run_until(10_000).health[1] = HealthCheckOutcome::Passed(None);
    let trace = fleet.run_until(12_500).lines_with(&["check endpoint 1", "table 0: endpoint 1"]);
    expect![[r#"
        6.6 check endpoint 1
        7.1 check endpoint 1
        7.6 check endpoint 1
        7.6 table 0: endpoint 1 0
        8.0 check endpoint 1
        9.9 check endpoint 1
        11.8 check endpoint 1
        12.3 check endpoint 1
        12.4 table 0: endpoint 1 1
    "#]]
    .assert_eq(&trace);
}

#[test]
fn startup_hold_releases_each_table_once_all_endpoints_have_a_result() {
    let mut fleet = TestFleet::new(2);
    fleet.health[1] = HealthCheckOutcome::Failed;
    let trace = fleet.attach(0).attach(1).run_until(5200).lines_with(&[""]);
    expect![[r#"
        5.0 class 1: admit 1 with retry
        5.0 class 0: admit 1 with retry
        5.0 table 0: endpoint 0 1
        5.0 table 0: assign to proxy 0
        5.0 table 0: assign to proxy 1
        5.0 # book, look: table released, all endpoints have a health check result
    "#]]
    .assert_eq(&trace);
}

#[test]
fn reattachments_do_not_extend_the_startup_hold() {
    let mut fleet = TestFleet::new(2);
    fleet.attach(0).run_until(4000).controller.detach_proxy(0);
    let trace = fleet.run_until(4900).attach(0).run_until(5300).lines_with(&["assign", "released"]);
    expect![[r#"
        5.0 table 0: assign to proxy 0
        5.0 # book, look: table released, all endpoints have a health check result
    "#]]
    .assert_eq(&trace);
}

/// Guards against requests to draining endpoints: a proxy that attaches later during the hold has not been
/// sent the ejection yet.
#[test]
fn endpoint_draining_in_the_startup_hold_is_ejected_at_earlier_and_later_attachments() {
    let mut fleet = TestFleet::new(4);
    fleet.attach(0).run_until(1000).update_list(&[with_status(2, EndpointStatus::Draining)]).run_until(2000);
    let trace = fleet.attach(1).run_until(3000).lines_with(&["eject", "restore", "released"]);
    expect![[r#"
        1.0 eject 2
        2.0 eject 2
    "#]]
    .assert_eq(&trace);
}

/// Guards against a proxy without endpoints: a default table may contain only three endpoints.
#[test]
fn tables_are_released_early_when_a_default_table_may_be_fully_ejected() {
    let mut fleet = TestFleet::new(8);
    fleet
        .attach(0)
        .run_until(1000)
        .update_list(&[0, 2, 4].map(|endpoint| with_status(endpoint, EndpointStatus::Removed)));
    let trace = fleet.run_until(1100).lines_with(&["eject", "restore", "released", "table 0"]);
    expect![[r#"
        1.0 table 0: endpoint 1 1
        1.0 table 0: endpoint 3 1
        1.0 table 0: endpoint 5 1
        1.0 table 0: endpoint 6 1
        1.0 table 0: endpoint 7 1
        1.0 table 0: assign to proxy 0
        1.0 # book, look: table released, tables in use may contain only ejected endpoints
    "#]]
    .assert_eq(&trace);
}

#[test]
fn last_published_weights_stay_when_all_endpoints_look_down() {
    let mut fleet = TestFleet::new(2);
    fleet.attach(0).run_until(6000).clear_trace().health.fill(HealthCheckOutcome::Refused);
    let trace = fleet.run_until(12_000).lines_with(&["table 0: endpoint", "eject", "restore"]);
    expect![[r#"
        7.6 table 0: endpoint 1 0
    "#]]
    .assert_eq(&trace);
}

/// Instances in one process do not influence each other: the same inputs give the same actions.
#[test]
fn interleaved_instances_make_the_same_decisions() {
    let mut pair = [TestFleet::new(4), TestFleet::new(4)];
    for step in 1..=80 {
        for fleet in &mut pair {
            if step == 20 {
                fleet.attach(3).update_list(&[started(1, 300)]);
            }
            fleet.run_until(step * 100);
        }
    }
    assert!(pair[0].trace.lines().count() > 8);
    assert_eq!(pair[0].trace, pair[1].trace);
}

/// Guards against requests to removed endpoints: one that was removed before this start cannot be ejected,
/// but proxies may still use it.
#[test]
fn startup_hold_ends_within_the_drain_grace_period_when_the_list_had_changed_before() {
    let mut fleet = TestFleet::with(0, |settings| {
        settings.rules.drain_grace = Some(ms(2000));
    });
    fleet.controller.update_endpoints(ms(0), true, 3, &[ready(0)]);
    fleet.health = vec![HealthCheckOutcome::Passed(None)];
    let trace = fleet.attach(0).run_until(2000).lines_with(&["table 0"]);
    expect![[r#"
        0.6 table 0: endpoint 0 1
        0.6 table 0: assign to proxy 0
    "#]]
    .assert_eq(&trace);
}
