//! Tellings of discovery.

use expect_test::expect;
use serde_json::json;

use crate::stage::{Stage, WALL, entry, list};

#[test]
fn entries_that_cannot_be_used_leave_the_others() {
    let mut stage = Stage::bare();
    let mut far = entry("s-x", "up", 0);
    far["zone"] = json!("nowhere");
    stage.list(&list(1, true, &[entry("s-a", "up", 0), far, entry("s-bb", "asleep", 0), json!(7)]));
    stage.join(1, 3, true);
    expect![[r#"
        0.5 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]]
    .assert_eq(&stage.run_to(5.5));
}

#[test]
fn lists_that_make_no_sense_change_nothing() {
    let mut stage = Stage::new();
    stage.list(&list(3, false, &[]));
    stage.list(&list(9, true, &[]));
    stage.list(&list(2, false, &[entry("s-a", "removed", 0)]));
    stage.list(&json!({"index": "9"}));
    stage.list(&json!([]));
    stage.join(1, 3, true);
    assert_eq!(stage.control_plane.list_version(), Some(3));
    expect![[r#"
        0.0 refused: a whole list without a usable entry, 0 faults
        0.0 refused: changes to version 2 on top of Some(3)
        0.0 refused: index: not a whole number
        0.0 refused: index: not a whole number
        5.0 1 < {"t":"assign","full":true,"endpoints":[["s-a",1.0],["s-bb",1.0],["s-ccc",1.0],["s-dddd",1.0]],"admit":1.0,"policy":1,"nonce_out":0}
    "#]].assert_eq(&stage.run_to(5.5));
}

#[test]
fn a_start_told_twice_is_one_start() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).run_to(6.0);
    stage.list(&list(2, false, &[entry("s-a", "up", WALL + 6000)]));
    let first = stage.run_to(10.0);
    assert!(first.contains(r#"["s-a",0.0]"#), "{first}");
    // The same start, told a little later and late: its warm-up goes on, nothing is taken away.
    stage.list(&list(
        3,
        true,
        &["s-a", "s-bb"].map(|name| entry(name, "up", if name == "s-a" { WALL + 6000 } else { 0 })),
    ));
    let again = stage.run_to(12.0);
    assert!(!again.contains(r#"["s-a",0.0]"#), "{again}");
}

#[test]
fn what_a_former_address_says_moves_nothing() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).run_to(6.0);
    stage.former = true;
    stage.refuses = Some(0);
    expect![[""]].assert_eq(&stage.run_to(12.0));
    stage.former = false;
    assert!(stage.run_to(16.0).contains(r#"["s-a",0.0]"#));
}

/// Discovery has moved, and its new agent is behind: what the old one told of a drain must not be taken back. One
/// that stays behind for longer than anything may be late counts anew.
#[test]
fn a_whole_list_older_than_what_is_held_takes_nothing_back() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).run_to(6.0);
    let names = ["s-a", "s-bb", "s-ccc", "s-dddd"];
    let up = |name: &&str| entry(name, "up", 0);
    stage.list(&list(5, false, &[entry("s-bb", "draining", 0)]));
    assert!(stage.run_to(7.0).contains(r#"["s-bb",0.0]"#));
    for second in 7..12 {
        stage.list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
        let trace = stage.run_to(f64::from(second) + 1.0);
        assert!(trace.contains("refused: a whole list of version 4") && !trace.contains("s-bb"), "{trace}");
    }
    stage.list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
    assert!(stage.run_to(13.0).contains("refused"));
    stage.list(&list(4, true, &names.iter().map(up).collect::<Vec<_>>()));
    let trace = stage.run_to(16.0);
    assert!(trace.contains(r#"["s-bb","#) && stage.control_plane.list_version() == Some(4), "{trace}");
}

/// The same list once more, and an old change behind a new one.
#[test]
fn repeated_and_overtaken_tellings_change_nothing() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).run_to(6.0);
    stage.list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    assert!(stage.run_to(7.0).contains(r#"["s-bb",0.0]"#));
    stage.list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    stage.list(&list(1, false, &[entry("s-bb", "up", 0)]));
    expect![[r#"
        7.0 refused: changes to version 1 on top of Some(2)
    "#]]
    .assert_eq(&stage.run_to(9.0));
}
