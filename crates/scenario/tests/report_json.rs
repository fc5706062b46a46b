//! Guards the JSON and the text of reports, which other programs and people read, against renamed types and fields.

use std::time::Duration;

use lockcroft_scenario::{CheckResult, Report, ResourceSample, ResourceUsage, RestartScore, Score};
use lockcroft_testbed::{
    AnsweredCommand, AppliedTable, ClassTable, EndpointWeight, ListedEndpoint, TrafficEvent, TrafficRecord,
};
use serde_json::{Value, json};

fn string(text: &str) -> String {
    text.into()
}

fn events() -> Vec<TrafficEvent> {
    vec![
        TrafficEvent::RequestArrived {
            endpoint: string("e"),
            proxy: string("r"),
            request: 1,
            class: string("c"),
            work: 0.5,
            table: string("t0@1"),
        },
        TrafficEvent::RequestExecuted { endpoint: string("e"), request: 1, class: string("c") },
        TrafficEvent::EndpointStarted { endpoint: string("e"), capacity: 2.0 },
        TrafficEvent::EndpointStopped { endpoint: string("e") },
        TrafficEvent::EndpointOverloaded { endpoint: string("e") },
        TrafficEvent::ControlStream { proxy: string("r"), open: true },
        TrafficEvent::ControlStreamStalled { proxy: string("r"), stalled: false },
        TrafficEvent::ProxyStarted { proxy: string("r"), endpoints: vec![string("e")] },
        TrafficEvent::UpdateReceived { proxy: string("r"), commands: 3 },
        TrafficEvent::UpdateAnswered {
            proxy: string("r"),
            commands: vec![AnsweredCommand { command: string("command"), answer: string("answer") }],
        },
        TrafficEvent::SnapshotApplied {
            proxy: string("r"),
            version: 4,
            tables: vec![AppliedTable {
                name: string("t0"),
                entries: vec![EndpointWeight { endpoint: string("e"), weight: 5 }],
            }],
            class_tables: vec![ClassTable { class: string("c"), table: string("t0") }],
            ejected: vec![string("e")],
        },
        TrafficEvent::ListPublished {
            endpoints: vec![
                ListedEndpoint {
                    name: string("e"),
                    state: string("ready"),
                    started: Some(Duration::from_secs(6)),
                },
                ListedEndpoint { name: string("f"), state: string("gone"), started: None },
            ],
        },
        TrafficEvent::RequestCompleted {
            request: 1,
            class: string("c"),
            sent_at: Duration::from_millis(1500),
            status: 200,
        },
    ]
}

fn report() -> Report {
    let record = |event| TrafficRecord { at: Duration::from_millis(2500), event };
    Report {
        checks: vec![CheckResult {
            rule: "drains kept",
            unit: "s after told",
            worst_value: 3.0,
            limit: 2.0,
            location: string("r to e at 4.0 s"),
        }],
        score: Score {
            requests: 7,
            goodput: 0.75,
            worst_window_goodput: 0.5,
            worst_window_at_s: 8.0,
            window_goodput: vec![0.25],
            class_goodput: [(string("c"), 0.5)].into(),
            cross_zone_fraction: 0.125,
            changes: vec![9],
            restarts: vec![RestartScore { at_s: 10.0, goodput: 0.5, changes: 11, settled_s: 1.5 }],
        },
        controller_info: vec![string("Name: rehearsed")],
        resource_usage: ResourceUsage {
            samples: vec![ResourceSample { at_s: 1.0, cores: 0.5, memory_mib: 20.0 }],
            proxy_cpu_s: 3.0,
        },
        exit_code: Some(0),
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
fn a_report_has_fixed_json() {
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
    let record = |event: &Value| json!({"at": {"secs": 2, "nanos": 500_000_000}, "what": event});
    let records: Vec<Value> = events.as_array().expect("a JSON array").iter().map(record).collect();
    let expected = json!({
        "verdicts": [{"rule": "drains kept", "of": "s after told", "figure": 3.0, "limit": 2.0, "at": "r to e at 4.0 s"}],
        "score": score_json(),
        "pilot": ["Name: rehearsed"],
        "load": {"samples": [[1.0, 0.5, 20.0]], "proxies_s": 3.0},
        "exit": 0,
        "records": records,
    });
    assert_eq!(serde_json::to_value(report()).expect("the report can be serialized"), expected);
}

#[test]
fn a_summary_has_fixed_json_and_can_be_parsed() {
    let summary = report().summary();
    let expected = json!({"score": score_json(), "broken": ["drains kept"]});
    assert_eq!(serde_json::to_value(&summary).expect("the summary can be serialized"), expected);
    let parsed: lockcroft_scenario::Summary =
        serde_json::from_value(expected.clone()).expect("a valid summary");
    assert_eq!(serde_json::to_value(parsed).expect("the summary can be serialized"), expected);
}

#[test]
fn a_report_has_a_fixed_text() {
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
