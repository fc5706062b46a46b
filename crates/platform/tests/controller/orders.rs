//! Messages to proxies.

use expect_test::expect;

use crate::stage::{Stage, WALL, entry, list};

#[test]
fn a_proxy_gets_a_whole_table_once_and_changed_lines_after() {
    let mut stage = Stage::new();
    stage.join(1, 3, true);
    expect![""].assert_eq(&stage.run_to(4.9));
    expect![[r#"
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]].assert_eq(&stage.run_to(6.0));
    stage.list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    expect![[r#"
        6.0 1 < {"t":"assign","endpoints":[["s-bb",0.0]],"nonce_out":1}
    "#]]
    .assert_eq(&stage.run_to(7.0));
}

#[test]
fn a_stalled_proxy_gets_the_last_word_only() {
    let mut stage = Stage::new();
    stage.stalled = vec![1];
    stage.join(1, 3, true).run_to(6.0);
    stage.list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    stage.run_to(6.5);
    stage.list(&list(3, false, &[entry("s-ccc", "draining", 0)]));
    expect![[""]].assert_eq(&stage.run_to(7.0));
    stage.stalled.clear();
    stage.control_plane.write_completed(1);
    expect![[r#"
        7.0 1 < {"t":"assign","endpoints":[["s-bb",0.0],["s-ccc",0.0]],"nonce_out":1}
    "#]]
    .assert_eq(&stage.run_to(7.1));
}

#[test]
fn what_others_shut_out_is_let_back_with_its_line() {
    let mut stage = Stage::new();
    // Started 12 s before and warm by now: whoever steered this proxy may have shut it out for being cold.
    stage.list(&list(2, false, &[entry("s-bb", "up", WALL - 12_000)]));
    stage.join(1, 3, false).join(2, 4, true);
    expect![[r#"
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"restore":["s-bb"],"nonce_out":0}
        5.0 2 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":1}
    "#]].assert_eq(&stage.run_to(6.0));
}

#[test]
fn what_drains_in_the_hold_is_shut_out_and_comes_back_by_a_word() {
    let mut stage = Stage::new();
    stage.join(1, 3, true);
    stage.run_to(1.0);
    stage.list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    expect![[r#"
        1.1 1 < {"t":"assign","eject":["s-bb"],"nonce_out":0}
    "#]]
    .assert_eq(&stage.run_to(4.9));
    stage.list(&list(3, false, &[entry("s-bb", "up", 0)]));
    expect![[r#"
        5.2 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":1}
        5.5 1 < {"t":"assign","restore":["s-bb"],"nonce_out":2}
    "#]]
    .assert_eq(&stage.run_to(8.0));
}

#[test]
fn a_new_stream_takes_the_place_of_one_not_seen_to_end() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).run_to(6.0);
    stage.join(2, 3, false);
    stage.control_plane.connection_ended(1);
    expect![[r#"
        6.0 1 is dropped
        6.0 2 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":1}
    "#]].assert_eq(&stage.run_to(7.0));
}
