//! For each rule a record that breaks it: the checker must find it, and let the sound one pass.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_scenario::{CheckResult, Limits, judge};
use lockcroft_testbed::{TrafficEvent, TrafficRecord};

fn limits() -> Limits {
    Limits {
        classes: vec!["look".into()],
        once: vec!["look".into()],
        unserved_most: Duration::from_secs(2),
        drain_grace: Duration::from_secs(2),
        only_draining_binds: false,
        cold_share: 0.5,
        warm_within: Duration::from_secs(10),
        cold_multiple: 2.0,
        cold_span: Duration::from_secs(1),
        queue_most: 10.0,
        messages_most: 3.0,
        messages_span: Duration::from_secs(10),
        even: true,
    }
}

fn at(seconds: f64, what: TrafficEvent) -> TrafficRecord {
    TrafficRecord { at: Duration::from_secs_f64(seconds), what }
}

fn listed(states: &[(&str, &str)]) -> TrafficEvent {
    let servers = states.iter().map(|(name, state)| ((*name).into(), (*state).into(), None)).collect();
    TrafficEvent::Listed { servers }
}

fn order(command: &str) -> TrafficEvent {
    TrafficEvent::Set { relay: "r".into(), orders: vec![(command.into(), String::new())] }
}

fn arrived(endpoint: &str, visit: u64, work: f64) -> TrafficEvent {
    TrafficEvent::Arrived {
        endpoint: endpoint.into(),
        relay: "r".into(),
        visit,
        class: "look".into(),
        work,
        table: "standing@0".into(),
    }
}

fn ran(endpoint: &str, visit: u64) -> TrafficEvent {
    TrafficEvent::Ran { endpoint: endpoint.into(), visit, class: "look".into() }
}

fn stream(open: bool) -> TrafficEvent {
    TrafficEvent::Stream { relay: "r".into(), open }
}

fn line(commands: usize) -> TrafficEvent {
    TrafficEvent::Line { relay: "r".into(), commands }
}

/// A relay that holds e1 and e2 and follows a pilot from 1 s on.
fn opening() -> Vec<TrafficRecord> {
    vec![
        at(0.0, listed(&[("e1", "ready"), ("e2", "ready")])),
        at(0.0, TrafficEvent::Standing { relay: "r".into(), servers: vec!["e1".into(), "e2".into()] }),
        at(1.0, stream(true)),
    ]
}

/// What is broken, after the opening and these.
fn broken(more: &[TrafficRecord]) -> Vec<&'static str> {
    let records: Vec<TrafficRecord> = opening().into_iter().chain(more.iter().cloned()).collect();
    let verdicts = judge(&records, &limits());
    let broken: BTreeMap<&str, CheckResult> =
        verdicts.into_iter().filter(|verdict| !verdict.kept()).map(|v| (v.rule, v)).collect();
    assert!(broken.values().all(|verdict| !verdict.at.is_empty()), "it says where");
    broken.into_keys().collect()
}

#[test]
fn a_sound_day_breaks_nothing() {
    let day = [
        at(2.0, arrived("e1", 1, 0.1)),
        at(2.0, ran("e1", 1)),
        at(3.0, line(1)),
        at(3.0, order("set server standing/e1 state maint")),
        at(3.0, listed(&[("e1", "draining"), ("e2", "ready")])),
        at(4.9, arrived("e1", 2, 0.1)),
        at(9.0, ran("e2", 2)),
    ];
    assert_eq!(broken(&day), Vec::<&str>::new());
}

#[test]
fn a_relay_without_a_line_is_found() {
    let off = |server: &str| order(&format!("set server standing/{server} state maint"));
    let on = order("set server standing/e1 state ready");
    assert_eq!(broken(&[at(3.0, off("e1")), at(3.0, off("e2")), at(5.5, on.clone())]), ["endpoint for all"]);
    assert_eq!(broken(&[at(3.0, off("e1")), at(3.0, off("e2")), at(4.5, on)]), Vec::<&str>::new());
    // To the end of the day; a weight of 0, or a class sent to an empty backend, is no line either.
    let none = order("set server standing/e1 weight 0");
    assert_eq!(
        broken(&[at(3.0, none), at(3.0, off("e2")), at(5.5, listed(&[("e1", "ready")]))]),
        ["endpoint for all"]
    );
    let bind = order("set map classes look t7");
    assert_eq!(broken(&[at(3.0, bind), at(5.5, ran("e1", 1))]), ["endpoint for all"]);
}

#[test]
fn no_line_is_owed_where_no_server_is_open_or_nobody_follows() {
    let bind = order("set map classes look t7");
    let gone = listed(&[("e1", "gone"), ("e2", "draining")]);
    assert_eq!(broken(&[at(2.9, gone), at(3.0, bind.clone()), at(9.0, ran("e1", 1))]), Vec::<&str>::new());
    assert_eq!(broken(&[at(2.9, stream(false)), at(3.0, bind), at(9.0, ran("e1", 1))]), Vec::<&str>::new());
}

#[test]
fn an_effect_that_happens_twice_is_found() {
    assert_eq!(broken(&[at(2.0, ran("e1", 7)), at(3.0, ran("e2", 7))]), ["no effect twice"]);
}

