//! Short traces of commands.

use std::time::{Duration, SystemTime};

use expect_test::expect;
use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_proxy::ControlSession;
use lockcroft_runtime_api::AccessLevel;

use crate::simulation::{Simulation, ms};

#[test]
fn a_start_applies_the_table_before_it_is_mapped() {
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

/// Drains count at standing tables too, and while the start-up hold lasts.
#[test]
fn a_drain_in_the_startup_hold_ejects_from_standing_tables() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_to(1000).set_status(1, EndpointStatus::Draining);
    simulation.run_to(1500);
    expect![[r#"
        1.0 r0: set server standing/e1 state maint
    "#]]
    .assert_eq(&simulation.commands());
}

/// A proxy that does not respond is sent each entry once, as it is by then: what waits for it does
/// not grow with the time that it stands still.
#[test]
fn a_stalled_proxy_gets_the_last_value_only() {
    let mut simulation = Simulation::new(3, 2);
    simulation.run_to(6000).clear_trace().proxies[0].is_silent = true;
    simulation.set_status(1, EndpointStatus::Draining);
    simulation.run_to(6300).set_status(1, EndpointStatus::Ready);
    simulation.run_to(6600).set_status(2, EndpointStatus::Draining);
    simulation.run_to(6900).proxies[0].is_silent = false;
    let waiting = simulation.fleet.queued_entries();
    simulation.run_to(8000);
    assert!(waiting <= 3, "{waiting} entries for a table of 3");
    let sent: Vec<String> =
        simulation.commands().lines().filter(|l| l.contains("r0:")).map(String::from).collect();
    assert_eq!(sent[0], "6.0 r0: set server t0/e1 weight 0");
    assert_eq!(sent.iter().filter(|line| line.contains("e2")).count(), 1, "{sent:?}");
    assert_eq!(simulation.weights(0), simulation.weights(1));
}

/// The command was carried out, its response was lost: after the reconnect the proxy is asked what it
/// holds, and no command is repeated.
#[test]
fn what_was_carried_out_before_a_disconnect_is_not_sent_again() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_to(4900).proxies[0].is_silent = true;
    simulation.run_to(5100);
    let sent = simulation.commands();
    assert!(sent.contains("set map"), "the whole batch was carried out: {sent}");
    simulation.clear_trace().disconnect(0);
    simulation.proxies[0].is_silent = false;
    simulation.run_to(6500);
    // Levels can't be asked for as a whole, so they are set again, to what they are.
    expect![[r#"
        5.3 r0: set var proc.level_look_up int(1000)
        5.3 r0: set var proc.again_look_up int(1)
    "#]]
    .assert_eq(&simulation.commands());
}

#[test]
fn a_response_timeout_disconnects_and_backoff_grows() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000).proxies[0].is_silent = true;
    simulation.set_status(0, EndpointStatus::Draining);
    simulation.run_to(7200);
    let shown = simulation.fleet.show_proxies();
    assert!(shown.contains("timed out waiting for the response to a command"), "{shown}");
    simulation.proxies[0].is_unreachable = true;
    simulation.run_to(12_000);
    let shown = simulation.fleet.show_proxies();
    let breaks: usize =
        shown.lines().nth(1).and_then(|l| l.split(' ').nth(7)?.parse().ok()).expect("a count");
    assert!((3..9).contains(&breaks), "200 ms to 2 s apart, spread by half: {shown}");
    (simulation.proxies[0].is_unreachable, simulation.proxies[0].is_silent) = (false, false);
    simulation.run_to(15_000);
    assert_eq!(simulation.weights(0), [("e1".to_string(), 256)]);
}

/// A controller that comes after another finds its tables: what is right costs no command, and what is off the
/// list is deleted.
#[test]
fn tables_of_an_earlier_controller_are_brought_in_line() {
    let mut old = Simulation::new(4, 1);
    old.run_to(6000);
    let mut simulation = Simulation::new(3, 1);
    simulation.proxies[0].routing = old.proxies[0].routing.clone();
    simulation.run_to(5500);
    expect![[r#"
        5.0 r0: set var proc.level_look_up int(1000)
        5.0 r0: set var proc.again_look_up int(1)
        5.0 r0: set server t0/e3 state maint
        5.0 r0: del server t0/e3
    "#]]
    .assert_eq(&simulation.commands());
}

/// A connection breaks while nothing is in flight: one number shows that both hold the same, and not even
/// the levels are set again. What was changed by another hand meanwhile is found and mended.
#[test]
fn after_a_reconnect_a_matching_digest_saves_all_updates() {
    let mut simulation = Simulation::new(3, 1);
    simulation.run_to(6000).clear_trace().disconnect(0);
    simulation.run_to(7000);
    assert_eq!(simulation.commands(), "");
    simulation.disconnect(0);
    let mut out = String::new();
    let by_hand = lockcroft_runtime_api::split("set weight t0/e1 7");
    ControlSession::new(AccessLevel::Admin).execute_line(
        &by_hand,
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

/// A table of many entries takes several lines of commands: they take effect together, and a connection that
/// breaks before the commit leaves the table that stood.
#[test]
fn a_message_of_several_lines_takes_effect_as_a_whole() {
    let mut simulation = Simulation::new(300, 1);
    simulation.run_to(4900).proxies[0].is_silent = true;
    simulation.run_to(5100);
    let sent = simulation.commands();
    assert!(sent.starts_with("5.0 r0: prepare map tables"), "{sent}");
    assert!(!sent.contains("commit"), "its version is not known yet");
    assert_eq!(simulation.proxies[0].routing.backends.len(), 1, "the standing table only");
    simulation.clear_trace().disconnect(0);
    simulation.proxies[0].is_silent = false;
    simulation.run_to(6500);
    assert!(simulation.commands().ends_with("5.3 r0: commit map @2 tables\n"), "{}", simulation.commands());
    assert_eq!(simulation.weights(0).len(), 300);
    assert_eq!(simulation.proxies[0].routing.committed_version, 2);
    assert_eq!(simulation.fleet.queued_entries(), 0);
}

#[test]
fn a_restarted_proxy_gets_everything_again() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000);
    let restarted = Simulation::new(2, 1).proxies.remove(0).routing;
    simulation.clear_trace().disconnect(0);
    simulation.proxies[0].routing = restarted;
    simulation.run_to(7000);
    assert_eq!(simulation.commands().lines().count(), 7, "{}", simulation.commands());
    assert_eq!(simulation.weights(0).len(), 2);
}

/// A proxy that answers a command with anything but the guide's word of success is asked anew what
/// it holds, after a backoff, and meanwhile counts as detached.
#[test]
fn a_failed_command_disconnects_the_proxy() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(5500);
    // Somebody else's hand takes a line away.
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

/// The decisions see the entries that really wait, and hold the others back within their limit.
#[test]
fn queued_entries_stay_within_the_limit() {
    let (endpoints, proxies, limit) = (30, 12, 200);
    let mut simulation = Simulation::with_queue_limit(endpoints, proxies, limit);
    simulation.run_to(4900);
    simulation.proxies.iter_mut().for_each(|proxy| proxy.is_silent = true);
    for step in 0..40 {
        simulation.run_to(5000 + step * 25);
        assert!(simulation.fleet.queued_entries() <= limit, "{} wait", simulation.fleet.queued_entries());
    }
    assert!(simulation.fleet.queued_entries() > limit / 4, "the table does go out");
}

#[test]
fn an_operator_override_goes_through_the_list() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(6000);
    let endpoint = simulation.fleet.find_endpoint("servers/e1").expect("listed");
    let half = simulation.fleet.parse_weight(endpoint, "50%").expect("a weight");
    simulation.fleet.override_endpoint(endpoint, |change| change.weight = Some(half));
    simulation.run_to(7000);
    assert_eq!(simulation.weights(0), [("e0".to_string(), 256), ("e1".to_string(), 128)]);
    simulation.fleet.override_endpoint(endpoint, |change| change.draining = true);
    // The list read anew takes nothing from the operator's override.
    simulation.send_list();
    simulation.run_to(8000);
    assert_eq!(simulation.weights(0), [("e0".to_string(), 256)]);
    assert!(
        simulation.fleet.find_endpoint("t9/e1").is_err() && simulation.fleet.find_endpoint("t0/e9").is_err()
    );
}

/// The words that `show events` has for an override are the runtime API's, and stay as they are.
#[test]
fn an_operator_override_is_shown_in_the_words_of_the_runtime_api() {
    let mut simulation = Simulation::new(2, 1);
    simulation.run_to(1000);
    let endpoint = simulation.fleet.find_endpoint("servers/e1").expect("listed");
    simulation.fleet.override_endpoint(endpoint, |change| change.draining = true);
    simulation.fleet.override_endpoint(endpoint, |change| change.weight = Some(0.5));
    let events = simulation.fleet.events_since(&mut 0);
    assert!(events.contains("operator: e1: Word { drains: true, weight: None }\n"), "{events}");
    assert!(events.contains("operator: e1: Word { drains: true, weight: Some(0.5) }\n"), "{events}");
}

/// Two readings of one file must not look like two starts: the endpoint would lose its weight again.
#[test]
fn rereading_the_list_is_not_a_restart() {
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
    assert!(weights[0].1 > 200, "nearly warm: {weights:?}");
}

#[test]
fn a_dead_endpoint_leaves_the_tables_by_its_health_checks() {
    let mut simulation = Simulation::new(3, 2);
    simulation.run_to(6000).health_checks.insert(2, HealthCheckOutcome::Refused);
    simulation.run_to(9000);
    assert_eq!(simulation.weights(1).len(), 2);
    assert!(simulation.fleet.next_due() < simulation.now + Duration::from_secs(1));
}
