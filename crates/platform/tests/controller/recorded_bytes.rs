//! A scripted sequence of input lines on several connections, whose complete output is compared with a recording.

use std::time::Duration;

use expect_test::expect_file;
use serde_json::json;

use crate::harness::{Harness, START_UNIX_MS, entry, list};

/// Messages that are invalid due to a field or the role of their connection, and a heartbeat.
const INVALID_MESSAGES: [&str; 8] = [
    r#"{"t":"upstream_stats","endpoint":"nobody","locality":"a","total":1,"errors":0,"rtt":1,"interval":1000}"#,
    r#"{"t":"upstream_stats","endpoint":"s-a","locality":"a","total":1,"errors":2,"rtt":1,"interval":1000}"#,
    r#"{"t":"client_stats","node":99,"route":"look","total":1,"errors":0,"interval":1000}"#,
    r#"{"t":"client_stats","node":3,"route":"nothing","total":1,"errors":0,"interval":1000}"#,
    r#"{"t":"client_stats","node":3,"route":"look","total":1,"errors":0,"interval":0}"#,
    r#"{"t":"done","node":3,"nonce":41000,"latency":2.0}"#,
    r#"{"t":"nothing"}"#,
    r#"{"t":"hb"}"#,
];

fn send_reports(harness: &mut Harness, failed: u32, rtt: f64) {
    for name in ["s-a", "s-bb", "s-ccc", "s-dddd"] {
        let line = json!({"t": "upstream_stats", "endpoint": name, "locality": "a", "total": 20,
            "errors": failed, "rtt": rtt, "interval": 1000, "metrics": null});
        harness.receive(9, &line.to_string());
    }
    for class in ["look", "book"] {
        let line = json!({"t": "client_stats", "node": 3, "route": class, "total": 40, "errors": 0,
            "interval": 1000});
        harness.receive(1, &line.to_string());
    }
}

/// Acknowledges each nonce of this trace on connections 1 and 2.
fn acknowledge_nonces(harness: &mut Harness, trace: &str) {
    for line in trace.lines() {
        let Some((_, nonce)) = line.split_once("\"nonce_out\":") else { continue };
        let nonce: u32 = nonce.trim_end_matches('}').parse().expect("a number");
        for (connection, proxy) in [(1, 3), (2, 4)] {
            if line.contains(&format!(" {connection} < ")) {
                let line = json!({"t": "done", "node": proxy, "nonce": nonce, "latency": 3.5});
                harness.receive(connection, &line.to_string());
            }
        }
    }
}

#[test]
fn scripted_input_produces_the_recorded_output() {
    let mut harness = Harness::new();
    let mut trace = String::new();
    harness.attach(1, 3, true).attach(2, 4, false);
    harness.accept(9).receive(9, r#"{"t":"telemetry","locality":"a"}"#);
    harness.accept(10).receive(10, "no message at all");
    harness.accept(11).receive(11, r#"{"t":"done","node":3,"nonce":0,"latency":1}"#);
    harness.accept(12);
    trace += &harness.run_to(1.0);
    harness.update_list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    trace += &harness.run_to(6.0);
    acknowledge_nonces(&mut harness, &trace);
    for line in INVALID_MESSAGES {
        harness.receive(1, line);
    }
    for line in INVALID_MESSAGES {
        harness.receive(9, line);
    }
    for second in 7..40u32 {
        match second {
            8 => harness.update_list(&list(3, false, &[entry("s-bb", "up", START_UNIX_MS + 7_000)])),
            11 => harness.stalled = vec![2],
            12 => harness.update_list(&list(1, true, &[entry("s-a", "up", 0)])),
            14 => harness.refusing = Some(2),
            17 => {
                harness.stalled.clear();
                harness.control_plane.write_completed(2);
            }
            19 => {
                harness.attach(20, 4, false);
            }
            21 => harness.refusing = None,
            24 => harness.update_list(&list(
                4,
                true,
                &["s-a", "s-ccc", "s-new"].map(|name| entry(name, "up", 0)),
            )),
            26 => harness.control_plane.connection_closed(1),
            27 => {
                harness.attach(21, 3, false);
            }
            29 => harness.update_list(&list(5, false, &[entry("s-dddd", "up", START_UNIX_MS + 28_000)])),
            33 => harness.update_list(&json!({"index": "none"})),
            _ => {}
        }
        let slow = (10..16).contains(&second);
        send_reports(&mut harness, if slow { 5 } else { 0 }, if slow { 900.0 } else { 60.0 });
        let new_lines = harness.run_to(f64::from(second));
        acknowledge_nonces(&mut harness, &new_lines);
        trace += &new_lines;
    }
    assert_eq!(harness.now, Duration::from_secs(39));
    expect_file!["recorded/lines.txt"].assert_eq(&trace);
}
