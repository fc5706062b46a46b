//! Regression tests. Each states the failure that it guards against and its cause.

use crate::test_fleet::*;
use expect_test::expect;
use lockcroft::{EndpointStatus, HealthCheckOutcome, Settings};

const HEALTHY: (u32, u32, u64) = (20, 0, 200);

/// Guards against overload after a restart: the endpoint loses its weight immediately and regains it from
/// the initial fraction.
#[test]
fn restarted_endpoint_loses_its_weight_immediately_and_regains_it_slowly() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).clear_trace().update_list(&[started(1, 1000)]);
    let trace = fleet.report_until(8_900, &[HEALTHY; 3]).lines_with(&["table 0: endpoint 1"]);
    expect![[r#"
        8.0 table 0: endpoint 1 0
        8.2 table 0: endpoint 1 0.3
        8.6 table 0: endpoint 1 0.35
    "#]]
    .assert_eq(&trace);
}

/// Guards against overload during slow start: proxies whose attempts fail elsewhere would all use the
/// endpoint that has just started.
#[test]
fn started_endpoint_gets_no_weight_while_failures_are_common() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).update_list(&[with_status(1, EndpointStatus::Removed)]);
    fleet
        .report_until(12_000, &[(20, 9, 900), (0, 0, 0), (20, 9, 900)])
        .clear_trace()
        .update_list(&[started(1, 500)]);
    let overloaded = [(20, 9, 900), (0, 0, 0), (20, 9, 900)];
    let trace =
        fleet.report_until(18_000, &overloaded).lines_with(&["table 0: endpoint 1", "eject", "restore"]);
    expect![""].assert_eq(&trace);
}

