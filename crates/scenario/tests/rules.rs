//! For each rule a record that breaks it: the checker must find it, and let the sound one pass.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_scenario::{CheckResult, Limits, check_rules};
use lockcroft_testbed::{AnsweredCommand, ListedEndpoint, SlowStart, TrafficEvent, TrafficRecord};

fn limits() -> Limits {
    Limits {
        classes: vec!["look".into()],
        execute_once: vec!["look".into()],
        max_time_without_endpoints: Duration::from_secs(2),
        drain_grace: Duration::from_secs(2),
        ignore_removals: false,
        slow_start: SlowStart {
            initial_fraction: 0.5,
            window: Duration::from_secs(10),
            overload_factor: 2.0,
            overload_window: Duration::from_secs(1),
        },
        max_queued_entries: 10.0,
        max_messages: 3.0,
        message_window: Duration::from_secs(10),
        even_balancing: true,
    }
}

fn at(seconds: f64, event: TrafficEvent) -> TrafficRecord {
    TrafficRecord { at: Duration::from_secs_f64(seconds), event }
}

fn list_published(states: &[(&str, &str)]) -> TrafficEvent {
    let listed = |(name, state): &(&str, &str)| ListedEndpoint {
        name: (*name).into(),
        state: (*state).into(),
        started: None,
    };
    TrafficEvent::ListPublished { endpoints: states.iter().map(listed).collect() }
}

fn done(command: &str) -> AnsweredCommand {
    AnsweredCommand { command: command.into(), answer: String::new() }
}

fn update(command: &str) -> TrafficEvent {
    TrafficEvent::UpdateAnswered { proxy: "r".into(), commands: vec![done(command)] }
}

fn request_arrived(endpoint: &str, request: u64, work: f64) -> TrafficEvent {
    TrafficEvent::RequestArrived {
        endpoint: endpoint.into(),
        proxy: "r".into(),
        request,
        class: "look".into(),
        work,
        table: "standing@0".into(),
    }
}

fn request_executed(endpoint: &str, request: u64) -> TrafficEvent {
    TrafficEvent::RequestExecuted { endpoint: endpoint.into(), request, class: "look".into() }
}

fn control_stream(open: bool) -> TrafficEvent {
    TrafficEvent::ControlStream { proxy: "r".into(), open }
}

fn update_received(commands: usize) -> TrafficEvent {
    TrafficEvent::UpdateReceived { proxy: "r".into(), commands }
}

/// A proxy that has e1 and e2 and is attached from 1 s on.
fn opening() -> Vec<TrafficRecord> {
    vec![
        at(0.0, list_published(&[("e1", "ready"), ("e2", "ready")])),
        at(0.0, TrafficEvent::ProxyStarted { proxy: "r".into(), endpoints: vec!["e1".into(), "e2".into()] }),
        at(1.0, control_stream(true)),
    ]
}

/// What is broken, after the opening and these records.
fn broken(more: &[TrafficRecord]) -> Vec<&'static str> {
    let records: Vec<TrafficRecord> = opening().into_iter().chain(more.iter().cloned()).collect();
    let checks = check_rules(&records, &limits());
    let broken: BTreeMap<&str, CheckResult> =
        checks.into_iter().filter(|check| !check.passed()).map(|v| (v.rule, v)).collect();
    assert!(broken.values().all(|check| !check.location.is_empty()), "it says where");
    broken.into_keys().collect()
}

#[test]
fn a_sound_record_breaks_nothing() {
    let records = [
        at(2.0, request_arrived("e1", 1, 0.1)),
        at(2.0, request_executed("e1", 1)),
        at(3.0, update_received(1)),
        at(3.0, update("set server standing/e1 state maint")),
        at(3.0, list_published(&[("e1", "draining"), ("e2", "ready")])),
        at(4.9, request_arrived("e1", 2, 0.1)),
        at(9.0, request_executed("e2", 2)),
    ];
    assert_eq!(broken(&records), Vec::<&str>::new());
}

