//! Checks each rule with records that break it, which must be reported, and with valid records, which must pass.

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

fn succeeded(command: &str) -> AnsweredCommand {
    AnsweredCommand { command: command.into(), answer: String::new() }
}

fn update(command: &str) -> TrafficEvent {
    TrafficEvent::UpdateAnswered { proxy: "r".into(), commands: vec![succeeded(command)] }
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

/// Returns the start of a record: a proxy with e1 and e2 in its default table, attached from 1 s.
fn initial_records() -> Vec<TrafficRecord> {
    vec![
        at(0.0, list_published(&[("e1", "ready"), ("e2", "ready")])),
        at(0.0, TrafficEvent::ProxyStarted { proxy: "r".into(), endpoints: vec!["e1".into(), "e2".into()] }),
        at(1.0, control_stream(true)),
    ]
}

/// Returns the names of the rules that are broken by the initial records followed by these.
fn broken_rules(more: &[TrafficRecord]) -> Vec<&'static str> {
    let records: Vec<TrafficRecord> = initial_records().into_iter().chain(more.iter().cloned()).collect();
    let checks = check_rules(&records, &limits());
    let failed: BTreeMap<&str, CheckResult> =
        checks.into_iter().filter(|check| !check.passed()).map(|check| (check.rule, check)).collect();
    assert!(failed.values().all(|check| !check.location.is_empty()), "each broken rule has a location");
    failed.into_keys().collect()
}

#[test]
fn a_valid_record_breaks_no_rule() {
    let records = [
        at(2.0, request_arrived("e1", 1, 0.1)),
        at(2.0, request_executed("e1", 1)),
        at(3.0, update_received(1)),
        at(3.0, update("set server standing/e1 state maint")),
        at(3.0, list_published(&[("e1", "draining"), ("e2", "ready")])),
        at(4.9, request_arrived("e1", 2, 0.1)),
        at(9.0, request_executed("e2", 2)),
    ];
    assert_eq!(broken_rules(&records), Vec::<&str>::new());
}

#[test]
fn a_class_without_an_endpoint_beyond_the_limit_is_reported() {
    let disable = |endpoint: &str| update(&format!("set server standing/{endpoint} state maint"));
    let enable = update("set server standing/e1 state ready");
    assert_eq!(
        broken_rules(&[at(3.0, disable("e1")), at(3.0, disable("e2")), at(5.5, enable.clone())]),
        ["endpoint for all"]
    );
    assert_eq!(
        broken_rules(&[at(3.0, disable("e1")), at(3.0, disable("e2")), at(4.5, enable)]),
        Vec::<&str>::new()
    );
    // Also reported, though no update ends it: a weight of 0, at the next list update, and a class with an empty table,
    // at the end of the record.
    let zero_weight = update("set server standing/e1 weight 0");
    assert_eq!(
        broken_rules(&[
            at(3.0, zero_weight),
            at(3.0, disable("e2")),
            at(5.5, list_published(&[("e1", "ready")]))
        ]),
        ["endpoint for all"]
    );
    let assign = update("set map classes look t7");
    assert_eq!(broken_rules(&[at(3.0, assign), at(5.5, request_executed("e1", 1))]), ["endpoint for all"]);
}

#[test]
fn no_endpoint_is_required_if_none_is_ready_or_the_proxy_is_detached() {
    let assign = update("set map classes look t7");
    let none_ready = list_published(&[("e1", "gone"), ("e2", "draining")]);
    assert_eq!(
        broken_rules(&[at(2.9, none_ready), at(3.0, assign.clone()), at(9.0, request_executed("e1", 1))]),
        Vec::<&str>::new()
    );
    assert_eq!(
        broken_rules(&[at(2.9, control_stream(false)), at(3.0, assign), at(9.0, request_executed("e1", 1))]),
        Vec::<&str>::new()
    );
}

#[test]
fn a_request_with_effects_executed_twice_is_reported() {
    assert_eq!(
        broken_rules(&[at(2.0, request_executed("e1", 7)), at(3.0, request_executed("e2", 7))]),
        ["no effect twice"]
    );
}

#[test]
fn a_request_to_a_draining_endpoint_after_the_grace_period_is_reported() {
    let draining = list_published(&[("e1", "draining"), ("e2", "ready")]);
    let removed = list_published(&[("e2", "ready")]);
    assert_eq!(
        broken_rules(&[at(3.0, draining.clone()), at(5.2, request_arrived("e1", 1, 0.0))]),
        ["drains kept"]
    );
    assert_eq!(broken_rules(&[at(3.0, removed), at(5.2, request_arrived("e1", 1, 0.0))]), ["drains kept"]);
    // The grace period begins with the attachment if that is later.
    let attached_later = [
        at(2.0, control_stream(false)),
        at(3.0, draining.clone()),
        at(5.0, control_stream(true)),
        at(6.9, request_arrived("e1", 1, 0.0)),
    ];
    assert_eq!(broken_rules(&attached_later), Vec::<&str>::new());
    // The endpoint may get requests again after the drain has ended.
    let drain_ended = [
        at(3.0, draining),
        at(4.0, initial_records()[0].event.clone()),
        at(9.0, request_arrived("e1", 1, 0.0)),
    ];
    assert_eq!(broken_rules(&drain_ended), Vec::<&str>::new());
}

