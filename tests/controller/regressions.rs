//! One test for each fault found so far. Each says which rule it guards, or which requests would be lost.

use crate::test_fleet::*;
use expect_test::expect;
use lockcroft::{EndpointStatus, HealthCheckOutcome, Settings};

const HEALTHY: (u32, u32, u64) = (20, 0, 200);

/// Slow start: an endpoint that restarted loses its weight at once, and regains it from the initial fraction
/// on.
#[test]
fn restarted_endpoint_loses_its_weight_at_once_and_regains_it_slowly() {
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

/// Slow start: proxies that are refused elsewhere all turn to the endpoint that was just started.
#[test]
fn started_endpoint_gets_no_weight_while_failures_are_common() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).update_list(&[state(1, EndpointStatus::Removed)]);
    fleet
        .report_until(12_000, &[(20, 9, 900), (0, 0, 0), (20, 9, 900)])
        .clear_trace()
        .update_list(&[started(1, 500)]);
    let overloaded = [(20, 9, 900), (0, 0, 0), (20, 9, 900)];
    let trace =
        fleet.report_until(18_000, &overloaded).lines_with(&["table 0: endpoint 1", "eject", "restore"]);
    expect![""].assert_eq(&trace);
}

/// Slow start: an ejection that ends while a proxy still holds tables of an earlier controller would
/// give an endpoint that is warming up all of its weight.
#[test]
fn no_ejection_ends_before_all_proxies_have_tables() {
    let mut fleet = TestFleet::new(4);
    fleet
        .attach(0)
        .run_until(1000)
        .update_list(&[state(1, EndpointStatus::Removed)])
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

/// Slow start, and the loss of a whole table: an instance that starts while a zone is lost
/// took its single first entry for the last table, and all requests went there.
#[test]
fn table_released_early_holds_all_endpoints_not_known_to_be_down() {
    let mut fleet = TestFleet::new(8);
    fleet
        .update_list(&[0, 2, 4, 6].map(|endpoint| state(endpoint, EndpointStatus::Removed)))
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

/// Loss of all endpoints one by one: under overload health checks time out, but proxies still get answers.
#[test]
fn endpoint_that_answers_proxies_stays_up_though_health_checks_fail() {
    let mut fleet = TestFleet::new(3);
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).clear_trace().health[1] = HealthCheckOutcome::Failed;
    let trace = fleet.report_until(14_000, &[HEALTHY; 3]).lines_with(&["endpoint 1"]);
    expect![[""]].assert_eq(&trace);
    // Once reports stop, health checks decide.
    let trace = fleet.run_until(17_000).lines_with(&["endpoint 1"]);
    expect![[r#"
        16.4 table 0: endpoint 1 0
    "#]]
    .assert_eq(&trace);
}

/// Loss of requests at an endpoint that accepts them and answers none, while its health checks pass.
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

/// Loss of the whole fleet: a general slump makes no outlier, and load is shed instead.
#[test]
fn general_slump_makes_no_outlier_and_sheds_the_least_value_first() {
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

/// Loss at a slow endpoint: it keeps the weight that it can serve.
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

/// Short queue: a storm of attachments waits for its turn, a drain does not.
#[test]
fn attachment_storm_keeps_queue_and_messages_within_their_limits() {
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
    let trace = fleet.run_until(6500).update_list(&[state(3, EndpointStatus::Draining)]).run_until(12_000);
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

/// Drains: what was in flight when the stream broke is lost; the new assignment carries it.
#[test]
fn proxy_that_reattaches_during_a_drain_is_notified_again() {
    let mut fleet = TestFleet::new(4);
    fleet
        .attach(0)
        .run_until(6000)
        .clear_trace()
        .update_list(&[state(2, EndpointStatus::Draining)])
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

/// Odd inputs are dropped: unknown endpoints and classes, proxies that detached, repeated records, old
/// starts, health checks and reports of a removed endpoint, results that come after their timeout.
#[test]
fn odd_inputs_change_nothing() {
    let mut fleet = TestFleet::new(2);
    fleet
        .attach(0)
        .run_until(6000)
        .update_list(&[state(1, EndpointStatus::Removed)])
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
        .update_list(&[ready(0), ready(0), state(1, EndpointStatus::Removed)])
        .run_until(8000)
        .lines_with(&[""]);
    expect![""].assert_eq(&trace);
}

/// Loss of a restricted class: its endpoints are overloaded while those that only others may use idle.
#[test]
fn unrestricted_class_makes_room_for_a_restricted_one() {
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

/// Loss of a healthy endpoint: the timeout of an answered health check counted against the next one.
#[test]
fn answered_health_check_leaves_no_timeout_behind() {
    let mut fleet = TestFleet::new(2);
    fleet.check_duration_ms = 90;
    fleet.attach(0).run_until(6000).clear_trace().health[1] = HealthCheckOutcome::Refused;
    fleet.run_until(6800).health[1] = HealthCheckOutcome::Passed(None);
    let trace = fleet.run_until(14_000).lines_with(&["table 0: endpoint"]);
    expect![[""]].assert_eq(&trace);
}

/// Loss of the time until reports come: endpoints report with their health checks that all cores are in use.
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

/// A fleet whose table does not fit its channel: four subsets of three endpoints, two in each zone.
fn large() -> TestFleet {
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

/// Loss to connections: with one table for all, nearly every request opens one.
#[test]
fn fleet_too_large_for_one_table_is_cut_into_subsets_by_zone() {
    let trace = large().run_until(5000).lines_with(&["table 0", "proxy 1"]);
    expect![[r#"
        5.0 table 0: endpoint 0 1
        5.0 table 0: endpoint 4 1
        5.0 table 0: endpoint 8 1
        5.0 table 0: assign to proxy 0
        5.0 table 1: assign to proxy 1
    "#]]
    .assert_eq(&trace);
}

/// No proxy without an endpoint: of a table only removals were urgent, and what replaced them waited.
#[test]
fn subset_that_is_lost_takes_in_its_group_at_once() {
    let mut fleet = large();
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

/// Requests shed in vain: answers are late though the endpoints report that they are idle.
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

/// Requests shed for too long: after an overload endpoints reported headroom while their answers stayed a
/// little late; admission rates between the two thresholds never recovered.
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

/// Endpoint 1 is replaced while the two others are overloaded; the weight that it has then.
fn replaced(load: Option<f64>, failed: u32) -> (TestFleet, String) {
    let mut fleet = TestFleet::new(3);
    let overloaded = [(20, failed, 900), (0, 0, 0), (20, failed, 900)];
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.99)));
    fleet.health[1] = HealthCheckOutcome::Passed(Some(0.4));
    fleet.attach(0).report_until(8000, &[HEALTHY; 3]).update_list(&[state(1, EndpointStatus::Removed)]);
    fleet.report_until(12_000, &overloaded).clear_trace().health[1] = HealthCheckOutcome::Passed(load);
    let trace = fleet
        .update_list(&[started(1, 0)])
        .report_until(12_700, &overloaded)
        .lines_with(&["table 0: endpoint 1"]);
    (fleet, trace)
}

/// Loss of a subset: replacements idled while they warmed up, as the endpoints that were overloaded for want
/// of them made it unstable. An endpoint that is full, or reports nothing, stays without weight.
#[test]
fn warming_endpoint_with_headroom_is_used_in_an_unstable_subset() {
    for (load, trace) in [
        (Some(0.1), "12.2 table 0: endpoint 1 0.1\n"),
        (Some(0.9), "12.2 table 0: endpoint 1 0.1\n"),
        (Some(0.99), ""),
        (None, ""),
    ] {
        assert_eq!(replaced(load, 0).1, trace, "{load:?}");
    }
}

/// Overload of a warming endpoint: in a burst of requests that clients retried, an endpoint that reported
/// headroom had its whole weight and got several times what it could do. While its subset is slow it has half
/// of it, and the whole once the subset is only unstable.
#[test]
fn warming_endpoint_with_headroom_has_half_its_weight_while_its_subset_is_slow() {
    let (mut fleet, slow) = replaced(Some(0.1), 0);
    assert_eq!(slow, "12.2 table 0: endpoint 1 0.1\n");
    fleet.health.fill(HealthCheckOutcome::Passed(Some(0.4)));
    let uneasy = fleet.clear_trace().report_until(17_000, &[HEALTHY; 3]).lines_with(&["table 0: endpoint 1"]);
    expect![[r#"
        12.8 table 0: endpoint 1 0.15
        14.0 table 0: endpoint 1 0.35
        14.2 table 0: endpoint 1 0.4
        15.0 table 0: endpoint 1 0.45
        15.6 table 0: endpoint 1 0.5
        16.2 table 0: endpoint 1 0.55
        16.8 table 0: endpoint 1 0.6
    "#]]
    .assert_eq(&uneasy);
}

/// Where no report of a subset came, a warming endpoint with headroom is used past half its slow start of 10
/// s.
#[test]
fn warming_endpoint_of_an_unreported_subset_is_used_half_way() {
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

/// Overload of warming endpoints: where clients retry at once, endpoints that had
/// reported headroom got several times what they could do, some by an old report, as they were too full
/// to answer a health check.
#[test]
fn warming_endpoint_gets_nothing_where_attempts_fail_or_checks_are_rejected() {
    assert_eq!(replaced(Some(0.1), 10).1, "");
    let mut fleet = replaced(Some(0.1), 0).0;
    fleet.clear_trace().health[1] = HealthCheckOutcome::Rejected;
    let trace = fleet.run_until(13_500).lines_with(&["table 0: endpoint 1"]);
    expect![[r#"
        12.8 table 0: endpoint 1 0.15
        13.2 table 0: endpoint 1 0
    "#]]
    .assert_eq(&trace);
}

/// Requests shed in one zone while endpoints of another idled: a zone that is full by the reports of
/// its endpoints spills over to the others of its group, and takes it back. Without reports nothing moves.
#[test]
fn full_zone_spills_over_to_another() {
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
    let mut mute = TestFleet::with(4, |settings| {
        settings.solver.by_zone = true;
    });
    mute.attach(0).attach(1).report_until(8000, &[HEALTHY; 4]).clear_trace();
    let slow = [(20, 0, 900), HEALTHY, (20, 0, 900), HEALTHY];
    assert_eq!(
        mute.report_until(14_000, &slow).lines_with(&["table 0: endpoint 1", "table 0: endpoint 3"]),
        ""
    );
}

/// No proxy without an endpoint: five subsets in groups of four zones left the fifth alone, and its
/// proxies without an endpoint when its zone was lost.
#[test]
fn no_subset_is_alone_in_its_group() {
    let figures = |settings: &mut Settings| {
        settings.fleet.proxies = Some(30.0);
        settings.fleet.min_endpoint_connections = 100.0;
        settings.fleet.max_queued_entries = 500.0;
        settings.fleet.max_entries_per_second = 1e6;
    };
    let mut fleet = TestFleet::with(12, figures);
    for proxy in 0..9 {
        fleet.attach(2 * proxy);
    }
    fleet
        .run_until(8000)
        .clear_trace()
        .update_list(&[0, 2, 4, 6, 8, 10].map(|endpoint| state(endpoint, EndpointStatus::Removed)));
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

/// Drains: where common updates had filled their half of the queue at the
/// pessimistic speed, many drains waited longer than the grace.
#[test]
fn many_drains_do_not_wait_for_common_updates() {
    let figures = |settings: &mut Settings| {
        settings.fleet.max_queued_entries = 300.0;
        settings.fleet.max_entries_per_second = 200.0;
    };
    let mut fleet = TestFleet::with(24, figures);
    for proxy in 0..12 {
        fleet.attach(proxy);
    }
    fleet.report_until(9000, &[HEALTHY; 24]);
    let slow: Vec<_> =
        (0..24).map(|endpoint| if endpoint % 2 == 0 { (20, 0, 900) } else { HEALTHY }).collect();
    fleet.report_until(16_000, &slow).clear_trace();
    let removed: Vec<_> = (12..24).map(|endpoint| state(endpoint, EndpointStatus::Removed)).collect();
    let trace = fleet.update_list(&removed).run_until(16_300).lines_with(&["endpoint"]);
    assert_eq!(trace.lines().filter(|line| line.ends_with(" 0")).count(), 12, "{trace}");
}

/// Before the first list there are no subsets and no groups.
#[test]
fn controller_without_a_list_waits() {
    let mut fleet = TestFleet::new(0);
    assert_eq!(fleet.attach(0).run_until(12_000).trace, "");
}

/// Loss of the weights of a whole group for seconds: urgent updates had taken the messages of all others.
#[test]
fn urgent_updates_leave_messages_to_others() {
    let few = |settings: &mut Settings| {
        settings.fleet.max_messages = 30.0;
        settings.fleet.message_window = ms(10000);
    };
    let mut fleet = TestFleet::with(24, few);
    fleet.attach(0).report_until(8000, &[HEALTHY; 24]);
    for endpoint in 4..24 {
        fleet
            .update_list(&[state(endpoint, EndpointStatus::Draining)])
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

/// All endpoints drain in the hold and come back. The ends of ejections wait
/// for all proxies to have tables, and assignments waited for an entry that only came after these ends.
#[test]
fn endpoints_that_all_drained_in_the_hold_are_used_again() {
    let mut fleet = TestFleet::new(3);
    fleet
        .attach(0)
        .run_until(4000)
        .update_list(&[0, 1, 2].map(|endpoint| state(endpoint, EndpointStatus::Draining)))
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

/// A proxy attaches while an endpoint is ejected, and in the same
/// moment the endpoint is ready again. The proxies that were notified before must see the end of it.
#[test]
fn attachment_does_not_lose_the_end_of_an_ejection() {
    let mut fleet = TestFleet::new(4);
    fleet.attach(0).run_until(1000).update_list(&[state(2, EndpointStatus::Draining)]).run_until(2000);
    fleet.attach(1).update_list(&[ready(2)]);
    let trace = fleet.run_until(7000).lines_with(&["eject", "restore"]);
    expect![[r#"
        1.0 eject 2
        5.2 restore 2
    "#]]
    .assert_eq(&trace);
}
