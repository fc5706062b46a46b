//! Long scripted series of inputs with every decision that comes of them, for a fleet on one table and for one
//! cut into many. The recorded texts hold wire forms and numbers only, so that a change of names moves nothing
//! in them; they change only where decisions do.

use crate::stage::*;
use expect_test::expect_file;
use lockcroft::{EndpointStatus, HealthCheckOutcome, Settings};

/// A fixed sequence of numbers, the same at every run on every machine.
struct Script(u64);

impl Script {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn server(&mut self, servers: usize) -> usize {
        self.below(servers as u64) as usize
    }
}

const STEP_MS: u64 = 250;

/// Plays so many steps: health, lists, joinings, reports, marks and plans by the script.
fn play(stage: &mut Stage, servers: usize, proxies: u64, steps: u64, seed: u64) {
    let mut script = Script(seed);
    let mut mark = None;
    for step in 1..=steps {
        let now = step * STEP_MS;
        stage.run_to(now);
        let server = script.server(servers);
        match script.below(12) {
            0 => stage.health[server] = HealthCheckOutcome::Refused,
            1 => stage.health[server] = HealthCheckOutcome::Failed,
            2 => stage.health[server] = HealthCheckOutcome::Rejected,
            3..6 => stage.health[server] = HealthCheckOutcome::Passed(Some(script.below(100) as f64 / 100.0)),
            _ => {}
        }
        let server = script.server(servers);
        match script.below(16) {
            0 => {
                stage.list(&[state(server, EndpointStatus::Draining)]);
            }
            1 => {
                stage.list(&[state(server, EndpointStatus::Removed)]);
            }
            2 => {
                stage.list(&[started(server, script.below(2000))]);
            }
            3 => {
                stage.list(&[ready(server)]);
            }
            4 => {
                let all: Vec<_> = (0..servers).map(ready).collect();
                stage.pilot.update_endpoints(stage.now, true, step, &all);
            }
            _ => {}
        }
        let proxy = script.below(proxies) as usize;
        match script.below(5) {
            0 | 1 => {
                stage.pilot.attach_proxy(proxy, proxy % 2, 1.0 + (proxy % 3) as f64, script.below(2) == 0)
            }
            2 if script.below(3) == 0 => stage.pilot.detach_proxy(proxy),
            _ => {}
        }
        if step % 4 == 0 {
            let slump = step / 40 % 2 == 1;
            for server in 0..servers {
                let failed = if script.below(9) == 0 { 20 } else { script.below(3) as u32 };
                let took = if slump { 700 } else { 100 } + script.below(400);
                stage.pilot.record_attempts(stage.now, server, 20, failed, ms(took));
            }
            for proxy in 0..proxies as usize {
                (0..2)
                    .for_each(|class| stage.pilot.record_requests(proxy, class, 5 + script.below(10) as u32));
            }
        }
        match script.below(6) {
            0 => mark = Some((stage.pilot.record_sent(2, 30), 12)),
            1 => {
                mark.take().into_iter().for_each(|(mark, lines)| stage.pilot.record_acknowledged(mark, lines))
            }
            2 => stage.pilot.set_queued_entries(script.below(40) as usize),
            3 => stage.pilot.set_planned_fraction(script.server(2), 0.5 + script.below(6) as f64 / 10.0),
            _ => {}
        }
    }
}

#[test]
fn a_fleet_on_one_table_decides_as_recorded() {
    let mut stage = Stage::with(6, |settings| {
        settings.fleet.max_messages = 30.0;
        settings.fleet.message_window = ms(10000);
    });
    stage.print_probes = true;
    play(&mut stage, 6, 8, 240, 11);
    expect_file!["recorded/one_table.txt"].assert_eq(&stage.trace);
}

#[test]
fn a_fleet_where_a_class_is_bound_to_a_zone_decides_as_recorded() {
    let mut stage = Stage::narrow(8);
    play(&mut stage, 8, 8, 240, 12);
    expect_file!["recorded/bound_class.txt"].assert_eq(&stage.trace);
}

#[test]
fn a_fleet_cut_into_many_tables_decides_as_recorded() {
    let figures = |settings: &mut Settings| {
        settings.fleet.proxies = Some(60.0);
        settings.fleet.min_endpoint_connections = 100.0;
        settings.fleet.max_queued_entries = 5000.0;
        settings.fleet.max_entries_per_second = 5000.0;
        settings.fleet.max_messages = 40.0;
        settings.fleet.message_window = ms(10000);
        settings.fleet.proxy_ejection_threshold = Some(3.0);
    };
    let mut stage = Stage::with(24, figures);
    play(&mut stage, 24, 60, 240, 13);
    expect_file!["recorded/many_tables.txt"].assert_eq(&stage.trace);
}

#[test]
fn a_fleet_without_probes_decides_as_recorded() {
    let mut stage = Stage::unprobed(6);
    play(&mut stage, 6, 8, 160, 14);
    expect_file!["recorded/without_probes.txt"].assert_eq(&stage.trace);
}