#[test]
fn a_visit_to_a_drained_server_is_found() {
    let drains = listed(&[("e1", "draining"), ("e2", "ready")]);
    let removed = listed(&[("e2", "ready")]);
    assert_eq!(broken(&[at(3.0, drains.clone()), at(5.2, arrived("e1", 1, 0.0))]), ["drains kept"]);
    assert_eq!(broken(&[at(3.0, removed), at(5.2, arrived("e1", 1, 0.0))]), ["drains kept"]);
    // The time runs from the joining where that is later, and ends with the drain.
    let again = [
        at(2.0, stream(false)),
        at(3.0, drains.clone()),
        at(5.0, stream(true)),
        at(6.9, arrived("e1", 1, 0.0)),
    ];
    assert_eq!(broken(&again), Vec::<&str>::new());
    let over = [at(3.0, drains), at(4.0, opening()[0].what.clone()), at(9.0, arrived("e1", 1, 0.0))];
    assert_eq!(broken(&over), Vec::<&str>::new());
}

#[test]
fn a_cold_server_that_is_sent_too_much_is_found() {
    let started = TrafficEvent::Started { endpoint: "e1".into(), capacity: 1.0 };
    // At half its capacity and twice that, one second holds one second of work.
    let heavy = [at(2.0, started.clone()), at(2.1, arrived("e1", 1, 0.6)), at(2.5, arrived("e1", 2, 0.6))];
    assert_eq!(broken(&heavy), ["no cold pushed over"]);
    let spread = [at(2.0, started.clone()), at(2.1, arrived("e1", 1, 0.6)), at(3.5, arrived("e1", 2, 0.6))];
    assert_eq!(broken(&spread), Vec::<&str>::new());
    assert_eq!(
        broken(&[at(2.0, started), at(2.1, TrafficEvent::Fell { endpoint: "e1".into() })]),
        ["no cold pushed over"]
    );
}

#[test]
fn too_many_lines_or_messages_are_found() {
    assert_eq!(broken(&[at(2.0, line(11))]), ["short queue"]);
    let done: Vec<TrafficRecord> = (0..8).map(|_| at(2.1, order("set var proc.x int(1)"))).collect();
    let fits: Vec<TrafficRecord> = [vec![at(2.0, line(8))], done, vec![at(2.2, line(8))]].concat();
    assert_eq!(broken(&fits), Vec::<&str>::new());
    let many: Vec<TrafficRecord> = (0..4).map(|n| at(2.0 + f64::from(n), line(1))).collect();
    assert_eq!(broken(&many), ["few messages"]);
}

#[test]
fn a_choice_outside_the_table_is_found() {
    let off = order("set server standing/e1 state maint");
    let by = |endpoint: &str, table: &str| TrafficEvent::Arrived {
        endpoint: endpoint.into(),
        relay: "r".into(),
        visit: 1,
        class: "look".into(),
        work: 0.0,
        table: table.into(),
    };
    assert_eq!(broken(&[at(3.0, off.clone()), at(3.1, by("e2", "standing@1"))]), Vec::<&str>::new());
    // By the table of before it was allowed, whenever the visit arrives.
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

/// A set of which one order was refused changes nothing, for the checker as for the proxy.
#[test]
fn half_a_set_is_none() {
    let refused = |command: &str| {
        (command.to_string(), "Not done, as an order of its set was refused: No such server.".to_string())
    };
    let orders =
        vec![refused("set server standing/e1 state maint"), refused("set server standing/e9 state maint")];
    let set = [at(3.0, TrafficEvent::Set { relay: "r".into(), orders }), at(3.1, arrived("e1", 1, 0.0))];
    assert_eq!(broken(&set), Vec::<&str>::new());
}

#[test]
fn a_second_try_after_one_that_ran_is_found() {
    let day = [at(2.0, arrived("e1", 7, 0.0)), at(2.0, ran("e1", 7)), at(3.0, arrived("e2", 7, 0.0))];
    assert_eq!(broken(&day), ["second tries"]);
    let proof = [at(2.0, arrived("e1", 7, 0.0)), at(3.0, arrived("e2", 7, 0.0)), at(3.0, ran("e2", 7))];
    assert_eq!(broken(&proof), Vec::<&str>::new());
}

#[test]
fn a_line_that_gets_more_than_its_share_is_found() {
    let day = |of_ten: u64| -> Vec<TrafficRecord> {
        let visits = (0..200).flat_map(|visit| {
            let to = if visit % 10 < of_ten { "e1" } else { "e2" };
            [at(2.0, arrived(to, visit, 0.0)), at(2.0, ran(to, visit))]
        });
        visits.collect()
    };
    assert_eq!(broken(&day(5)), Vec::<&str>::new());
    assert_eq!(broken(&day(6)), ["shares by weight"]);
    // After a failure a proxy may shun for a time.
    let failed = [vec![at(1.9, arrived("e2", 999, 0.0))], day(8)].concat();
    assert_eq!(broken(&failed), Vec::<&str>::new());
}

/// A proxy that starts anew counts anew, also where it is bound to the very lines of before.
#[test]
fn a_restart_begins_the_versions_anew() {
    let set = |orders: &[&str]| TrafficEvent::Set {
        relay: "r".into(),
        orders: orders.iter().map(|order| ((*order).into(), String::new())).collect(),
    };
    let by = |table: &str| TrafficEvent::Arrived {
        endpoint: "e1".into(),
        relay: "r".into(),
        visit: 1,
        class: "look".into(),
        work: 0.0,
        table: table.into(),
    };
    let bind = set(&[
        "add server t0/e1 127.0.0.1:1 weight 9",
        "set server t0/e1 state ready",
        "set map classes look t0",
    ]);
    let epoch = set(&["set var proc.epoch int(4)"]);
    let again = TrafficEvent::Standing { relay: "r".into(), servers: vec!["e1".into(), "e2".into()] };
    let day = [at(2.0, bind.clone()), at(3.0, again), at(3.5, epoch), at(4.0, bind), at(4.1, by("t0@2"))];
    assert_eq!(broken(&day), Vec::<&str>::new());
}