#[test]
fn a_proxy_without_an_endpoint_is_found() {
    let off = |server: &str| update(&format!("set server standing/{server} state maint"));
    let stalled = update("set server standing/e1 state ready");
    assert_eq!(
        broken(&[at(3.0, off("e1")), at(3.0, off("e2")), at(5.5, stalled.clone())]),
        ["endpoint for all"]
    );
    assert_eq!(broken(&[at(3.0, off("e1")), at(3.0, off("e2")), at(4.5, stalled)]), Vec::<&str>::new());
    // To the end of the record; a weight of 0, or a class assigned to an empty table, is no endpoint either.
    let none = update("set server standing/e1 weight 0");
    assert_eq!(
        broken(&[at(3.0, none), at(3.0, off("e2")), at(5.5, list_published(&[("e1", "ready")]))]),
        ["endpoint for all"]
    );
    let assign = update("set map classes look t7");
    assert_eq!(broken(&[at(3.0, assign), at(5.5, request_executed("e1", 1))]), ["endpoint for all"]);
}

#[test]
fn no_endpoint_is_required_where_none_is_ready_or_the_proxy_is_detached() {
    let assign = update("set map classes look t7");
    let gone = list_published(&[("e1", "gone"), ("e2", "draining")]);
    assert_eq!(
        broken(&[at(2.9, gone), at(3.0, assign.clone()), at(9.0, request_executed("e1", 1))]),
        Vec::<&str>::new()
    );
    assert_eq!(
        broken(&[at(2.9, control_stream(false)), at(3.0, assign), at(9.0, request_executed("e1", 1))]),
        Vec::<&str>::new()
    );
}

#[test]
fn an_effect_that_happens_twice_is_found() {
    assert_eq!(
        broken(&[at(2.0, request_executed("e1", 7)), at(3.0, request_executed("e2", 7))]),
        ["no effect twice"]
    );
}

#[test]
fn a_request_to_a_drained_endpoint_is_found() {
    let draining = list_published(&[("e1", "draining"), ("e2", "ready")]);
    let removed = list_published(&[("e2", "ready")]);
    assert_eq!(broken(&[at(3.0, draining.clone()), at(5.2, request_arrived("e1", 1, 0.0))]), ["drains kept"]);
    assert_eq!(broken(&[at(3.0, removed), at(5.2, request_arrived("e1", 1, 0.0))]), ["drains kept"]);
    // The time runs from the attachment where that is later, and ends with the drain.
    let again = [
        at(2.0, control_stream(false)),
        at(3.0, draining.clone()),
        at(5.0, control_stream(true)),
        at(6.9, request_arrived("e1", 1, 0.0)),
    ];
    assert_eq!(broken(&again), Vec::<&str>::new());
    let over =
        [at(3.0, draining), at(4.0, opening()[0].event.clone()), at(9.0, request_arrived("e1", 1, 0.0))];
    assert_eq!(broken(&over), Vec::<&str>::new());
}

#[test]
fn an_overloaded_warming_endpoint_is_found() {
    let started = TrafficEvent::EndpointStarted { endpoint: "e1".into(), capacity: 1.0 };
    // At half its capacity and twice that, one second holds one second of work.
    let heavy = [
        at(2.0, started.clone()),
        at(2.1, request_arrived("e1", 1, 0.6)),
        at(2.5, request_arrived("e1", 2, 0.6)),
    ];
    assert_eq!(broken(&heavy), ["no cold pushed over"]);
    let spread = [
        at(2.0, started.clone()),
        at(2.1, request_arrived("e1", 1, 0.6)),
        at(3.5, request_arrived("e1", 2, 0.6)),
    ];
    assert_eq!(broken(&spread), Vec::<&str>::new());
    assert_eq!(
        broken(&[at(2.0, started), at(2.1, TrafficEvent::EndpointOverloaded { endpoint: "e1".into() })]),
        ["no cold pushed over"]
    );
}

#[test]
fn too_many_queued_commands_or_messages_are_found() {
    assert_eq!(broken(&[at(2.0, update_received(11))]), ["short queue"]);
    let done: Vec<TrafficRecord> = (0..8).map(|_| at(2.1, update("set var proc.x int(1)"))).collect();
    let fits: Vec<TrafficRecord> =
        [vec![at(2.0, update_received(8))], done, vec![at(2.2, update_received(8))]].concat();
    assert_eq!(broken(&fits), Vec::<&str>::new());
    let many: Vec<TrafficRecord> = (0..4).map(|n| at(2.0 + f64::from(n), update_received(1))).collect();
    assert_eq!(broken(&many), ["few messages"]);
}

