//! Who may speak, and what is not heard.

use expect_test::expect;
use lockcroft_platform::Effect;

use crate::stage::Stage;

#[test]
fn spoilt_messages_cost_themselves_and_unreadable_ones_the_connection() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).accept(2).say(2, r#"{"t":"telemetry","locality":"a"}"#);
    let good = r#"{"t":"upstream_stats","locality":"a","endpoint":"s-a","total":9,"errors":1,"rtt":41.7,"interval":1000.0}"#;
    for (from, to) in [
        ("\"total\":9", "\"total\":-9"),
        ("\"total\":9", "\"total\":\"9\""),
        ("\"total\":9,", ""),
        ("\"errors\":1", "\"errors\":10"),
        ("\"rtt\":41.7", "\"rtt\":4e7"),
        ("\"rtt\":41.7", "\"rtt\":null"),
        ("s-a", "s-never"),
        ("\"locality\":\"a\"", "\"locality\":\"z\""),
        ("1000.0", "0"),
        ("1000.0", "1000.0,\"metrics\":3"),
        ("upstream_stats", "assign"),
    ] {
        stage.say(2, &good.replace(from, to));
    }
    assert_eq!(
        (stage.control_plane.counters().invalid_messages, stage.control_plane.counters().reports),
        (11, 0)
    );
    stage.say(2, good);
    for line in [
        r#"{"t":"done","node":3,"nonce":"x","latency":1}"#,
        r#"{"t":"client_stats","node":4,"route":"look","total":9,"errors":0,"interval":1000.0}"#,
        r#"{"t":"client_stats","node":3,"route":"cook","total":9,"errors":0,"interval":1000.0}"#,
        r#"{"t":"attach","node":4,"locality":"a","w":1,"cold":true}"#,
    ] {
        stage.say(1, line);
    }
    stage.say(1, r#"{"t":"client_stats","node":3,"route":"look","total":9,"errors":0,"interval":1000.0}"#);
    assert_eq!(
        (stage.control_plane.counters().invalid_messages, stage.control_plane.counters().reports),
        (15, 2)
    );
    expect![[""]].assert_eq(&stage.trace);
    stage.say(1, "{\"t\":\"done\"").say(2, "GET / HTTP/1.1");
    expect![[r#"
        0.0 1 < {"reason":"EOF while parsing an object at line 1 column 11","t":"reject"}
        0.0 1 ends
        0.0 2 < {"reason":"expected value at line 1 column 1","t":"reject"}
        0.0 2 ends
    "#]]
    .assert_eq(&stage.trace);
}

#[test]
fn strangers_are_told_no() {
    let mut stage = Stage::new();
    for (connection, line) in (1..).zip([
        "GET /discovery/hosts HTTP/1.1",
        "\u{1}\u{2}",
        "[]",
        r#"{"t":"attach","node":8,"locality":"a","w":1,"cold":true}"#,
        r#"{"t":"attach","node":-1,"locality":"a","w":1,"cold":true}"#,
        r#"{"t":"attach","node":1,"locality":"z","w":1,"cold":true}"#,
        r#"{"t":"telemetry","locality":"z"}"#,
        r#"{"t":"client_stats","node":3,"route":"look","total":9,"errors":0,"interval":1000.0}"#,
        r#"{"t":"assign","full":true}"#,
    ]) {
        stage.accept(connection).say(connection, line);
    }
    expect![[r#"
        0.0 1 < {"reason":"expected value at line 1 column 1","t":"reject"}
        0.0 1 ends
        0.0 2 < {"reason":"expected value at line 1 column 1","t":"reject"}
        0.0 2 ends
        0.0 3 < {"reason":"not an object","t":"reject"}
        0.0 3 ends
        0.0 4 < {"reason":"node: 8; allowed: below 8","t":"reject"}
        0.0 4 ends
        0.0 5 < {"reason":"node: -1; allowed: a number from 0 to 10000000","t":"reject"}
        0.0 5 ends
        0.0 6 < {"reason":"unknown zone \"z\"","t":"reject"}
        0.0 6 ends
        0.0 7 < {"reason":"unknown zone \"z\"","t":"reject"}
        0.0 7 ends
        0.0 8 < {"reason":"reports come after a joining","t":"reject"}
        0.0 8 ends
        0.0 9 < {"reason":"t: \"assign\" is nothing that a pilot is told","t":"reject"}
        0.0 9 ends
    "#]]
    .assert_eq(&stage.trace);
}

#[test]
fn those_who_have_not_joined_go_after_a_while_and_proxies_stay() {
    let mut stage = Stage::new();
    stage.accept(1).say(1, r#"{"t":"hb"}"#).join(2, 3, true);
    expect![[r#"
        0.0 1 < {"t":"hb_ok"}
    "#]]
    .assert_eq(&stage.run_to(1.0));
    stage.accept(3);
    expect![[r#"
        1.5 1 < {"reason":"no joining in time","t":"reject"}
        1.5 1 ends
    "#]]
    .assert_eq(&stage.run_to(2.4));
    expect![[r#"
        2.5 3 < {"reason":"no joining in time","t":"reject"}
        2.5 3 ends
    "#]]
    .assert_eq(&stage.run_to(2.6));
}

#[test]
fn where_descriptors_run_short_the_oldest_that_has_not_joined_makes_room() {
    let mut stage = Stage::new();
    stage.join(1, 3, true);
    // 60 descriptors, 32 kept and one for each of four servers: room for 24.
    (2..25).for_each(|connection| {
        stage.accept(connection);
    });
    let acceptance = |stage: &Stage| format!("{:?}", stage.control_plane.acceptance(stage.now));
    assert_eq!(acceptance(&stage), "Wait(300ms)");
    stage.run_to(0.3);
    assert_eq!(acceptance(&stage), "Evict(2)");
    let call = stage.control_plane.request_final_read(2);
    assert_eq!(call, Effect::FinalRead { connection: 2 });
    // One goes at a time, and counts until its descriptor is free.
    stage.control_plane.final_read_done(2);
    assert_eq!(acceptance(&stage), "Wait(2ms)");
    stage.control_plane.connection_closed(2);
    assert_eq!(acceptance(&stage), "Accept");
}

#[test]
fn a_joining_that_came_before_the_last_call_was_answered_holds() {
    let mut stage = Stage::new();
    stage.accept(1).accept(2);
    let calls = [1, 2].map(|connection| stage.control_plane.request_final_read(connection));
    assert_eq!(calls, [1, 2].map(|connection| Effect::FinalRead { connection }));
    // What the first one had said is read now.
    let joining = r#"{"t":"attach","node":3,"locality":"a","w":5,"cold":true}"#;
    stage.control_plane.line_received(stage.now, 1, joining.as_bytes());
    [1, 2].into_iter().for_each(|connection| stage.control_plane.final_read_done(connection));
    let trace = stage.run_to(6.0);
    assert!(trace.contains("1 < {\"t\":\"assign\",\"full\":true"), "{trace}");
    assert!(trace.contains("2 ends") && !trace.contains("1 ends"), "{trace}");
}

#[test]
fn collectors_that_come_again_and_again_do_not_add_up() {
    let mut stage = Stage::new();
    (1..=4).for_each(|connection| {
        stage.accept(connection).say(connection, r#"{"t":"telemetry","locality":"a"}"#);
    });
    expect![[r#"
        0.0 1 is dropped
    "#]]
    .assert_eq(&stage.trace);
}

#[test]
fn a_server_that_refuses_probes_leaves_the_table() {
    let mut stage = Stage::new();
    stage.join(1, 3, true).run_to(6.0);
    stage.refuses = Some(1);
    expect![[r#"
        7.2 1 < {"t":"assign","endpoints":[["s-bb",0.0]],"nonce_out":1}
    "#]]
    .assert_eq(&stage.run_to(9.0));
}
