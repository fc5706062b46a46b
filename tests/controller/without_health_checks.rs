//! Deployments that allow no health checks: health rests on the list and on reports.

use lockcroft::EndpointStatus;

use crate::test_fleet::{TestFleet, state};

const HEALTHY: (u32, u32, u64) = (20, 0, 200);
const FAILING: (u32, u32, u64) = (20, 20, 0);
/// An endpoint that gets no requests.
const IDLE: (u32, u32, u64) = (0, 0, 0);

fn fleet() -> TestFleet {
    let mut fleet = TestFleet::without_health_checks(4);
    fleet.attach(0).attach(1);
    fleet
}

#[test]
fn hold_waits_for_no_health_check() {
    let mut fleet = fleet();
    fleet.print_health_checks = true;
    let trace = fleet.run_until(6000).trace.clone();
    assert!(trace.contains("5.0 table 0: assign to proxy 0") && !trace.contains("check endpoint"), "{trace}");
}

/// An outlier got no more attempts, and without attempts no report could ever bring it back.
#[test]
fn outlier_is_tried_again_with_a_small_weight() {
    let mut fleet = fleet();
    fleet.run_until(8000).clear_trace();
    let out = fleet.report_until(12_000, &[FAILING, HEALTHY, HEALTHY, HEALTHY]).lines_with(&["endpoint 0"]);
    assert!(out.contains("table 0: endpoint 0 0\n"), "{out}");
    fleet.clear_trace();
    let back = fleet.report_until(22_000, &[IDLE, HEALTHY, HEALTHY, HEALTHY]).lines_with(&["endpoint 0"]);
    assert!(back.contains("table 0: endpoint 0 0.3"), "{back}");
    fleet.clear_trace();
    let whole = fleet.report_until(50_000, &[HEALTHY; 4]).lines_with(&["endpoint 0"]);
    assert!(whole.contains("table 0: endpoint 0 1\n"), "{whole}");
}

#[test]
fn outlier_that_still_fails_loses_its_weight_again() {
    let mut fleet = fleet();
    fleet.run_until(8000).clear_trace();
    let trace = fleet.report_until(40_000, &[FAILING, HEALTHY, HEALTHY, HEALTHY]).lines_with(&["endpoint 0"]);
    assert!(trace.matches("table 0: endpoint 0 0\n").count() > 1, "{trace}");
}

#[test]
fn drains_and_starts_follow_the_list() {
    let mut fleet = fleet();
    fleet.run_until(8000).clear_trace();
    fleet.update_list(&[state(2, EndpointStatus::Draining)]).run_until(8500);
    assert!(fleet.lines_with(&["endpoint 2"]).contains("8.0 table 0: endpoint 2 0"));
}
