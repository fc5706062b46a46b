//! Short traces of orders.

use std::time::{Duration, SystemTime};

use expect_test::expect;
use lockcroft::{EndpointStatus, HealthCheckOutcome};
use lockcroft_proxy::CommandQueue;
use lockcroft_runtime_api::Level;

use crate::stage::{Stage, ms};

#[test]
fn a_start_lays_the_table_before_it_binds() {
    let mut stage = Stage::new(2, 1);
    stage.run_to(5500);
    expect![[r#"
        5.0 r0: add server t0/e0 127.0.0.1:9000 weight 256
        5.0 r0: set server t0/e0 state ready
        5.0 r0: add server t0/e1 127.0.0.1:9001 weight 256
        5.0 r0: set server t0/e1 state ready
        5.0 r0: set var proc.level_look_up int(1000)
        5.0 r0: set var proc.again_look_up int(1)
        5.0 r0: set map classes look-up t0
    "#]]
    .assert_eq(&stage.orders());
}

/// Drains are kept at standing tables too, and while the hold lasts.
#[test]
fn a_drain_in_the_hold_withdraws_from_standing_tables() {
    let mut stage = Stage::new(3, 1);
    stage.run_to(1000).state(1, EndpointStatus::Draining);
    stage.run_to(1500);
    expect![[r#"
        1.0 r0: set server standing/e1 state maint
    "#]]
    .assert_eq(&stage.orders());
}

/// A proxy that does not answer is told each line once, as it is by then: what waits for it does
/// not grow with the time that it stands still.
#[test]
fn a_stalled_proxy_gets_the_last_word_only() {
    let mut stage = Stage::new(3, 2);
    stage.run_to(6000).quiet().peers[0].silent = true;
    stage.state(1, EndpointStatus::Draining);
    stage.run_to(6300).state(1, EndpointStatus::Ready);
    stage.run_to(6600).state(2, EndpointStatus::Draining);
    stage.run_to(6900).peers[0].silent = false;
    let waiting = stage.helm.lines_waiting();
    stage.run_to(8000);
    assert!(waiting <= 3, "{waiting} lines for a table of 3");
    let told: Vec<String> = stage.orders().lines().filter(|l| l.contains("r0:")).map(String::from).collect();
    assert_eq!(told[0], "6.0 r0: set server t0/e1 weight 0");
    assert_eq!(told.iter().filter(|line| line.contains("e2")).count(), 1, "{told:?}");
    assert_eq!(stage.picks(0), stage.picks(1));
}

/// The order was carried out, its answer was lost: after the redial the proxy is asked what it
/// holds, and no order is repeated.
#[test]
fn what_a_broken_stream_carried_out_is_not_ordered_again() {
    let mut stage = Stage::new(3, 1);
    stage.run_to(4900).peers[0].silent = true;
    stage.run_to(5100);
    let told = stage.orders();
    assert!(told.contains("set map"), "the whole batch was carried out: {told}");
    stage.quiet().cut(0);
    stage.peers[0].silent = false;
    stage.run_to(6500);
    // Levels can't be asked for as a whole, so they are set again, to what they are.
    expect![[r#"
        5.3 r0: set var proc.level_look_up int(1000)
        5.3 r0: set var proc.again_look_up int(1)
    "#]]
    .assert_eq(&stage.orders());
}

#[test]
fn a_command_left_unanswered_breaks_the_stream_and_the_waits_grow() {
    let mut stage = Stage::new(2, 1);
    stage.run_to(6000).peers[0].silent = true;
    stage.state(0, EndpointStatus::Draining);
    stage.run_to(7200);
    let shown = stage.helm.show_proxies();
    assert!(shown.contains("a command was left unanswered"), "{shown}");
    stage.peers[0].away = true;
    stage.run_to(12_000);
    let shown = stage.helm.show_proxies();
    let breaks: usize =
        shown.lines().nth(1).and_then(|l| l.split(' ').nth(7)?.parse().ok()).expect("a count");
    assert!((3..9).contains(&breaks), "200 ms to 2 s apart, spread by half: {shown}");
    (stage.peers[0].away, stage.peers[0].silent) = (false, false);
    stage.run_to(15_000);
    assert_eq!(stage.picks(0), [("e1".to_string(), 256)]);
}

/// A pilot that comes after another finds its tables: what is right costs no line, what nobody
/// lists any more goes.
#[test]
fn tables_of_an_earlier_pilot_are_brought_in_line() {
    let mut old = Stage::new(4, 1);
    old.run_to(6000);
    let mut stage = Stage::new(3, 1);
    stage.peers[0].held = old.peers[0].held.clone();
    stage.run_to(5500);
    expect![[r#"
        5.0 r0: set var proc.level_look_up int(1000)
        5.0 r0: set var proc.again_look_up int(1)
        5.0 r0: set server t0/e3 state maint
        5.0 r0: del server t0/e3
    "#]]
    .assert_eq(&stage.orders());
}

/// A stream breaks while nothing is under way: one number tells that both hold the same, and not even
/// the levels are set again. What was changed by another hand meanwhile is found and mended.
#[test]
fn after_a_redial_the_digest_saves_all_lines() {
    let mut stage = Stage::new(3, 1);
    stage.run_to(6000).quiet().cut(0);
    stage.run_to(7000);
    assert_eq!(stage.orders(), "");
    stage.cut(0);
    let mut out = String::new();
    let by_hand = lockcroft_runtime_api::split("set weight t0/e1 7");
    CommandQueue::new(Level::Admin).line(&by_hand, &mut stage.peers[0].held, &mut out);
    stage.run_to(9000);
    expect![[r#"
        7.3 r0: set server t0/e1 weight 256
        7.3 r0: set var proc.level_look_up int(1000)
        7.3 r0: set var proc.again_look_up int(1)
    "#]]
    .assert_eq(&stage.orders());
}

/// A table of many lines takes several lines of orders: they take effect together, and a stream that
/// breaks before the commit leaves the table that stood.
#[test]
fn a_message_of_several_lines_takes_effect_as_a_whole() {
    let mut stage = Stage::new(300, 1);
    stage.run_to(4900).peers[0].silent = true;
    stage.run_to(5100);
    let told = stage.orders();
    assert!(told.starts_with("5.0 r0: prepare map tables"), "{told}");
    assert!(!told.contains("commit"), "its version is not known yet");
    assert_eq!(stage.peers[0].held.backends.len(), 1, "the standing table only");
    stage.quiet().cut(0);
    stage.peers[0].silent = false;
    stage.run_to(6500);
    assert!(stage.orders().ends_with("5.3 r0: commit map @2 tables\n"), "{}", stage.orders());
    assert_eq!(stage.picks(0).len(), 300);
    assert_eq!(stage.peers[0].held.committed, 2);
    assert_eq!(stage.helm.lines_waiting(), 0);
}

#[test]
fn a_proxy_that_started_anew_is_told_all_again() {
    let mut stage = Stage::new(2, 1);
    stage.run_to(6000);
    let fresh = Stage::new(2, 1).peers.remove(0).held;
    stage.quiet().cut(0);
    stage.peers[0].held = fresh;
    stage.run_to(7000);
    assert_eq!(stage.orders().lines().count(), 7, "{}", stage.orders());
    assert_eq!(stage.picks(0).len(), 2);
}

/// A proxy that answers an order with anything but the guide's word of success is asked anew what
/// it holds, after a wait, and meanwhile counts as gone.
#[test]
fn an_order_that_is_refused_breaks_the_stream() {
    let mut stage = Stage::new(2, 1);
    stage.run_to(5500);
    // Somebody else's hand takes a line away.
    let table = stage.peers[0].held.backends.get_mut("t0").expect("laid");
    std::rc::Rc::make_mut(table).remove("e0");
    stage.quiet().state(0, EndpointStatus::Draining);
    stage.run_to(5700);
    assert!(stage.helm.show_proxies().contains("No such server"), "{}", stage.helm.show_proxies());
    stage.state(0, EndpointStatus::Ready);
    stage.run_to(8000);
    assert_eq!(stage.picks(0).len(), 2);
}

/// The module sees lines that really wait, and holds the others back within its limit.
#[test]
fn lines_that_wait_stay_within_the_limit() {
    let (servers, proxies, limit) = (30, 12, 200);
    let mut stage = Stage::with(servers, proxies, limit);
    stage.run_to(4900);
    stage.peers.iter_mut().for_each(|peer| peer.silent = true);
    for step in 0..40 {
        stage.run_to(5000 + step * 25);
        assert!(stage.helm.lines_waiting() <= limit, "{} wait", stage.helm.lines_waiting());
    }
    assert!(stage.helm.lines_waiting() > limit / 4, "the table does go out");
}

#[test]
fn an_operators_word_goes_through_the_list() {
    let mut stage = Stage::new(2, 1);
    stage.run_to(6000);
    let server = stage.helm.server_of("servers/e1").expect("listed");
    let half = stage.helm.weight_of(server, "50%").expect("a weight");
    stage.helm.say(server, |word| word.weight = Some(half));
    stage.run_to(7000);
    assert_eq!(stage.picks(0), [("e0".to_string(), 256), ("e1".to_string(), 128)]);
    stage.helm.say(server, |word| word.drains = true);
    // The list read anew takes nothing from the operator's word.
    stage.list();
    stage.run_to(8000);
    assert_eq!(stage.picks(0), [("e0".to_string(), 256)]);
    assert!(stage.helm.server_of("t9/e1").is_err() && stage.helm.server_of("t0/e9").is_err());
}

/// Two readings of one file must not look like two starts: the server would lose its weight again.
#[test]
fn a_start_is_news_once() {
    let mut stage = Stage::new(2, 1);
    stage.run_to(6000).roster.entries[0].started_at = Some(SystemTime::UNIX_EPOCH + ms(3000));
    stage.list();
    stage.run_to(12_900);
    let picks = stage.picks(0);
    for step in 0..5 {
        stage.run_to(12_901 + step);
        stage.list();
    }
    stage.run_to(12_950);
    assert_eq!(stage.picks(0), picks);
    assert!(picks[0].1 > 200, "nearly warm: {picks:?}");
}

#[test]
fn a_dead_server_leaves_the_tables_by_its_probes() {
    let mut stage = Stage::new(3, 2);
    stage.run_to(6000).findings.insert(2, HealthCheckOutcome::Refused);
    stage.run_to(9000);
    assert_eq!(stage.picks(1).len(), 2);
    assert!(stage.helm.next_due() < stage.now + Duration::from_secs(1));
}
