//! Updates of tables and ejections that are sent to proxies.

use expect_test::expect;

use crate::harness::{Harness, START_UNIX_MS, entry, list};

#[test]
fn a_proxy_gets_a_complete_table_once_and_changed_entries_afterwards() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true);
    expect![""].assert_eq(&harness.run_to(4.9));
    expect![[r#"
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]].assert_eq(&harness.run_to(6.0));
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    expect![[r#"
        6.0 1 < {"t":"assign","endpoints":[["s-bb",0.0]],"nonce_out":1}
    "#]]
    .assert_eq(&harness.run_to(7.0));
}

#[test]
fn a_stalled_proxy_gets_only_the_latest_state() {
    let mut harness = Harness::new();
    harness.stalled = vec![1];
    harness.attach(1, 3, true).run_to(6.0);
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    harness.run_to(6.5);
    harness.update_list(&list(3, false, &[entry("s-ccc", "draining", 0)]));
    expect![[""]].assert_eq(&harness.run_to(7.0));
    harness.stalled.clear();
    harness.control_plane.write_completed(1);
    expect![[r#"
        7.0 1 < {"t":"assign","endpoints":[["s-bb",0.0],["s-ccc",0.0]],"nonce_out":1}
    "#]]
    .assert_eq(&harness.run_to(7.1));
}

#[test]
fn ejections_of_other_controllers_are_restored_with_their_entries() {
    let mut harness = Harness::new();
    // The endpoint started 12 s ago and its slow start is over, so another controller may have ejected it since, also
    // at a proxy whose stream broke before its first table.
    harness.update_list(&list(2, false, &[entry("s-bb", "up", START_UNIX_MS - 12_000)]));
    harness.attach(1, 3, false).attach(2, 4, true);
    expect![[r#"
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"restore":["s-bb"],"nonce_out":0}
        5.0 2 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"restore":["s-bb"],"nonce_out":1}
    "#]].assert_eq(&harness.run_to(6.0));
}

/// Guards against an endpoint that stays ejected for ever: the stream of a proxy breaks between an ejection and the
/// first table, and the proxy attaches again without a table, but with the ejection.
#[test]
fn an_ejection_on_a_stream_that_broke_before_the_first_table_ends_on_the_next() {
    let mut harness = Harness::new();
    harness.update_list(&list(2, false, &[entry("s-bb", "up", START_UNIX_MS - 1000)]));
    harness.attach(1, 3, true);
    let before = harness.run_to(0.2);
    assert!(before.contains(r#""eject":["s-bb"]"#), "{before}");
    harness.control_plane.connection_closed(1);
    harness.run_to(6.0);
    harness.attach(2, 3, true);
    let after = harness.run_to(20.0);
    assert!(after.contains(r#""restore":["s-bb"]"#), "{after}");
}

#[test]
fn an_endpoint_that_drains_during_the_startup_hold_is_ejected_and_restored() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true);
    harness.run_to(1.0);
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    expect![[r#"
        1.1 1 < {"t":"assign","eject":["s-bb"],"nonce_out":0}
    "#]]
    .assert_eq(&harness.run_to(4.9));
    harness.update_list(&list(3, false, &[entry("s-bb", "up", 0)]));
    expect![[r#"
        5.2 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":1}
        5.5 1 < {"t":"assign","restore":["s-bb"],"nonce_out":2}
    "#]]
    .assert_eq(&harness.run_to(8.0));
}

#[test]
fn a_new_stream_replaces_one_whose_end_was_not_detected() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.attach(2, 3, false);
    harness.control_plane.connection_ended(1);
    expect![[r#"
        6.0 1 aborted
        6.0 2 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":1}
    "#]].assert_eq(&harness.run_to(7.0));
}
