//! Long scripted sequences of inputs, with a recording of all actions that follow, for fleets with one table
//! and with many. The recordings contain the actions in the text form of the trace, so they change only with
//! a decision or with that form.

use crate::test_fleet::*;
use expect_test::expect_file;
use lockcroft::{EndpointStatus, HealthCheckOutcome, Settings};

/// A fixed sequence of pseudo-random numbers, the same in every run on every machine.
struct Script(u64);

impl Script {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn endpoint(&mut self, endpoints: usize) -> usize {
        self.below(endpoints as u64) as usize
    }
}

const STEP_MS: u64 = 250;

/// Runs this many steps with health, lists, attachments, reports, acknowledgements and plans by the script.
fn run_script(fleet: &mut TestFleet, endpoints: usize, proxies: u64, steps: u64, seed: u64) {
    let mut script = Script(seed);
    let mut sent = None;
    for step in 1..=steps {
        let now = step * STEP_MS;
        fleet.run_until(now);
        let endpoint = script.endpoint(endpoints);
        match script.below(12) {
            0 => fleet.health[endpoint] = HealthCheckOutcome::Refused,
            1 => fleet.health[endpoint] = HealthCheckOutcome::Failed,
            2 => fleet.health[endpoint] = HealthCheckOutcome::Rejected,
            3..6 => {
                fleet.health[endpoint] = HealthCheckOutcome::Passed(Some(script.below(100) as f64 / 100.0))
            }
            _ => {}
        }
        let endpoint = script.endpoint(endpoints);
        match script.below(16) {
            0 => {
                fleet.update_list(&[with_status(endpoint, EndpointStatus::Draining)]);
            }
            1 => {
                fleet.update_list(&[with_status(endpoint, EndpointStatus::Removed)]);
            }
            2 => {
                fleet.update_list(&[started(endpoint, script.below(2000))]);
            }
            3 => {
                fleet.update_list(&[ready(endpoint)]);
            }
            4 => {
                let all: Vec<_> = (0..endpoints).map(ready).collect();
                fleet.controller.update_endpoints(fleet.now, true, step, &all);
            }
            _ => {}
        }
        let proxy = script.below(proxies) as usize;
        match script.below(5) {
            0 | 1 => fleet.controller.attach_proxy(
                fleet.now,
                proxy,
                proxy % 2,
                1.0 + (proxy % 3) as f64,
                script.below(2) == 0,
            ),
            2 if script.below(3) == 0 => fleet.controller.detach_proxy(proxy),
            _ => {}
        }
        if step % 4 == 0 {
            let is_slow = step / 40 % 2 == 1;
            for endpoint in 0..endpoints {
                let failed = if script.below(9) == 0 { 20 } else { script.below(3) as u32 };
                let latency = if is_slow { 700 } else { 100 } + script.below(400);
                fleet.controller.record_attempts(fleet.now, endpoint, 20, failed, ms(latency));
            }
            for proxy in 0..proxies as usize {
                (0..2).for_each(|class| {
                    fleet.controller.record_requests(proxy, class, 5 + script.below(10) as u32)
                });
            }
        }
        match script.below(6) {
            0 => sent = Some((fleet.controller.record_sent(2, 30), 12)),
            1 => sent
                .take()
                .into_iter()
                .for_each(|(sent, entries)| fleet.controller.record_acknowledged(sent, entries)),
            2 => fleet.controller.set_queued_entries(script.below(40) as usize),
            3 => fleet
                .controller
                .set_planned_admission(script.endpoint(2), 0.5 + script.below(6) as f64 / 10.0),
            _ => {}
        }
    }
}

#[test]
fn fleet_on_one_table_decides_as_recorded() {
    let mut fleet = TestFleet::with(6, |settings| {
        settings.fleet.max_messages = 30.0;
        settings.fleet.message_window = ms(10000);
    });
    fleet.print_health_checks = true;
    run_script(&mut fleet, 6, 8, 240, 11);
    expect_file!["recorded/one_table.txt"].assert_eq(&fleet.trace);
}

#[test]
fn fleet_with_a_class_restricted_to_a_zone_decides_as_recorded() {
    let mut fleet = TestFleet::with_restricted_class(8);
    run_script(&mut fleet, 8, 8, 240, 12);
    expect_file!["recorded/bound_class.txt"].assert_eq(&fleet.trace);
}

#[test]
fn fleet_divided_into_many_tables_decides_as_recorded() {
    let limits = |settings: &mut Settings| {
        settings.fleet.proxies = Some(60.0);
        settings.fleet.min_endpoint_connections = 100.0;
        settings.fleet.max_queued_entries = 5000.0;
        settings.fleet.max_entries_per_second = 5000.0;
        settings.fleet.max_messages = 40.0;
        settings.fleet.message_window = ms(10000);
        settings.fleet.proxy_ejection_threshold = Some(3.0);
    };
    let mut fleet = TestFleet::with(24, limits);
    run_script(&mut fleet, 24, 60, 240, 13);
    expect_file!["recorded/many_tables.txt"].assert_eq(&fleet.trace);
}

#[test]
fn fleet_without_health_checks_decides_as_recorded() {
    let mut fleet = TestFleet::without_health_checks(6);
    run_script(&mut fleet, 6, 8, 160, 14);
    expect_file!["recorded/without_health_checks.txt"].assert_eq(&fleet.trace);
}