#[test]
fn an_overloaded_warming_endpoint_is_reported() {
    let started = TrafficEvent::EndpointStarted { endpoint: "e1".into(), capacity: 1.0 };
    // Half of the capacity 1.0 times the overload factor 2.0 allows 1 s of work within the window of 1 s.
    let overload = [
        at(2.0, started.clone()),
        at(2.1, request_arrived("e1", 1, 0.6)),
        at(2.5, request_arrived("e1", 2, 0.6)),
    ];
    assert_eq!(broken_rules(&overload), ["no cold pushed over"]);
    let spread_out = [
        at(2.0, started.clone()),
        at(2.1, request_arrived("e1", 1, 0.6)),
        at(3.5, request_arrived("e1", 2, 0.6)),
    ];
    assert_eq!(broken_rules(&spread_out), Vec::<&str>::new());
    assert_eq!(
        broken_rules(&[
            at(2.0, started),
            at(2.1, TrafficEvent::EndpointOverloaded { endpoint: "e1".into() })
        ]),
        ["no cold pushed over"]
    );
}

#[test]
fn too_many_unanswered_commands_or_messages_are_reported() {
    assert_eq!(broken_rules(&[at(2.0, update_received(11))]), ["short queue"]);
    let answered: Vec<TrafficRecord> = (0..8).map(|_| at(2.1, update("set var proc.x int(1)"))).collect();
    let within_limits: Vec<TrafficRecord> =
        [vec![at(2.0, update_received(8))], answered, vec![at(2.2, update_received(8))]].concat();
    assert_eq!(broken_rules(&within_limits), Vec::<&str>::new());
    let many_messages: Vec<TrafficRecord> =
        (0..4).map(|n| at(2.0 + f64::from(n), update_received(1))).collect();
    assert_eq!(broken_rules(&many_messages), ["few messages"]);
}

#[test]
fn a_choice_outside_the_table_is_reported() {
    let disable = update("set server standing/e1 state maint");
    let choice = |endpoint: &str, table: &str| TrafficEvent::RequestArrived {
        endpoint: endpoint.into(),
        proxy: "r".into(),
        request: 1,
        class: "look".into(),
        work: 0.0,
        table: table.into(),
    };
    assert_eq!(
        broken_rules(&[at(3.0, disable.clone()), at(3.1, choice("e2", "standing@1"))]),
        Vec::<&str>::new()
    );
    // A choice by the previous table version is allowed, regardless of when the request arrives.
    assert_eq!(
        broken_rules(&[at(3.0, disable.clone()), at(3.1, choice("e1", "standing@0"))]),
        Vec::<&str>::new()
    );
    for invalid_choice in [
        choice("e1", "standing@1"),
        choice("e3", "standing@0"),
        choice("e2", "standing@7"),
        choice("e2", "t0@1"),
        choice("e2", ""),
    ] {
        assert_eq!(broken_rules(&[at(3.0, disable.clone()), at(3.1, invalid_choice)]), ["choices by table"]);
    }
}

/// Guards against counting valid choices as violations after an update with a rejected command: a proxy executes none
/// of its commands.
#[test]
fn an_update_with_a_rejected_command_changes_nothing() {
    let rejected = |command: &str| AnsweredCommand {
        command: command.into(),
        answer: "Not done, as an order of its set was refused: No such server.".into(),
    };
    let commands =
        vec![rejected("set server standing/e1 state maint"), rejected("set server standing/e9 state maint")];
    let records = [
        at(3.0, TrafficEvent::UpdateAnswered { proxy: "r".into(), commands }),
        at(3.1, request_arrived("e1", 1, 0.0)),
    ];
    assert_eq!(broken_rules(&records), Vec::<&str>::new());
}

#[test]
fn a_retry_after_an_execution_is_reported() {
    let records = [
        at(2.0, request_arrived("e1", 7, 0.0)),
        at(2.0, request_executed("e1", 7)),
        at(3.0, request_arrived("e2", 7, 0.0)),
    ];
    assert_eq!(broken_rules(&records), ["second tries"]);
    let not_executed_first = [
        at(2.0, request_arrived("e1", 7, 0.0)),
        at(3.0, request_arrived("e2", 7, 0.0)),
        at(3.0, request_executed("e2", 7)),
    ];
    assert_eq!(broken_rules(&not_executed_first), Vec::<&str>::new());
}

#[test]
fn an_entry_that_gets_more_than_its_fraction_is_reported() {
    let records = |to_e1_of_ten: u64| -> Vec<TrafficRecord> {
        let requests = (0..200).flat_map(|request| {
            let endpoint = if request % 10 < to_e1_of_ten { "e1" } else { "e2" };
            [at(2.0, request_arrived(endpoint, request, 0.0)), at(2.0, request_executed(endpoint, request))]
        });
        requests.collect()
    };
    assert_eq!(broken_rules(&records(5)), Vec::<&str>::new());
    assert_eq!(broken_rules(&records(6)), ["shares by weight"]);
    // After a failed attempt a proxy may eject the endpoint for a time.
    let after_failure = [vec![at(1.9, request_arrived("e2", 999, 0.0))], records(8)].concat();
    assert_eq!(broken_rules(&after_failure), Vec::<&str>::new());
}

/// Guards against counting valid choices of a restarted proxy as violations: it counts versions from 0 again, so that
/// the states of its tables must be recorded again, even if they equal those before the restart.
#[test]
fn a_restart_resets_the_versions() {
    let update = |commands: &[&str]| TrafficEvent::UpdateAnswered {
        proxy: "r".into(),
        commands: commands.iter().map(|command| succeeded(command)).collect(),
    };
    let choice = |table: &str| TrafficEvent::RequestArrived {
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
    let restart = TrafficEvent::ProxyStarted { proxy: "r".into(), endpoints: vec!["e1".into(), "e2".into()] };
    let records =
        [at(2.0, assign.clone()), at(3.0, restart), at(3.5, epoch), at(4.0, assign), at(4.1, choice("t0@2"))];
    assert_eq!(broken_rules(&records), Vec::<&str>::new());
}
