//! Messages of discovery.

use expect_test::expect;
use serde_json::json;

use crate::harness::{Harness, START_UNIX_MS, entry, list};

#[test]
fn invalid_entries_leave_the_others_in_use() {
    let mut harness = Harness::without_endpoints();
    let mut far = entry("s-x", "up", 0);
    far["zone"] = json!("nowhere");
    harness.update_list(&list(1, true, &[entry("s-a", "up", 0), far, entry("s-bb", "asleep", 0), json!(7)]));
    harness.attach(1, 3, true);
    expect![[r#"
        0.5 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]]
    .assert_eq(&harness.run_to(5.5));
}

#[test]
fn unusable_lists_change_nothing() {
    let mut harness = Harness::new();
    harness.update_list(&list(3, false, &[]));
    harness.update_list(&list(9, true, &[]));
    harness.update_list(&list(2, false, &[entry("s-a", "removed", 0)]));
    harness.update_list(&json!({"index": "9"}));
    harness.update_list(&json!([]));
    harness.attach(1, 3, true);
    assert_eq!(harness.control_plane.list_version(), Some(3));
    expect![[r#"
        0.0 refused: a whole list without a usable entry, 0 faults
        0.0 refused: changes to version 2 on top of Some(3)
        0.0 refused: index: not a whole number
        0.0 refused: index: not a whole number
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]].assert_eq(&harness.run_to(5.5));
}

#[test]
fn a_start_reported_twice_is_one_start() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.update_list(&list(2, false, &[entry("s-a", "up", START_UNIX_MS + 6000)]));
    let first = harness.run_to(10.0);
    assert!(first.contains(r#"["s-a",0.0]"#), "{first}");
    // The same start, reported again later: its slow start goes on, and no entry is removed.
    harness.update_list(&list(
        3,
        true,
        &["s-a", "s-bb"].map(|name| entry(name, "up", if name == "s-a" { START_UNIX_MS + 6000 } else { 0 })),
    ));
    let again = harness.run_to(12.0);
    assert!(!again.contains(r#"["s-a",0.0]"#), "{again}");
}

#[test]
fn health_checks_of_a_former_address_change_nothing() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.checks_former_address = true;
    harness.refusing = Some(0);
    expect![[""]].assert_eq(&harness.run_to(12.0));
    harness.checks_former_address = false;
    assert!(harness.run_to(16.0).contains(r#"["s-a",0.0]"#));
}

/// Discovery has moved, and its new agent is behind: a drain that the old one reported must not be taken back. One
/// that stays behind for longer than the most delay has begun to count anew.
#[test]
fn a_stale_whole_list_is_refused_for_a_while() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    let names = ["s-a", "s-bb", "s-ccc", "s-dddd"];
    let up = |name: &&str| entry(name, "up", 0);
    harness.update_list(&list(5, false, &[entry("s-bb", "draining", 0)]));
    assert!(harness.run_to(7.0).contains(r#"["s-bb",0.0]"#));
    for second in 7..12 {
        harness.update_list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
        let trace = harness.run_to(f64::from(second) + 1.0);
        assert!(trace.contains("refused: a whole list of version 4") && !trace.contains("s-bb"), "{trace}");
    }
    harness.update_list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
    assert!(harness.run_to(13.0).contains("refused"));
    harness.update_list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
    let trace = harness.run_to(16.0);
    assert!(trace.contains(r#"["s-bb","#) && harness.control_plane.list_version() == Some(4), "{trace}");
}

/// The same changes once more, and an old change behind a new one.
#[test]
fn repeated_and_overtaken_updates_change_nothing() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    assert!(harness.run_to(7.0).contains(r#"["s-bb",0.0]"#));
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    harness.update_list(&list(1, false, &[entry("s-bb", "up", 0)]));
    expect![[r#"
        7.0 refused: changes to version 1 on top of Some(2)
    "#]]
    .assert_eq(&harness.run_to(9.0));
}