#[test]
fn a_choice_outside_the_table_is_found() {
    let off = update("set server standing/e1 state maint");
    let by = |endpoint: &str, table: &str| TrafficEvent::RequestArrived {
        endpoint: endpoint.into(),
        proxy: "r".into(),
        request: 1,
        class: "look".into(),
        work: 0.0,
        table: table.into(),
    };
    assert_eq!(broken(&[at(3.0, off.clone()), at(3.1, by("e2", "standing@1"))]), Vec::<&str>::new());
    // By the previous table it was allowed, whenever the request arrives.
    assert_eq!(broken(&[at(3.0, off.clone()), at(3.1, by("e1", "standing@0"))]), Vec::<&str>::new());
    for planted in [
        by("e1", "standing@1"),
        by("e3", "standing@0"),
        by("e2", "standing@7"),
        by("e2", "t0@1"),
        by("e2", ""),
    ] {
        assert_eq!(broken(&[at(3.0, off.clone()), at(3.1, planted)]), ["choices by table"]);
    }
}

/// An update of which one command was refused changes nothing, for the checker as for the proxy.
#[test]
fn a_partly_refused_update_changes_nothing() {
    let refused = |command: &str| AnsweredCommand {
        command: command.into(),
        answer: "Not done, as an order of its set was refused: No such server.".into(),
    };
    let commands =
        vec![refused("set server standing/e1 state maint"), refused("set server standing/e9 state maint")];
    let records = [
        at(3.0, TrafficEvent::UpdateAnswered { proxy: "r".into(), commands }),
        at(3.1, request_arrived("e1", 1, 0.0)),
    ];
    assert_eq!(broken(&records), Vec::<&str>::new());
}

#[test]
fn a_retry_after_an_execution_is_found() {
    let records = [
        at(2.0, request_arrived("e1", 7, 0.0)),
        at(2.0, request_executed("e1", 7)),
        at(3.0, request_arrived("e2", 7, 0.0)),
    ];
    assert_eq!(broken(&records), ["second tries"]);
    let not_executed_first = [
        at(2.0, request_arrived("e1", 7, 0.0)),
        at(3.0, request_arrived("e2", 7, 0.0)),
        at(3.0, request_executed("e2", 7)),
    ];
    assert_eq!(broken(&not_executed_first), Vec::<&str>::new());
}

#[test]
fn an_entry_that_gets_more_than_its_fraction_is_found() {
    let records = |of_ten: u64| -> Vec<TrafficRecord> {
        let requests = (0..200).flat_map(|request| {
            let to = if request % 10 < of_ten { "e1" } else { "e2" };
            [at(2.0, request_arrived(to, request, 0.0)), at(2.0, request_executed(to, request))]
        });
        requests.collect()
    };
    assert_eq!(broken(&records(5)), Vec::<&str>::new());
    assert_eq!(broken(&records(6)), ["shares by weight"]);
    // After a failure a proxy may eject an endpoint for a time.
    let failed = [vec![at(1.9, request_arrived("e2", 999, 0.0))], records(8)].concat();
    assert_eq!(broken(&failed), Vec::<&str>::new());
}

/// A proxy that restarts counts versions anew, also where it is assigned the same entries as before.
#[test]
fn a_restart_resets_the_versions() {
    let update = |commands: &[&str]| TrafficEvent::UpdateAnswered {
        proxy: "r".into(),
        commands: commands.iter().map(|command| done(command)).collect(),
    };
    let by = |table: &str| TrafficEvent::RequestArrived {
        endpoint: "e1".into(),
        proxy: "r".into(),
        request: 1,
        class: "look".into(),
        work: 0.0,
        table: table.into(),
    };
    let assign = update(&[
        "add server t0/e1 127.0.0.1:1 weight 9",
        "set server t0/e1 state ready",
        "set map classes look t0",
    ]);
    let epoch = update(&["set var proc.epoch int(4)"]);
    let again = TrafficEvent::ProxyStarted { proxy: "r".into(), endpoints: vec!["e1".into(), "e2".into()] };
    let records =
        [at(2.0, assign.clone()), at(3.0, again), at(3.5, epoch), at(4.0, assign), at(4.1, by("t0@2"))];
    assert_eq!(broken(&records), Vec::<&str>::new());
}
