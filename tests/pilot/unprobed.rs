//! Deployments that allow no probes: health rests on the list and on reports.

use lockcroft::EndpointStatus;

use crate::stage::{Stage, state};

const WELL: (u32, u32, u64) = (20, 0, 200);
const FAILING: (u32, u32, u64) = (20, 20, 0);
/// One that is given nothing.
const IDLE: (u32, u32, u64) = (0, 0, 0);

fn stage() -> Stage {
    let mut stage = Stage::unprobed(4);
    stage.join(0).join(1);
    stage
}

#[test]
fn the_hold_waits_for_no_probe() {
    let mut stage = stage();
    stage.print_probes = true;
    let trace = stage.run_to(6000).trace.clone();
    assert!(trace.contains("5.0 table 0: bind proxy 0") && !trace.contains("probe"), "{trace}");
}

/// A server that failed its proxies got no more tries, and without tries no report could ever bring it back.
#[test]
fn a_server_that_reports_condemned_is_tried_again_with_a_small_part() {
    let mut stage = stage();
    stage.run_to(8000).quiet();
    let out = stage.report_to(12_000, &[FAILING, WELL, WELL, WELL]).said(&["server 0"]);
    assert!(out.contains("table 0: server 0 0\n"), "{out}");
    stage.quiet();
    let back = stage.report_to(22_000, &[IDLE, WELL, WELL, WELL]).said(&["server 0"]);
    assert!(back.contains("table 0: server 0 0.3"), "{back}");
    stage.quiet();
    let whole = stage.report_to(50_000, &[WELL; 4]).said(&["server 0"]);
    assert!(whole.contains("table 0: server 0 1\n"), "{whole}");
}

#[test]
fn one_that_still_fails_goes_again() {
    let mut stage = stage();
    stage.run_to(8000).quiet();
    let trace = stage.report_to(40_000, &[FAILING, WELL, WELL, WELL]).said(&["server 0"]);
    assert!(trace.matches("table 0: server 0 0\n").count() > 1, "{trace}");
}

#[test]
fn drains_and_starts_rest_on_the_list() {
    let mut stage = stage();
    stage.run_to(8000).quiet();
    stage.list(&[state(2, EndpointStatus::Draining)]).run_to(8500);
    assert!(stage.said(&["server 2"]).contains("8.0 table 0: server 2 0"));
}
