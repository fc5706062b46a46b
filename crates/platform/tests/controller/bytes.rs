//! Bytes in and bytes out: a scripted series of lines on many connections, each line that goes out recorded.

use std::time::Duration;

use expect_test::expect_file;
use serde_json::json;

use crate::stage::{Stage, WALL, entry, list};

/// Lines that no connection may end by, and lines that end one.
const SPOILT: [&str; 8] = [
    r#"{"t":"upstream_stats","endpoint":"nobody","locality":"a","total":1,"errors":0,"rtt":1,"interval":1000}"#,
    r#"{"t":"upstream_stats","endpoint":"s-a","locality":"a","total":1,"errors":2,"rtt":1,"interval":1000}"#,
    r#"{"t":"client_stats","node":99,"route":"look","total":1,"errors":0,"interval":1000}"#,
    r#"{"t":"client_stats","node":3,"route":"nothing","total":1,"errors":0,"interval":1000}"#,
    r#"{"t":"client_stats","node":3,"route":"look","total":1,"errors":0,"interval":0}"#,
    r#"{"t":"done","node":3,"nonce":41000,"latency":2.0}"#,
    r#"{"t":"nothing"}"#,
    r#"{"t":"hb"}"#,
];

fn reports(stage: &mut Stage, failed: u32, rtt: f64) {
    for name in ["s-a", "s-bb", "s-ccc", "s-dddd"] {
        let line = json!({"t": "upstream_stats", "endpoint": name, "locality": "a", "total": 20,
            "errors": failed, "rtt": rtt, "interval": 1000, "metrics": null});
        stage.say(9, &line.to_string());
    }
    for class in ["look", "book"] {
        let line = json!({"t": "client_stats", "node": 3, "route": class, "total": 40, "errors": 0,
            "interval": 1000});
        stage.say(1, &line.to_string());
    }
}

/// Answers each mark that went out on connections 1 and 2 since the text before.
fn answer_marks(stage: &mut Stage, said: &str) {
    for line in said.lines() {
        let Some((_, mark)) = line.split_once("\"nonce_out\":") else { continue };
        let mark: u32 = mark.trim_end_matches('}').parse().expect("a number");
        for (connection, proxy) in [(1, 3), (2, 4)] {
            if line.contains(&format!(" {connection} < ")) {
                let line = json!({"t": "done", "node": proxy, "nonce": mark, "latency": 3.5});
                stage.say(connection, &line.to_string());
            }
        }
    }
}

#[test]
fn scripted_lines_in_give_the_recorded_lines_out() {
    let mut stage = Stage::new();
    let mut said = String::new();
    stage.join(1, 3, true).join(2, 4, false);
    stage.accept(9).say(9, r#"{"t":"telemetry","locality":"a"}"#);
    stage.accept(10).say(10, "no message at all");
    stage.accept(11).say(11, r#"{"t":"done","node":3,"nonce":0,"latency":1}"#);
    stage.accept(12);
    said += &stage.run_to(1.0);
    stage.list(&list(2, false, &[entry("s-bb", "draining", 0)]));
    said += &stage.run_to(6.0);
    answer_marks(&mut stage, &said);
    for line in SPOILT {
        stage.say(1, line);
    }
    for line in SPOILT {
        stage.say(9, line);
    }
    for second in 7..40u32 {
        match second {
            8 => stage.list(&list(3, false, &[entry("s-bb", "up", WALL + 7_000)])),
            11 => stage.stalled = vec![2],
            12 => stage.list(&list(1, true, &[entry("s-a", "up", 0)])),
            14 => stage.refuses = Some(2),
            17 => {
                stage.stalled.clear();
                stage.control_plane.write_completed(2);
            }
            19 => {
                stage.join(20, 4, false);
            }
            21 => stage.refuses = None,
            24 => stage.list(&list(4, true, &["s-a", "s-ccc", "s-new"].map(|name| entry(name, "up", 0)))),
            26 => stage.control_plane.connection_closed(1),
            27 => {
                stage.join(21, 3, false);
            }
            29 => stage.list(&list(5, false, &[entry("s-dddd", "up", WALL + 28_000)])),
            33 => stage.list(&json!({"index": "none"})),
            _ => {}
        }
        let slow = (10..16).contains(&second);
        reports(&mut stage, if slow { 5 } else { 0 }, if slow { 900.0 } else { 60.0 });
        let heard = stage.run_to(f64::from(second));
        answer_marks(&mut stage, &heard);
        said += &heard;
    }
    assert_eq!(stage.now, Duration::from_secs(39));
    expect_file!["recorded/lines.txt"].assert_eq(&said);
}
