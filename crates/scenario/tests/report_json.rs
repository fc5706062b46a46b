//! The JSON of reports is read by other programs: its keys stay, whatever the types are called here.

use std::time::Duration;

use lockcroft_scenario::{After, CheckResult, Report, ResourceUsage, Score};
use lockcroft_testbed::{TrafficEvent, TrafficRecord};
use serde_json::{Value, json};

fn text(text: &str) -> String {
    text.into()
}

fn events() -> Vec<TrafficEvent> {
    vec![
        TrafficEvent::Arrived {
            endpoint: text("e"),
            relay: text("r"),
            visit: 1,
            class: text("c"),
            work: 0.5,
            table: text("t0@1"),
        },
        TrafficEvent::Ran { endpoint: text("e"), visit: 1, class: text("c") },
        TrafficEvent::Started { endpoint: text("e"), capacity: 2.0 },
        TrafficEvent::Stopped { endpoint: text("e") },
        TrafficEvent::Fell { endpoint: text("e") },
        TrafficEvent::Stream { relay: text("r"), open: true },
        TrafficEvent::Stalled { relay: text("r"), on: false },
        TrafficEvent::Standing { relay: text("r"), servers: vec![text("e")] },
        TrafficEvent::Line { relay: text("r"), commands: 3 },
        TrafficEvent::Set { relay: text("r"), orders: vec![(text("command"), text("answer"))] },
        TrafficEvent::Laid {
            relay: text("r"),
            set: 4,
            tables: vec![(text("t0"), vec![(text("e"), 5)])],
            map: vec![(text("c"), text("t0"))],
            withdrawn: vec![text("e")],
        },
        TrafficEvent::Listed {
            servers: vec![
                (text("e"), text("ready"), Some(Duration::from_secs(6))),
                (text("f"), text("gone"), None),
            ],
        },
        TrafficEvent::Visit { visit: 1, class: text("c"), asked: Duration::from_millis(1500), status: 200 },
    ]
}

fn report() -> Report {
    let record = |what| TrafficRecord { at: Duration::from_millis(2500), what };
    Report {
        verdicts: vec![CheckResult {
            rule: "drains kept",
            of: "s after told",
            figure: 3.0,
            limit: 2.0,
            at: text("r to e at 4.0 s"),
        }],
        score: Score {
            visits: 7,
            whole: 0.75,
            worst_window: 0.5,
            worst_at_s: 8.0,
            tens: vec![0.25],
            classes: [(text("c"), 0.5)].into(),
            crossing: 0.125,
            changes: vec![9],
            restarts: vec![After { at_s: 10.0, fulfilled: 0.5, changes: 11, settled_s: 1.5 }],
        },
        pilot: vec![text("Name: rehearsed")],
        load: ResourceUsage { samples: vec![(1.0, 0.5, 20.0)], proxies_s: 3.0 },
        exit: Some(0),
        records: events().into_iter().map(record).collect(),
    }
}

fn score_json() -> Value {
    json!({
        "visits": 7,
        "whole": 0.75,
        "worst_window": 0.5,
        "worst_at_s": 8.0,
        "tens": [0.25],
        "classes": {"c": 0.5},
        "crossing": 0.125,
        "changes": [9],
        "restarts": [{"at_s": 10.0, "fulfilled": 0.5, "changes": 11, "settled_s": 1.5}],
    })
}

#[test]
fn a_report_keeps_its_json() {
    let events = json!([
        {"Arrived": {"endpoint": "e", "relay": "r", "visit": 1, "class": "c", "work": 0.5, "table": "t0@1"}},
        {"Ran": {"endpoint": "e", "visit": 1, "class": "c"}},
        {"Started": {"endpoint": "e", "capacity": 2.0}},
        {"Stopped": {"endpoint": "e"}},
        {"Fell": {"endpoint": "e"}},
        {"Stream": {"relay": "r", "open": true}},
        {"Stalled": {"relay": "r", "on": false}},
        {"Standing": {"relay": "r", "servers": ["e"]}},
        {"Line": {"relay": "r", "commands": 3}},
        {"Set": {"relay": "r", "orders": [["command", "answer"]]}},
        {"Laid": {"relay": "r", "set": 4, "tables": [["t0", [["e", 5]]]], "map": [["c", "t0"]], "withdrawn": ["e"]}},
        {"Listed": {"servers": [["e", "ready", {"secs": 6, "nanos": 0}], ["f", "gone", null]]}},
        {"Visit": {"visit": 1, "class": "c", "asked": {"secs": 1, "nanos": 500_000_000}, "status": 200}},
    ]);
    let record = |what: &Value| json!({"at": {"secs": 2, "nanos": 500_000_000}, "what": what});
    let records: Vec<Value> = events.as_array().expect("a list").iter().map(record).collect();
    let expected = json!({
        "verdicts": [{"rule": "drains kept", "of": "s after told", "figure": 3.0, "limit": 2.0, "at": "r to e at 4.0 s"}],
        "score": score_json(),
        "pilot": ["Name: rehearsed"],
        "load": {"samples": [[1.0, 0.5, 20.0]], "proxies_s": 3.0},
        "exit": 0,
        "records": records,
    });
    assert_eq!(serde_json::to_value(report()).expect("JSON"), expected);
}

#[test]
fn a_summary_keeps_its_json_and_is_read_again() {
    let summary = report().summary();
    let expected = json!({"score": score_json(), "broken": ["drains kept"]});
    assert_eq!(serde_json::to_value(&summary).expect("JSON"), expected);
    let read: lockcroft_scenario::Summary = serde_json::from_value(expected.clone()).expect("a summary");
    assert_eq!(serde_json::to_value(read).expect("JSON"), expected);
}

/// Reports as people read them.
#[test]
fn a_report_keeps_its_text() {
    let expected = "\
BROKEN drains kept          3.00 of 2.00 s after told (r to e at 4.0 s)
fulfilled earnings 0.750 of 7 visits, 0.500 in the worst 10 s (from 8 s)
  each 10 s: 0.250
  c: 0.500
  visits that crossed zones: 0.125
  weights and levels changed, each 10 s: [9]
  20 s behind the start at 10 s: 0.500, 11 changed, tables laid in 1.5 s
pilot: 0.50 cores (median second), 0.50 (worst second), 20 MB at most; proxies: 3.0 s of CPU in all
rules broken: drains kept";
    assert_eq!(report().to_string(), expected);
}
