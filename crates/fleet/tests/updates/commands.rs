//! Commands that proxies are sent, and their resulting state.

use std::time::{Duration, SystemTime};

use expect_test::expect;
use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_proxy::ControlSession;
use lockcroft_runtime_api::AccessLevel;

use crate::simulation::{Simulation, ms};

#[test]
fn new_proxy_is_sent_table_entries_before_the_class_map() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(5500);
    expect![[r#"
        5.0 r0: add server t0/e0 127.0.0.1:9000 weight 256
        5.0 r0: set server t0/e0 state ready
        5.0 r0: add server t0/e1 127.0.0.1:9001 weight 256
        5.0 r0: set server t0/e1 state ready
        5.0 r0: set var proc.level_look_up int(1000)
        5.0 r0: set var proc.again_look_up int(1)
        5.0 r0: set map classes look-up t0
    "#]]
    .assert_eq(&simulation.commands());
}

/// An endpoint that drains during the start-up hold is ejected from the tables that the proxy has already.
#[test]
fn endpoint_draining_in_the_startup_hold_is_ejected_from_existing_tables() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_to(1000).set_status(1, EndpointStatus::Draining);
    simulation.run_to(1500);
    expect![[r#"
        1.0 r0: set server standing/e1 state maint
    "#]]
    .assert_eq(&simulation.commands());
}

/// A proxy that did not respond for a while is sent each entry once, with its latest value. Its number of pending
/// changes does not grow with the duration of the stall.
#[test]
fn stalled_proxy_is_sent_only_the_latest_values() {
    let mut simulation = Simulation::new(3, 2);
    simulation.run_to(6000).clear_trace().proxies[0].is_silent = true;
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(6300).set_status(1, EndpointStatus::Ready);
    simulation.run_to(6600).set_status(2, EndpointStatus::Draining);
    simulation.run_to(6900).proxies[0].is_silent = false;
    let queued = simulation.fleet.queued_entries();
    simulation.run_to(8000);
    assert!(queued <= 3, "{queued} entries for a table of 3");
    let sent: Vec<String> =
        simulation.commands().lines().filter(|l| l.contains("r0:")).map(String::from).collect();
    assert_eq!(sent[0], "6.0 r0: set server t0/e1 weight 0");
    assert_eq!(sent.iter().filter(|line| line.contains("e2")).count(), 1, "{sent:?}");
    assert_eq!(simulation.weights(0), simulation.weights(1));
}

/// Commands were executed, but their responses were lost: the state of the proxy is read after the reconnect, and
/// they are not repeated.
#[test]
fn commands_executed_before_a_disconnect_are_not_repeated() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_to(4900).proxies[0].is_silent = true;
    simulation.run_to(5100);
    let sent = simulation.commands();
    assert!(sent.contains("set map"), "the whole batch was executed: {sent}");
    simulation.clear_trace().disconnect(0);
    simulation.proxies[0].is_silent = false;
    simulation.run_to(6500);
    // Admission is not part of the state that is read, so it is set again to the same values.
    expect![[r#"
        5.3 r0: set var proc.level_look_up int(1000)
        5.3 r0: set var proc.again_look_up int(1)
    "#]]
    .assert_eq(&simulation.commands());
}

#[test]
fn response_timeout_disconnects_and_reconnect_backoff_grows() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000).proxies[0].is_silent = true;
    simulation.set_status(0, EndpointStatus::Draining);
    simulation.run_to(7200);
    let shown = simulation.fleet.show_proxies();
    assert!(shown.contains("timed out waiting for the response to a command"), "{shown}");
    simulation.proxies[0].is_unreachable = true;
    simulation.run_to(12_000);
    let shown = simulation.fleet.show_proxies();
    let disconnects: usize =
        shown.lines().nth(1).and_then(|l| l.split(' ').nth(7)?.parse().ok()).expect("a count in the line");
    assert!((3..9).contains(&disconnects), "200 ms to 2 s apart, with up to half as jitter: {shown}");
    (simulation.proxies[0].is_unreachable, simulation.proxies[0].is_silent) = (false, false);
    simulation.run_to(15_000);
    assert_eq!(simulation.weights(0), [("e1".to_string(), 256)]);
}

/// A controller reads the tables that an earlier one left at a proxy: matching entries cost no command, and entries
/// of endpoints that are off the list are deleted.
#[test]
fn tables_of_an_earlier_controller_are_reconciled() {
    let mut earlier = Simulation::new(4, 1);
    earlier.run_to(6000);
    let mut simulation = Simulation::new(3, 1);
    simulation.proxies[0].routing = earlier.proxies[0].routing.clone();
    simulation.run_to(5500);
    expect![[r#"
        5.0 r0: set var proc.level_look_up int(1000)
        5.0 r0: set var proc.again_look_up int(1)
        5.0 r0: set server t0/e3 state maint
        5.0 r0: del server t0/e3
    "#]]
    .assert_eq(&simulation.commands());
}

/// A connection breaks while no update is in flight. If the digest matches after the reconnect, no command is sent,
/// not even for admission. A change that another client made meanwhile is detected and reverted.
#[test]
fn matching_digest_after_a_reconnect_avoids_all_updates() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_to(6000).clear_trace().disconnect(0);
    simulation.run_to(7000);
    assert_eq!(simulation.commands(), "");
    simulation.disconnect(0);
    let mut out = String::new();
    let command = lockcroft_runtime_api::parse_line("set weight t0/e1 7");
    ControlSession::new(AccessLevel::Admin).execute_line(
        &command,
        &mut simulation.proxies[0].routing,
        &mut out,
    );
    simulation.run_to(9000);
    expect![[r#"
        7.3 r0: set server t0/e1 weight 256
        7.3 r0: set var proc.level_look_up int(1000)
        7.3 r0: set var proc.again_look_up int(1)
    "#]]
    .assert_eq(&simulation.commands());
}

/// An update of many entries takes several lines, which take effect together. If the connection breaks before the
/// commit, the proxy keeps its previous table.
#[test]
fn message_of_several_lines_takes_effect_as_a_whole() {
    let mut simulation = Simulation::new(300, 1);
    simulation.run_to(4900).proxies[0].is_silent = true;
    simulation.run_to(5100);
    let sent = simulation.commands();
    assert!(sent.starts_with("5.0 r0: prepare map tables"), "{sent}");
    assert!(!sent.contains("commit"), "the version to commit is not known yet");
    assert_eq!(simulation.proxies[0].routing.backends.len(), 1, "only the default table");
    simulation.clear_trace().disconnect(0);
    simulation.proxies[0].is_silent = false;
    simulation.run_to(6500);
    assert!(simulation.commands().ends_with("5.3 r0: commit map @2 tables\n"), "{}", simulation.commands());
    assert_eq!(simulation.weights(0).len(), 300);
    assert_eq!(simulation.proxies[0].routing.committed_version, 2);
    assert_eq!(simulation.fleet.queued_entries(), 0);
}

#[test]
fn restarted_proxy_is_sent_its_full_state() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000);
    let restarted = Simulation::new(2, 1).proxies.remove(0).routing;
    simulation.clear_trace().disconnect(0);
    simulation.proxies[0].routing = restarted;
    simulation.run_to(7000);
    assert_eq!(simulation.commands().lines().count(), 7, "{}", simulation.commands());
    assert_eq!(simulation.weights(0).len(), 2);
}

/// If the response to a command is not the one that reports success, the proxy is disconnected, and its state is read
/// again after the reconnect backoff.
#[test]
fn failed_command_disconnects_the_proxy() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(5500);
    // Another client deletes an entry.
    let table = simulation.proxies[0].routing.backends.get_mut("t0").expect("applied");
    std::rc::Rc::make_mut(table).remove("e0");
    simulation.clear_trace().set_status(0, EndpointStatus::Draining);
    simulation.run_to(5700);
    assert!(
        simulation.fleet.show_proxies().contains("No such server"),
        "{}",
        simulation.fleet.show_proxies()
    );
    simulation.set_status(0, EndpointStatus::Ready);
    simulation.run_to(8000);
    assert_eq!(simulation.weights(0).len(), 2);
}

/// The decisions limit updates by the actual number of queued entries.
#[test]
fn queued_entries_stay_within_the_limit() {
    let (endpoints, proxies, limit) = (30, 12, 200);
    let mut simulation = Simulation::with_queue_limit(endpoints, proxies, limit);
    simulation.run_to(4900);
    simulation.proxies.iter_mut().for_each(|proxy| proxy.is_silent = true);
    for step in 0..40 {
        simulation.run_to(5000 + step * 25);
        assert!(simulation.fleet.queued_entries() <= limit, "{} queued", simulation.fleet.queued_entries());
    }
    assert!(simulation.fleet.queued_entries() > limit / 4, "the table is sent");
}

#[test]
fn operator_override_survives_a_list_update() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000);
    let endpoint = simulation.fleet.find_endpoint("servers/e1").expect("listed");
    let half = simulation.fleet.parse_weight(endpoint, "50%").expect("valid weight");
    simulation.fleet.override_endpoint(endpoint, |change| change.weight = Some(half));
    simulation.run_to(7000);
    assert_eq!(simulation.weights(0), [("e0".to_string(), 256), ("e1".to_string(), 128)]);
    simulation.fleet.override_endpoint(endpoint, |change| change.draining = true);
    // The override stays in effect when the list is sent again.
    simulation.send_list();
    simulation.run_to(8000);
    assert_eq!(simulation.weights(0), [("e0".to_string(), 256)]);
    assert!(
        simulation.fleet.find_endpoint("t9/e1").is_err() && simulation.fleet.find_endpoint("t0/e9").is_err()
    );
}

