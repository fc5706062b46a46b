//! Attachment of proxies and collectors, handling of invalid messages, and closing of connections.

use expect_test::expect;
use lockcroft_platform::Effect;

use crate::harness::Harness;

#[test]
fn invalid_messages_are_dropped_and_unreadable_ones_close_the_connection() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).accept(2).receive(2, r#"{"t":"telemetry","locality":"a"}"#);
    let valid = r#"{"t":"upstream_stats","locality":"a","endpoint":"s-a","total":9,"errors":1,"rtt":41.7,"interval":1000.0}"#;
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
        harness.receive(2, &valid.replace(from, to));
    }
    assert_eq!(
        (harness.control_plane.counters().invalid_messages, harness.control_plane.counters().reports),
        (11, 0)
    );
    harness.receive(2, valid);
    for line in [
        r#"{"t":"done","node":3,"nonce":"x","latency":1}"#,
        r#"{"t":"client_stats","node":4,"route":"look","total":9,"errors":0,"interval":1000.0}"#,
        r#"{"t":"client_stats","node":3,"route":"cook","total":9,"errors":0,"interval":1000.0}"#,
        r#"{"t":"attach","node":4,"locality":"a","w":1,"cold":true}"#,
    ] {
        harness.receive(1, line);
    }
    harness
        .receive(1, r#"{"t":"client_stats","node":3,"route":"look","total":9,"errors":0,"interval":1000.0}"#);
    assert_eq!(
        (harness.control_plane.counters().invalid_messages, harness.control_plane.counters().reports),
        (15, 2)
    );
    expect![[""]].assert_eq(&harness.trace);
    harness.receive(1, "{\"t\":\"done\"").receive(2, "GET / HTTP/1.1");
    expect![[r#"
        0.0 1 < {"reason":"EOF while parsing an object at line 1 column 11","t":"reject"}
        0.0 1 closed
        0.0 2 < {"reason":"expected value at line 1 column 1","t":"reject"}
        0.0 2 closed
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn unidentified_clients_are_rejected_with_a_reason() {
    let mut harness = Harness::new();
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
        harness.accept(connection).receive(connection, line);
    }
    expect![[r#"
        0.0 1 < {"reason":"expected value at line 1 column 1","t":"reject"}
        0.0 1 closed
        0.0 2 < {"reason":"expected value at line 1 column 1","t":"reject"}
        0.0 2 closed
        0.0 3 < {"reason":"not an object","t":"reject"}
        0.0 3 closed
        0.0 4 < {"reason":"node: 8; allowed: below 8","t":"reject"}
        0.0 4 closed
        0.0 5 < {"reason":"node: -1; allowed: a number from 0 to 10000000","t":"reject"}
        0.0 5 closed
        0.0 6 < {"reason":"unknown zone \"z\"","t":"reject"}
        0.0 6 closed
        0.0 7 < {"reason":"unknown zone \"z\"","t":"reject"}
        0.0 7 closed
        0.0 8 < {"reason":"reports come after a joining","t":"reject"}
        0.0 8 closed
        0.0 9 < {"reason":"t: \"assign\" is nothing that a pilot is told","t":"reject"}
        0.0 9 closed
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn unattached_connections_are_closed_after_a_timeout_and_proxies_stay() {
    let mut harness = Harness::new();
    harness.accept(1).receive(1, r#"{"t":"hb"}"#).attach(2, 3, true);
    expect![[r#"
        0.0 1 < {"t":"hb_ok"}
    "#]]
    .assert_eq(&harness.run_to(1.0));
    harness.accept(3);
    expect![[r#"
        1.5 1 < {"reason":"no joining in time","t":"reject"}
        1.5 1 closed
    "#]]
    .assert_eq(&harness.run_to(2.4));
    expect![[r#"
        2.5 3 < {"reason":"no joining in time","t":"reject"}
        2.5 3 closed
    "#]]
    .assert_eq(&harness.run_to(2.6));
}

#[test]
fn the_oldest_unattached_connection_is_evicted_when_descriptors_run_short() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true);
    // Of 60 file descriptors, 32 are reserved and 4 are for health checks, which leaves 24 for connections.
    (2..25).for_each(|connection| {
        harness.accept(connection);
    });
    let accept_decision =
        |harness: &Harness| format!("{:?}", harness.control_plane.accept_decision(harness.now));
    assert_eq!(accept_decision(&harness), "Wait(300ms)");
    harness.run_to(0.3);
    assert_eq!(accept_decision(&harness), "Evict(2)");
    let effect = harness.control_plane.request_final_read(2);
    assert_eq!(effect, Effect::FinalRead { connection: 2 });
    // One connection is evicted at a time, and counts as open until its file descriptor is free.
    harness.control_plane.final_read_completed(2);
    assert_eq!(accept_decision(&harness), "Wait(2ms)");
    harness.control_plane.connection_closed(2);
    assert_eq!(accept_decision(&harness), "Accept");
}

#[test]
fn a_proxy_whose_attach_message_is_in_the_final_read_stays_connected() {
    let mut harness = Harness::new();
    harness.accept(1).accept(2);
    let effects = [1, 2].map(|connection| harness.control_plane.request_final_read(connection));
    assert_eq!(effects, [1, 2].map(|connection| Effect::FinalRead { connection }));
    // The final read of the first connection finds an attach message.
    let attachment = r#"{"t":"attach","node":3,"locality":"a","w":5,"cold":true}"#;
    harness.control_plane.line_received(harness.now, 1, attachment.as_bytes());
    [1, 2].into_iter().for_each(|connection| harness.control_plane.final_read_completed(connection));
    let trace = harness.run_to(6.0);
    assert!(trace.contains("1 < {\"t\":\"assign\",\"full\":true"), "{trace}");
    assert!(trace.contains("2 closed") && !trace.contains("1 closed"), "{trace}");
}

#[test]
fn the_oldest_collector_of_a_zone_is_aborted_beyond_the_limit() {
    let mut harness = Harness::new();
    (1..=4).for_each(|connection| {
        harness.accept(connection).receive(connection, r#"{"t":"telemetry","locality":"a"}"#);
    });
    expect![[r#"
        0.0 1 aborted
    "#]]
    .assert_eq(&harness.trace);
}

#[test]
fn an_endpoint_that_refuses_health_checks_is_removed_from_the_table() {
    let mut harness = Harness::new();
    harness.attach(1, 3, true).run_to(6.0);
    harness.refusing = Some(1);
    expect![[r#"
        7.2 1 < {"t":"assign","endpoints":[["s-bb",0.0]],"nonce_out":1}
    "#]]
    .assert_eq(&harness.run_to(9.0));
}
