//! Application of discovery messages.

use expect_test::expect;
use serde_json::json;

use crate::harness::{Harness, START_UNIX_MS, entry, list};

#[test]
fn invalid_entries_are_skipped() {
    let mut harness = Harness::without_endpoints();
    let mut unknown_zone = entry("s-x", "up", 0);
    unknown_zone["zone"] = json!("nowhere");
    harness.update_list(&list(
        1,
        true,
        &[entry("s-a", "up", 0), unknown_zone, entry("s-bb", "asleep", 0), json!(7)],
    ));
    harness.attach(1, 3, true);
    expect![[r#"
        0.5 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]]
    .assert_eq(&harness.run_to(5.5));
}

#[test]
fn unusable_lists_are_rejected_without_effect() {
    let mut harness = Harness::new();
    harness.update_list(&list(3, false, &[]));
    harness.update_list(&list(9, true, &[]));
    harness.update_list(&list(2, false, &[entry("s-a", "removed", 0)]));
    harness.update_list(&json!({"index": "9"}));
    harness.update_list(&json!([]));
    harness.attach(1, 3, true);
    assert_eq!(harness.control_plane.list_version(), Some(3));
    expect![[r#"
        0.0 rejected: complete list has no valid entry, 0 rejected
        0.0 rejected: changes to version 2 don't apply to current version Some(3)
        0.0 rejected: index is missing or not a whole number
        0.0 rejected: index is missing or not a whole number
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]].assert_eq(&harness.run_to(5.5));
}

#[test]
fn a_repeated_report_of_a_process_start_does_not_restart_slow_start() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.update_list(&list(2, false, &[entry("s-a", "up", START_UNIX_MS + 6000)]));
    let first = harness.run_to(10.0);
    assert!(first.contains(r#"["s-a",0.0]"#), "{first}");
    // The same start is reported again later: slow start continues, and no entry is removed.
    harness.update_list(&list(
        3,
        true,
        &["s-a", "s-bb"].map(|name| entry(name, "up", if name == "s-a" { START_UNIX_MS + 6000 } else { 0 })),
    ));
    let again = harness.run_to(12.0);
    assert!(!again.contains(r#"["s-a",0.0]"#), "{again}");
}

#[test]
fn health_checks_of_a_former_address_are_ignored() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.checks_former_address = true;
    harness.refusing = Some(0);
    expect![[""]].assert_eq(&harness.run_to(12.0));
    harness.checks_former_address = false;
    assert!(harness.run_to(16.0).contains(r#"["s-a",0.0]"#));
}

/// Guards against reverting a drain after a move of discovery, when the new instance has an older list than the
/// previous one. If it stays behind for longer than the maximum delay, it has restarted its version numbers.
#[test]
fn a_stale_complete_list_is_rejected_until_the_maximum_delay_has_passed() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    let names = ["s-a", "s-bb", "s-ccc", "s-dddd"];
    let up = |name: &&str| entry(name, "up", 0);
    harness.update_list(&list(5, false, &[entry("s-bb", "draining", 0)]));
    assert!(harness.run_to(7.0).contains(r#"["s-bb",0.0]"#));
    for second in 7..12 {
        harness.update_list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
        let trace = harness.run_to(f64::from(second) + 1.0);
        let rejected = trace.contains("rejected: complete list of version 4 is older");
        assert!(rejected && !trace.contains("s-bb"), "{trace}");
    }
    harness.update_list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
    assert!(harness.run_to(13.0).contains("rejected: complete list"));
    harness.update_list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
    let trace = harness.run_to(16.0);
    assert!(trace.contains(r#"["s-bb","#) && harness.control_plane.list_version() == Some(4), "{trace}");
}

/// Changes may be repeated, and older changes may arrive after newer ones.
#[test]
fn repeated_and_outdated_changes_have_no_effect() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    assert!(harness.run_to(7.0).contains(r#"["s-bb",0.0]"#));
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    harness.update_list(&list(1, false, &[entry("s-bb", "up", 0)]));
    expect![[r#"
        7.0 rejected: changes to version 1 don't apply to current version Some(2)
    "#]]
    .assert_eq(&harness.run_to(9.0));
}
