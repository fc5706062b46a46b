//! Deployments without health checks: health follows from the endpoint list and from reported attempts.

use lockcroft::EndpointStatus;

use crate::test_fleet::{TestFleet, with_status};

const HEALTHY: (u32, u32, u64) = (20, 0, 200);
const FAILING: (u32, u32, u64) = (20, 20, 0);
/// The report of an endpoint that gets no requests.
const IDLE: (u32, u32, u64) = (0, 0, 0);

/// Four endpoints that may not be checked, and two proxies.
fn fleet() -> TestFleet {
    let mut fleet = TestFleet::without_health_checks(4);
    fleet.attach(0).attach(1);
    fleet
}

#[test]
fn startup_hold_ends_without_health_checks() {
    let mut fleet = fleet();
    fleet.print_health_checks = true;
    let trace = fleet.run_until(6000).trace.clone();
    assert!(trace.contains("5.0 table 0: assign to proxy 0") && !trace.contains("check endpoint"), "{trace}");
}

/// Guards against an outlier that never returns: without weight it gets no attempts, so no report can show
/// that it has recovered.
#[test]
fn outlier_is_tried_again_with_a_small_weight() {
    let mut fleet = fleet();
    fleet.run_until(8000).clear_trace();
    let without_weight =
        fleet.report_until(12_000, &[FAILING, HEALTHY, HEALTHY, HEALTHY]).lines_with(&["endpoint 0"]);
    assert!(without_weight.contains("table 0: endpoint 0 0\n"), "{without_weight}");
    fleet.clear_trace();
    let with_small_weight =
        fleet.report_until(22_000, &[IDLE, HEALTHY, HEALTHY, HEALTHY]).lines_with(&["endpoint 0"]);
    assert!(with_small_weight.contains("table 0: endpoint 0 0.3"), "{with_small_weight}");
    fleet.clear_trace();
    let with_full_weight = fleet.report_until(50_000, &[HEALTHY; 4]).lines_with(&["endpoint 0"]);
    assert!(with_full_weight.contains("table 0: endpoint 0 1\n"), "{with_full_weight}");
}

#[test]
fn outlier_that_still_fails_loses_its_weight_again() {
    let mut fleet = fleet();
    fleet.run_until(8000).clear_trace();
    let trace = fleet.report_until(40_000, &[FAILING, HEALTHY, HEALTHY, HEALTHY]).lines_with(&["endpoint 0"]);
    assert!(trace.matches("table 0: endpoint 0 0\n").count() > 1, "{trace}");
}

#[test]
fn draining_endpoint_loses_its_weight_by_the_list() {
    let mut fleet = fleet();
    fleet.run_until(8000).clear_trace();
    fleet.update_list(&[with_status(2, EndpointStatus::Draining)]).run_until(8500);
    assert!(fleet.lines_with(&["endpoint 2"]).contains("8.0 table 0: endpoint 2 0"));
}
