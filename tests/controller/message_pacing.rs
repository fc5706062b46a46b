//! Drains within the limit on messages to a proxy.

use std::time::Duration;

use lockcroft::{EndpointStatus, Settings};

use crate::test_fleet::{TestFleet, ms, ready, started, with_status};

const MAX_MESSAGES: usize = 12;
const MESSAGE_WINDOW: Duration = Duration::from_secs(10);
const DRAIN_GRACE: Duration = Duration::from_secs(3);
/// The time that a message takes at most until the proxy has applied it.
const MAX_DELAY: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);

fn limits(settings: &mut Settings) {
    settings.fleet.max_messages = MAX_MESSAGES as f64;
    settings.fleet.message_window = MESSAGE_WINDOW;
    settings.rules.drain_grace = Some(DRAIN_GRACE);
}

/// 30 endpoints on the table of one proxy.
fn fleet_with_table() -> TestFleet {
    let mut fleet = TestFleet::with(30, limits);
    // No health check is in progress at the end of a step.
    fleet.check_duration_ms = 0;
    // No list update coincides with a tick, as each decision of a host has a time of its own.
    fleet.attach(0).run_until(12_003).clear_trace();
    fleet
}

/// A batch of updates to the proxies of a table.
struct Batch {
    at: Duration,
    lines: Vec<String>,
}

/// Runs until this time, and returns the batches that contain an entry of this table.
fn batches_until(fleet: &mut TestFleet, end: Duration, table: usize) -> Vec<Batch> {
    let mut batches = Vec::new();
    while fleet.now < end {
        let next = fleet.now + STEP;
        fleet.run_until(next.as_millis() as u64);
        let trace = std::mem::take(&mut fleet.trace);
        let entry = format!("table {table}: endpoint");
        let lines: Vec<String> =
            trace.lines().filter(|line| line.contains(&entry)).map(String::from).collect();
        if !lines.is_empty() {
            batches.push(Batch { at: fleet.now, lines });
        }
    }
    batches
}

fn max_batches_in_window(batches: &[Batch]) -> usize {
    let since = |start: usize| {
        let end = batches[start].at + MESSAGE_WINDOW;
        batches[start..].iter().take_while(|batch| batch.at < end).count()
    };
    (0..batches.len()).map(since).max().unwrap_or(0)
}

fn drained_at(batches: &[Batch], endpoint: usize) -> Option<Duration> {
    let line = format!("endpoint {endpoint} 0");
    batches.iter().find(|batch| batch.lines.iter().any(|entry| entry.ends_with(&line))).map(|batch| batch.at)
}

/// Replaces `replaced` of 30 endpoints, one after each interval, and checks that each drain leaves in time for its
/// grace period, within the limit on messages.
fn replace_one_by_one(replaced: usize, interval: Duration) {
    let mut fleet = fleet_with_table();
    fleet.health.resize(30 + replaced, fleet.health[0]);
    let mut batches = Vec::new();
    let mut reported_at = Vec::new();
    for endpoint in 0..replaced {
        reported_at.push(fleet.now);
        fleet.update_list(&[with_status(endpoint, EndpointStatus::Draining), started(30 + endpoint, 0)]);
        let end = fleet.now + interval;
        batches.extend(batches_until(&mut fleet, end, 0));
    }
    let end = fleet.now + MESSAGE_WINDOW;
    batches.extend(batches_until(&mut fleet, end, 0));
    for (endpoint, reported_at) in reported_at.into_iter().enumerate() {
        let drained_at = drained_at(&batches, endpoint).expect("the endpoint loses its weight");
        let waited = drained_at - reported_at;
        assert!(
            waited <= DRAIN_GRACE - MAX_DELAY,
            "endpoint {endpoint} waited {waited:?}, interval {interval:?}"
        );
    }
    let messages = max_batches_in_window(&batches);
    assert!(messages <= MAX_MESSAGES, "{messages} messages, interval {interval:?}");
}

/// Guards against requests to draining endpoints: each drain used up a message of its own, until none was left for
/// the last ones.
#[test]
fn drains_one_by_one_share_messages_before_the_limit_is_reached() {
    for interval in [20, 100, 290, 400, 700] {
        replace_one_by_one(18, ms(interval));
    }
}

/// An endpoint that drains alone is not delayed.
#[test]
fn single_drain_is_sent_immediately() {
    let mut fleet = fleet_with_table();
    fleet.update_list(&[with_status(3, EndpointStatus::Draining)]);
    let end = fleet.now + STEP;
    let batches = batches_until(&mut fleet, end, 0);
    assert!(drained_at(&batches, 3).is_some());
}

/// A drain that waits is joined by a message that is sent anyway.
#[test]
fn waiting_drain_shares_the_message_of_an_urgent_one() {
    let mut fleet = fleet_with_table();
    let mut batches = Vec::new();
    for endpoint in 0..20 {
        fleet.update_list(&[with_status(endpoint, EndpointStatus::Draining)]);
        let end = fleet.now + STEP;
        batches.extend(batches_until(&mut fleet, end, 0));
    }
    let end = fleet.now + DRAIN_GRACE;
    batches.extend(batches_until(&mut fleet, end, 0));
    let last = batches.last().expect("batches").lines.len();
    assert!(last >= 2, "{last} drains in the last message of {}", batches.len());
}

/// Guards against requests to draining endpoints of a subset, as updates of another subset had no message left and
/// the drain was dropped from the plan behind them.
#[test]
fn drain_of_a_subset_is_sent_while_another_has_no_messages_left() {
    let two_subsets = |settings: &mut Settings| {
        limits(settings);
        settings.rules.drain_grace = Some(ms(0));
        settings.solver.by_zone = true;
    };
    let mut fleet = TestFleet::with(60, two_subsets);
    fleet.attach(0).attach(1).run_until(12_000).clear_trace();
    // Without a grace period no drain waits, so these use up all messages to the proxy of the first zone.
    for endpoint in (0..40).step_by(2) {
        let end = fleet.now.as_millis() as u64 + 50;
        fleet.update_list(&[with_status(endpoint, EndpointStatus::Draining)]).run_until(end).clear_trace();
    }
    fleet.update_list(&[with_status(42, EndpointStatus::Draining)]).clear_trace();
    fleet.update_list(&[with_status(43, EndpointStatus::Draining), ready(44)]);
    let end = fleet.now + STEP;
    let batches = batches_until(&mut fleet, end, 1);
    assert!(drained_at(&batches, 43).is_some());
}