/// The format in which `show events` prints an override is part of the runtime API.
#[test]
fn operator_override_is_shown_in_the_format_of_the_runtime_api() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(1000);
    let endpoint = simulation.fleet.find_endpoint("servers/e1").expect("listed");
    simulation.fleet.override_endpoint(endpoint, |change| change.draining = true);
    simulation.fleet.override_endpoint(endpoint, |change| change.weight = Some(0.5));
    let events = simulation.fleet.events_since(&mut 0);
    assert!(events.contains("operator: e1: Word { drains: true, weight: None }\n"), "{events}");
    assert!(events.contains("operator: e1: Word { drains: true, weight: Some(0.5) }\n"), "{events}");
}

/// Reading the same list again must not look like a restart of the endpoint, which would begin slow start again.
#[test]
fn rereading_the_list_does_not_begin_slow_start_again() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000).endpoint_list.entries[0].started_at = Some(SystemTime::UNIX_EPOCH + ms(3000));
    simulation.send_list();
    simulation.run_to(12_900);
    let weights = simulation.weights(0);
    for step in 0..5 {
        simulation.run_to(12_901 + step);
        simulation.send_list();
    }
    simulation.run_to(12_950);
    assert_eq!(simulation.weights(0), weights);
    assert!(weights[0].1 > 200, "slow start has nearly ended: {weights:?}");
}

#[test]
fn endpoint_with_failing_health_checks_is_removed_from_tables() {
    let mut simulation = Simulation::new(3, 2);
    simulation.run_to(6000).health_checks.insert(2, HealthCheckOutcome::Refused);
    simulation.run_to(9000);
    assert_eq!(simulation.weights(1).len(), 2);
    assert!(simulation.fleet.next_due() < simulation.now + Duration::from_secs(1));
}