/// Guards against overload during slow start: a proxy that still uses tables of an earlier controller would
/// give an endpoint that is warming up its full weight if the ejection ended.
#[test]
fn no_ejection_ends_before_all_proxies_have_tables() {
    let mut fleet = TestFleet::new(4);
    fleet
        .attach(0)
        .run_until(1000)
        .update_list(&[with_status(1, EndpointStatus::Removed)])
        .run_until(2000)
        .update_list(&[started(1, 500)]);
    let trace =
        fleet.run_until(5400).lines_with(&["eject", "restore", "table 0: assign", "table 0: endpoint 1"]);
    expect![[r#"
        1.0 eject 1
        5.0 table 0: assign to proxy 0
        5.2 restore 1
    "#]]
    .assert_eq(&trace);
}

/// Guards against all requests going to one endpoint: an instance that starts while a zone is lost treated
/// the first entry that it published as the complete last table.
#[test]
fn table_released_early_contains_all_endpoints_not_known_to_be_down() {
    let mut fleet = TestFleet::new(8);
    fleet
        .update_list(&[0, 2, 4, 6].map(|endpoint| with_status(endpoint, EndpointStatus::Removed)))
        .attach(0)
        .health
        .fill(HealthCheckOutcome::Failed);
    let trace = fleet.run_until(100).lines_with(&["table 0"]);
    expect![[r#"
        0.0 table 0: endpoint 1 1
        0.0 table 0: endpoint 3 1
        0.0 table 0: endpoint 5 1
        0.0 table 0: endpoint 7 1
        0.0 table 0: assign to proxy 0
    "#]]
    .assert_eq(&trace);
}

/// Guards against the loss of all endpoints one by one: under overload, health checks time out although
/// proxies still get answers.
#[test]
fn endpoint_that_answers_proxies_stays_up_though_health_checks_fail() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).clear_trace().health[1] = HealthCheckOutcome::Failed;
    let trace = fleet.report_until(14_000, &[HEALTHY; 3]).lines_with(&["endpoint 1"]);
    expect![[""]].assert_eq(&trace);
    // Without reports, health checks decide.
    let trace = fleet.run_until(17_000).lines_with(&["endpoint 1"]);
    expect![[r#"
        16.4 table 0: endpoint 1 0
    "#]]
    .assert_eq(&trace);
}

/// Guards against lost requests at an endpoint that passes health checks but answers no requests.
#[test]
fn endpoint_that_fails_proxies_is_an_outlier_though_health_checks_pass() {
    let mut fleet = TestFleet::new(4);
    fleet.attach(0).report_until(8000, &[HEALTHY; 4]).clear_trace();
    let trace = fleet
        .report_until(18_000, &[HEALTHY, HEALTHY, (10, 10, 0), HEALTHY])
        .lines_with(&["table 0: endpoint", "#"]);
    expect![[r#"
        10.0 table 0: endpoint 2 0
        10.0 # 2 detected as an outlier: 10 of 10 attempts failed
        15.4 table 0: endpoint 2 0.3
        18.0 table 0: endpoint 2 0
        18.0 # 2 detected as an outlier: 10 of 10 attempts failed
    "#]]
    .assert_eq(&trace);
}

/// Guards against the loss of the whole fleet: if all endpoints fail, none is an outlier and load is shed
/// instead.
#[test]
fn failures_at_all_endpoints_make_no_outlier_and_shed_the_least_value_first() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).clear_trace();
    fleet.report_until(13_000, &[(20, 18, 1400); 3]);
    let trace = fleet.report_until(22_000, &[(20, 0, 150); 3]).lines_with(&["endpoint", "admit"]);
    expect![[r#"
        10.0 class 1: admit 0.4
        12.0 class 0: admit 0.4
        16.0 class 1: admit 0.8
        16.0 class 0: admit 0.8
        18.0 class 1: admit 1 with retry
        18.0 class 0: admit 1 with retry
    "#]]
    .assert_eq(&trace);
}

/// Guards against late answers at a slow endpoint, which keeps only the weight that it can serve.
#[test]
fn slow_endpoint_has_its_weight_reduced_and_regains_it_slowly() {
    let mut fleet = TestFleet::new(4);
    fleet.attach(0).report_until(8000, &[HEALTHY; 4]).clear_trace();
    fleet.report_until(13_000, &[HEALTHY, HEALTHY, (8, 2, 2500), HEALTHY]);
    let trace = fleet.report_until(16_500, &[HEALTHY; 4]).lines_with(&["table 0"]);
    expect![[r#"
        10.0 table 0: endpoint 2 0.7
        11.0 table 0: endpoint 2 0.5
        12.0 table 0: endpoint 2 0.35
        13.0 table 0: endpoint 2 0.3
        16.0 table 0: endpoint 2 0.35
    "#]]
    .assert_eq(&trace);
}

/// Guards against a full queue: assignments wait when many proxies attach at the same time, but drains do not.
#[test]
fn mass_attachment_keeps_queue_and_messages_within_their_limits() {
    let limits = |settings: &mut Settings| {
        settings.fleet.max_queued_entries = 60.0;
        settings.fleet.max_entries_per_second = 100.0;
        settings.fleet.max_messages = 8.0;
        settings.fleet.message_window = ms(10000);
    };
    let mut fleet = TestFleet::with(4, limits);
    fleet.run_until(6000).clear_trace();
    for proxy in 0..6 {
        fleet.attach(proxy);
    }
    let trace =
        fleet.run_until(6500).update_list(&[with_status(3, EndpointStatus::Draining)]).run_until(12_000);
    let trace = trace.lines_with(&["assign", "eject", "restore", "endpoint 3"]);
    expect![[r#"
        6.0 table 0: assign to proxy 0
        6.0 table 0: assign to proxy 1
        6.0 table 0: assign to proxy 2
        6.0 table 0: assign to proxy 3
        6.5 table 0: endpoint 3 0
        6.8 eject 3
        9.2 table 0: assign to proxy 4
        10.0 table 0: assign to proxy 5
    "#]]
    .assert_eq(&trace);
}

/// Guards against requests to a draining endpoint: updates in flight are lost when the stream breaks, so the
/// new assignment has to include them.
#[test]
fn proxy_that_reattaches_during_a_drain_gets_a_table_without_the_endpoint() {
    let mut fleet = TestFleet::new(4);
    fleet
        .attach(0)
        .run_until(6000)
        .clear_trace()
        .update_list(&[with_status(2, EndpointStatus::Draining)])
        .run_until(6010)
        .controller
        .detach_proxy(0);
    let trace = fleet.run_until(7000).attach(0).run_until(7500).lines_with(&[
        "eject",
        "restore",
        "assign",
        "endpoint 2",
    ]);
    expect![[r#"
        6.0 table 0: endpoint 2 0
        7.0 table 0: assign to proxy 0
    "#]]
    .assert_eq(&trace);
}

/// Invalid inputs are ignored: unknown endpoints, classes and proxies, repeated records, old starts, health
/// checks and reports of a removed endpoint, and results that arrive after their timeout.
#[test]
fn invalid_inputs_change_nothing() {
    let mut fleet = TestFleet::new(2);
    fleet
        .attach(0)
        .run_until(6000)
        .update_list(&[with_status(1, EndpointStatus::Removed)])
        .run_until(7000)
        .clear_trace();
    let now = fleet.now;
    fleet.controller.record_attempts(now, 9, 5, 5, ms(10));
    fleet.controller.record_attempts(now, 1, 5, 9, ms(10));
    fleet.controller.health_check_finished(now, 9, HealthCheckOutcome::Refused, ms(1));
    fleet.controller.health_check_finished(now, 1, HealthCheckOutcome::Refused, ms(1));
    fleet.controller.health_check_finished(now, 0, HealthCheckOutcome::Refused, ms(900));
    fleet.controller.record_requests(9, 9, 5);
    fleet.controller.detach_proxy(9);
    let trace = fleet
        .update_list(&[ready(0), ready(0), with_status(1, EndpointStatus::Removed)])
        .run_until(8000)
        .lines_with(&[""]);
    expect![""].assert_eq(&trace);
}

/// Guards against lost requests of a restricted class: its endpoints were overloaded while endpoints that
/// only other classes may use were idle.
#[test]
fn unrestricted_class_reserves_weight_for_a_restricted_one() {
    let mut fleet = TestFleet::with_restricted_class(4);
    fleet.attach(0).report_until(8000, &[HEALTHY; 4]).clear_trace();
    fleet.report_until(11_000, &[(20, 2, 900), HEALTHY, (20, 2, 900), HEALTHY]);
    let trace = fleet.report_until(14_000, &[HEALTHY; 4]).lines_with(&["table 1: endpoint"]);
    expect![[r#"
        10.0 table 1: endpoint 0 0.4
        10.0 table 1: endpoint 2 0.4
        14.0 table 1: endpoint 0 0.45
        14.0 table 1: endpoint 2 0.45
    "#]]
    .assert_eq(&trace);
}

/// Guards against the loss of a healthy endpoint: the timeout of an answered health check counted for the
/// next one.
#[test]
fn answered_health_check_leaves_no_timeout_behind() {
    let mut fleet = TestFleet::new(2);
    fleet.check_duration_ms = 90;
    fleet.attach(0).run_until(6000).clear_trace().health[1] = HealthCheckOutcome::Refused;
    fleet.run_until(6800).health[1] = HealthCheckOutcome::Passed(None);
    let trace = fleet.run_until(14_000).lines_with(&["table 0: endpoint"]);
    expect![[""]].assert_eq(&trace);
}

/// Guards against a late reaction: endpoints report that all cores are in use with their health checks,
/// before proxies report higher latency.
#[test]
fn reported_load_reduces_weight_and_sheds_before_latency_rises() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).clear_trace().health[1] =
        HealthCheckOutcome::Passed(Some(0.99));
    fleet.report_until(10_100, &[HEALTHY; 3]).health.fill(HealthCheckOutcome::Passed(Some(0.99)));
    let trace =
        fleet.report_until(11_100, &[HEALTHY; 3]).lines_with(&["table 0: endpoint", "class 1: admit"]);
    expect![[r#"
        9.0 table 0: endpoint 1 0.7
        10.0 table 0: endpoint 1 0.5
        11.0 class 1: admit 0.45
        11.0 table 0: endpoint 0 0.7
        11.0 table 0: endpoint 2 0.7
        11.0 table 0: endpoint 1 0.35
    "#]]
    .assert_eq(&trace);
}

/// A fleet whose single table would exceed its fraction of the queue: four subsets of three endpoints, two
/// subsets in each zone.
fn large_fleet() -> TestFleet {
    let limits = |settings: &mut Settings| {
        settings.fleet.proxies = Some(20.0);
        settings.fleet.min_endpoint_connections = 40.0;
        settings.fleet.max_queued_entries = 300.0;
        settings.fleet.max_entries_per_second = 300.0;
    };
    let mut fleet = TestFleet::with(12, limits);
    for proxy in 0..4 {
        fleet.attach(proxy);
    }
    fleet
}

/// Guards against lost requests for lack of connections: with one table for all proxies, nearly every request
/// opens a connection.
#[test]
fn fleet_too_large_for_one_table_is_divided_into_subsets_by_zone() {
    let trace = large_fleet().run_until(5000).lines_with(&["table 0", "proxy 1"]);
    expect![[r#"
        5.0 table 0: endpoint 0 1
        5.0 table 0: endpoint 4 1
        5.0 table 0: endpoint 8 1
        5.0 table 0: assign to proxy 0
        5.0 table 1: assign to proxy 1
    "#]]
    .assert_eq(&trace);
}

/// Guards against a proxy without endpoints: only removals from a table were urgent, so their replacements
/// waited.
#[test]
fn lost_subset_falls_back_to_its_locality_group_immediately() {
    let mut fleet = large_fleet();
    fleet
        .run_until(6000)
        .clear_trace()
        .update_list(&[0, 2, 4, 6, 8, 10].map(|endpoint| started(endpoint, 200)));
    let trace = fleet.run_until(6100).lines_with(&["table 0"]);
    expect![[r#"
        6.0 table 0: endpoint 0 0
        6.0 table 0: endpoint 4 0
        6.0 table 0: endpoint 8 0
        6.0 table 0: endpoint 1 1
        6.0 table 0: endpoint 5 1
        6.0 table 0: endpoint 9 1
    "#]]
    .assert_eq(&trace);
}

/// Guards against useless load shedding: answers are late although endpoints report that they are idle.
#[test]
fn latency_of_idle_endpoints_sheds_nothing() {
    let mut fleet = TestFleet::new(3);
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.3)));
    let trace = fleet
        .attach(0)
        .report_until(8000, &[HEALTHY; 3])
        .clear_trace()
        .report_until(14_000, &[(20, 0, 900); 3]);
    expect![""].assert_eq(&trace.lines_with(&["admit"]));
}

/// Guards against load shedding that never ends: after an overload, endpoints reported headroom while their
/// latency ratio stayed between the two thresholds, and admission rates did not recover.
#[test]
fn admission_recovers_by_reported_load() {
    let mut fleet = TestFleet::new(3);
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.99)));
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).report_until(12_000, &[(20, 0, 900); 3]).clear_trace();
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.6)));
    let trace = fleet.report_until(20_000, &[(20, 0, 500); 3]).lines_with(&["admit"]);
    expect![[r#"
        14.0 class 1: admit 0.45
        14.0 class 0: admit 0.45
        16.0 class 1: admit 0.55
        16.0 class 0: admit 0.55
        18.0 class 1: admit 0.65
        18.0 class 0: admit 0.65
        20.0 class 1: admit 0.8
        20.0 class 0: admit 0.8
    "#]]
    .assert_eq(&trace);
}

/// Replaces endpoint 1 while the two others are overloaded, with `failed` of 20 attempts failing there. The
/// new endpoint reports `load`. Returns the fleet and the trace of the weights of endpoint 1.
fn replace_during_overload(load: Option<f64>, failed: u32) -> (TestFleet, String) {
    let mut fleet = TestFleet::new(3);
    let overloaded = [(20, failed, 900), (0, 0, 0), (20, failed, 900)];
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.99)));
    fleet.health[1] = HealthCheckOutcome::Passed(Some(0.4));
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).update_list(&[with_status(1, EndpointStatus::Removed)]);
    fleet.report_until(12_000, &overloaded).clear_trace().health[1] = HealthCheckOutcome::Passed(load);
    let trace = fleet
        .update_list(&[started(1, 0)])
        .report_until(12_700, &overloaded)
        .lines_with(&["table 0: endpoint 1"]);
    (fleet, trace)
}

/// Guards against the loss of a subset: replacements were idle while they warmed up, as the endpoints that
/// were overloaded without them made the subset unstable. An endpoint that is saturated, or reports no load,
/// stays without weight.
#[test]
fn warming_endpoint_with_headroom_is_used_in_an_unstable_subset() {
    for (load, trace) in [
        (Some(0.1), "12.2 table 0: endpoint 1 0.1\n"),
        (Some(0.9), "12.2 table 0: endpoint 1 0.1\n"),
        (Some(0.99), ""),
        (None, ""),
    ] {
        assert_eq!(replace_during_overload(load, 0).1, trace, "{load:?}");
    }
}

/// Guards against overload of an endpoint that is warming up: during a burst of client retries, an endpoint
/// that reported headroom had its full slow-start weight and got several times the requests that it could
/// serve. While its subset is slow it gets half of that weight, and all of it once the subset is only
/// unstable.
#[test]
fn warming_endpoint_with_headroom_has_half_its_weight_while_its_subset_is_slow() {
    let (mut fleet, slow) = replace_during_overload(Some(0.1), 0);
    assert_eq!(slow, "12.2 table 0: endpoint 1 0.1\n");
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.4)));
    let unstable =
        fleet.clear_trace().report_until(17_000, &[HEALTHY; 3]).lines_with(&["table 0: endpoint 1"]);
    expect![[r#"
        12.8 table 0: endpoint 1 0.15
        14.0 table 0: endpoint 1 0.35
        14.2 table 0: endpoint 1 0.4
        15.0 table 0: endpoint 1 0.45
        15.6 table 0: endpoint 1 0.5
        16.2 table 0: endpoint 1 0.55
        16.8 table 0: endpoint 1 0.6
    "#]]
    .assert_eq(&unstable);
}

/// If no attempts in a subset were reported, an endpoint that is warming up and has headroom is used after
/// half of its slow start of 10 s.
#[test]
fn warming_endpoint_of_an_unreported_subset_is_used_after_half_its_slow_start() {
    let mut fleet = TestFleet::new(3);
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.1)));
    fleet.attach(0).run_until(8000).clear_trace().update_list(&[started(1, 0)]);
    let trace = fleet.run_until(15_000).lines_with(&["table 0: endpoint 1"]);
    expect![[r#"
        8.0 table 0: endpoint 1 0
        13.0 table 0: endpoint 1 0.3
        13.8 table 0: endpoint 1 0.35
        15.0 table 0: endpoint 1 0.4
    "#]]
    .assert_eq(&trace);
}

/// Guards against overload of endpoints that are warming up: when clients retried immediately, endpoints
/// that had reported headroom got several times the requests that they could serve, some because of an outdated
/// report, as they were too busy to answer a health check.
#[test]
fn warming_endpoint_gets_nothing_where_attempts_fail_or_checks_are_rejected() {
    assert_eq!(replace_during_overload(Some(0.1), 10).1, "");
    let mut fleet = replace_during_overload(Some(0.1), 0).0;
    fleet.clear_trace().health[1] = HealthCheckOutcome::Rejected;
    let trace = fleet.run_until(13_500).lines_with(&["table 0: endpoint 1"]);
    expect![[r#"
        12.8 table 0: endpoint 1 0.15
        13.2 table 0: endpoint 1 0
    "#]]
    .assert_eq(&trace);
}

/// Guards against load shedding in one zone while endpoints of another are idle: a zone that is saturated by
/// the load that its endpoints report spills over to its locality group, until it has headroom again. Without
/// load reports there is no spillover.
#[test]
fn saturated_zone_spills_over_to_another() {
    let mut fleet = TestFleet::with(4, |settings| {
        settings.solver.by_zone = true;
    });
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.4)));
    fleet.attach(0).attach(1).report_until(8000, &[HEALTHY; 4]).clear_trace();
    for endpoint in [0, 2] {
        fleet.health[endpoint] = HealthCheckOutcome::Passed(Some(0.98));
    }
    fleet.report_until(11_000, &[HEALTHY; 4]);
    for endpoint in [0, 2] {
        fleet.health[endpoint] = HealthCheckOutcome::Passed(Some(0.5));
    }
    let trace = fleet.report_until(16_000, &[HEALTHY; 4]).lines_with(&["table"]);
    expect![[r#"
        9.0 table 0: endpoint 0 0.7
        9.0 table 0: endpoint 2 0.7
        9.0 table 0: endpoint 1 0.15
        9.0 table 0: endpoint 3 0.15
        10.0 table 0: endpoint 0 0.5
        10.0 table 0: endpoint 2 0.5
        10.0 table 0: endpoint 1 0.2
        10.0 table 0: endpoint 3 0.2
        11.0 table 0: endpoint 0 0.35
        11.0 table 0: endpoint 2 0.35
        11.0 table 0: endpoint 1 0.25
        11.0 table 0: endpoint 3 0.25
        12.0 table 0: endpoint 1 0.15
        12.0 table 0: endpoint 3 0.15
        12.0 table 0: endpoint 0 0.4
        12.0 table 0: endpoint 2 0.4
        13.0 table 0: endpoint 1 0.05
        13.0 table 0: endpoint 3 0.05
        14.0 table 0: endpoint 1 0
        14.0 table 0: endpoint 3 0
        14.0 table 0: endpoint 0 0.45
        14.0 table 0: endpoint 2 0.45
        15.0 table 0: endpoint 0 0.5
        15.0 table 0: endpoint 2 0.5
        16.0 table 0: endpoint 0 0.55
        16.0 table 0: endpoint 2 0.55
    "#]]
    .assert_eq(&trace);
    let mut without_reports = TestFleet::with(4, |settings| {
        settings.solver.by_zone = true;
    });
    without_reports.attach(0).attach(1).report_until(8000, &[HEALTHY; 4]).clear_trace();
    let slow = [(20, 0, 900), HEALTHY, (20, 0, 900), HEALTHY];
    assert_eq!(
        without_reports
            .report_until(14_000, &slow)
            .lines_with(&["table 0: endpoint 1", "table 0: endpoint 3"]),
        ""
    );
}

/// Guards against a proxy without endpoints: with five subsets in locality groups of four zones, the fifth
/// subset was alone in its group, and its proxies lost all endpoints with its zone.
#[test]
fn no_subset_is_alone_in_its_locality_group() {
    let limits = |settings: &mut Settings| {
        settings.fleet.proxies = Some(30.0);
        settings.fleet.min_endpoint_connections = 100.0;
        settings.fleet.max_queued_entries = 500.0;
        settings.fleet.max_entries_per_second = 1e6;
    };
    let mut fleet = TestFleet::with(12, limits);
    for proxy in 0..9 {
        fleet.attach(2 * proxy);
    }
    fleet
        .run_until(8000)
        .clear_trace()
        .update_list(&[0, 2, 4, 6, 8, 10].map(|endpoint| with_status(endpoint, EndpointStatus::Removed)));
    let trace = fleet.run_until(8100).lines_with(&["table 2"]);
    expect![[r#"
        8.0 table 2: endpoint 2 0
        8.0 table 2: endpoint 6 0
        8.0 table 2: endpoint 10 0
        8.0 table 2: endpoint 1 1
        8.0 table 2: endpoint 3 1
        8.0 table 2: endpoint 5 1
        8.0 table 2: endpoint 7 1
        8.0 table 2: endpoint 9 1
        8.0 table 2: endpoint 11 1
    "#]]
    .assert_eq(&trace);
}

/// Guards against requests to draining endpoints: when common updates had filled their half of the queue at
/// the pessimistic speed, many drains waited for longer than the drain grace period.
#[test]
fn many_drains_do_not_wait_for_common_updates() {
    let limits = |settings: &mut Settings| {
        settings.fleet.max_queued_entries = 300.0;
        settings.fleet.max_entries_per_second = 200.0;
    };
    let mut fleet = TestFleet::with(24, limits);
    for proxy in 0..12 {
        fleet.attach(proxy);
    }
    fleet.report_until(9000, &[HEALTHY; 24]);
    let slow: Vec<_> =
        (0..24).map(|endpoint| if endpoint % 2 == 0 { (20, 0, 900) } else { HEALTHY }).collect();
    fleet.report_until(16_000, &slow).clear_trace();
    let removed: Vec<_> = (12..24).map(|endpoint| with_status(endpoint, EndpointStatus::Removed)).collect();
    let trace = fleet.update_list(&removed).run_until(16_300).lines_with(&["endpoint"]);
    assert_eq!(trace.lines().filter(|line| line.ends_with(" 0")).count(), 12, "{trace}");
}

/// Guards against a failure before the first endpoint list, when there are no subsets and no locality groups.
#[test]
fn controller_without_an_endpoint_list_takes_no_action() {
    let mut fleet = TestFleet::new(0);
    assert_eq!(fleet.attach(0).run_until(12_000).trace, "");
}

/// Guards against weights that are not updated for seconds: urgent updates had used up the limit on messages.
#[test]
fn weights_are_updated_within_the_message_limit_after_many_urgent_updates() {
    let limits = |settings: &mut Settings| {
        settings.fleet.max_messages = 30.0;
        settings.fleet.message_window = ms(10000);
    };
    let mut fleet = TestFleet::with(24, limits);
    fleet.attach(0).report_until(8000, &[HEALTHY; 24]);
    for endpoint in 4..24 {
        fleet
            .update_list(&[with_status(endpoint, EndpointStatus::Draining)])
            .run_until(7000 + endpoint as u64 * 250 + 250);
    }
    fleet.clear_trace();
    let slow = [(20, 0, 900), HEALTHY, HEALTHY, HEALTHY];
    let trace = fleet.report_until(15_500, &slow).lines_with(&["table 0: endpoint 0"]);
    expect![[r#"
        15.0 table 0: endpoint 0 0.7
    "#]]
    .assert_eq(&trace);
}

/// Guards against a deadlock when all endpoints drain during the start-up hold and return: ejections end only
/// when all proxies have tables, and assignments waited for an entry that was published only after the
/// ejections ended.
#[test]
fn endpoints_that_all_drained_during_the_startup_hold_are_used_again() {
    let mut fleet = TestFleet::new(3);
    fleet
        .attach(0)
        .run_until(4000)
        .update_list(&[0, 1, 2].map(|endpoint| with_status(endpoint, EndpointStatus::Draining)))
        .run_until(4100);
    fleet.clear_trace().update_list(&[0, 1, 2].map(ready));
    let trace = fleet.run_until(6000).lines_with(&["table", "eject", "restore"]);
    expect![[r#"
        4.1 table 0: endpoint 0 1
        4.1 table 0: endpoint 1 1
        4.1 table 0: endpoint 2 1
        4.1 table 0: assign to proxy 0
        4.2 restore 0
        4.2 restore 1
        4.2 restore 2
    "#]]
    .assert_eq(&trace);
}

/// Guards against an ejection that never ends: a proxy attaches while an endpoint is ejected, and at the same
/// time the endpoint is ready again. The proxies that got the ejection must also get its end.
#[test]
fn ejection_ends_if_a_proxy_attaches_when_the_endpoint_becomes_ready() {
    let mut fleet = TestFleet::new(4);
    fleet.attach(0).run_until(1000).update_list(&[with_status(2, EndpointStatus::Draining)]).run_until(2000);
    fleet.attach(1).update_list(&[ready(2)]);
    let trace = fleet.run_until(7000).lines_with(&["eject", "restore"]);
    expect![[r#"
        1.0 eject 2
        5.2 restore 2
    "#]]
    .assert_eq(&trace);
}

/// Guards against a queue beyond its limit when many endpoints return: their entries are sent with restorations,
/// which were not reserved.
#[test]
fn entries_of_returning_endpoints_are_reserved_with_their_restorations() {
    const PROXIES: usize = 10;
    const MAX_QUEUED_ENTRIES: usize = 180;
    let keep_ejections = |settings: &mut Settings| {
        settings.health_checks_allowed = false;
        settings.fleet.keeps_ejections = true;
        settings.fleet.max_queued_entries = MAX_QUEUED_ENTRIES as f64;
    };
    let mut fleet = TestFleet::with(12, keep_ejections);
    (0..PROXIES).for_each(|proxy| {
        fleet.attach(proxy);
    });
    let removed: Vec<_> = (4..12).map(|endpoint| with_status(endpoint, EndpointStatus::Removed)).collect();
    fleet.run_until(7000).update_list(&removed).run_until(9000).clear_trace();
    fleet.update_list(&(4..12).map(ready).collect::<Vec<_>>()).run_until(9000);
    let first = loop {
        let end = fleet.now.as_millis() as u64 + 10;
        let trace = fleet.run_until(end).lines_with(&["table 0: endpoint"]);
        if !trace.is_empty() {
            break trace;
        }
        assert!(end < 20_000, "no entry was sent");
    };
    let entries_and_restorations = 2 * first.lines().count();
    let message_overhead = 4;
    let queued = PROXIES * (entries_and_restorations + message_overhead);
    assert!(queued <= MAX_QUEUED_ENTRIES, "{queued} queued entries:\n{first}");
}
