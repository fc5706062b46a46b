//! The answers of the proxy's runtime API, and the effect of its commands on routing.

use std::time::Duration;

use expect_test::expect;
use lockcroft_proxy::{
    AttemptOutcome, Choice, LoadBalancingLimits, LoadBalancingPolicy, MAX_MAP_ENTRIES, MAX_PREPARED_MAPS,
    MAX_SERVERS, MAX_VARIABLES, RoutingState,
};
use lockcroft_runtime_api::{AccessLevel, Session, parse_line};

fn new_state() -> RoutingState {
    let default_table =
        ["e1", "e2"].map(|name| (name.to_string(), "127.0.0.1:81".parse().expect("an address")));
    let ejection_time = Duration::from_secs(4);
    let limits = LoadBalancingLimits {
        policy: LoadBalancingPolicy::SmoothWeightedRoundRobin,
        max_in_flight: 2,
        ejection_threshold: 3,
        ejection_time,
    };
    RoutingState::new("r1", &["look-up".to_string()], &default_table, limits, 1)
}

fn execute(state: &mut RoutingState, line: &str) -> String {
    let (mut session, mut out) = (Session::new(AccessLevel::Admin), String::new());
    session.execute_line(&parse_line(line), state, &mut out);
    out
}

#[test]
fn answers_match_those_of_haproxy() {
    let mut state = new_state();
    let mut transcript = String::new();
    for line in [
        "add server t0/e1 127.0.0.1:82 weight 128",
        "add server t0/e1 127.0.0.1:82",
        "add server t9999/e1 127.0.0.1:82",
        "add server t0/e2 nowhere",
        "add server t0/e2 127.0.0.1:82 backup",
        "get weight t0/e1",
        "set server t0/e1 weight 50%",
        "set server t0/e1 weight 257",
        "get weight t0/e1",
        "set server t0/e1 addr 127.0.0.2 port 83",
        "set server t0/e1 addr 127.0.0.2",
        "set server t0/e1 state asleep",
        "enable server t0/e1",
        "del server t0/e1",
        "disable server t0/e1",
        "del server t0/e1",
        "del server t0/e1",
        "set map classes look-up t0",
        "set map classes nothing t0",
        "show map classes",
        "set var proc.level_look_up int(500)",
        "set var sess.x int(1)",
        "get var proc.level_look_up",
        "set map",
        "clear map other",
    ] {
        let answer = execute(&mut state, line);
        transcript += &format!("{line}\n    {}\n", if answer == "\n" { "-" } else { answer.trim() });
    }
    expect![[r#"
        add server t0/e1 127.0.0.1:82 weight 128
            New server registered.
        add server t0/e1 127.0.0.1:82
            Already exists a server with the same name in backend.
        add server t9999/e1 127.0.0.1:82
            No such backend.
        add server t0/e2 nowhere
            Invalid address.
        add server t0/e2 127.0.0.1:82 backup
            Keyword 'backup' is not known for a server added here.
        get weight t0/e1
            128 (initial 128)
        set server t0/e1 weight 50%
            -
        set server t0/e1 weight 257
            Absolute weight can only be between 0 and 256 inclusive.
        get weight t0/e1
            64 (initial 128)
        set server t0/e1 addr 127.0.0.2 port 83
            address changed from '127.0.0.1:82' to '127.0.0.2:83' by 'stats socket command'
        set server t0/e1 addr 127.0.0.2
            nothing changed
        set server t0/e1 state asleep
            'set server <srv> state' expects 'ready', 'drain' and 'maint'.
        enable server t0/e1
            -
        del server t0/e1
            Only servers in maintenance mode can be deleted.
        disable server t0/e1
            -
        del server t0/e1
            Server deleted.
        del server t0/e1
            No such server.
        set map classes look-up t0
            -
        set map classes nothing t0
            Entry not found.
        show map classes
            0x0 look-up t0
        set var proc.level_look_up int(500)
            -
        set var sess.x int(1)
            Only variables of the scope 'proc' can be set here.
        get var proc.level_look_up
            proc.level_look_up: type=sint value=<500>
        set map
            Missing map identifier.
        clear map other
            Unknown map identifier. Please use #<id> or <file>.
    "#]]
    .assert_eq(&transcript);
}

#[test]
fn a_prepared_map_takes_effect_as_a_whole_or_not_at_all() {
    let mut state = new_state();
    assert_eq!(execute(&mut state, "prepare map classes"), "New version created: 1\n\n");
    assert_eq!(execute(&mut state, "prepare map classes"), "New version created: 2\n\n");
    execute(&mut state, "add map @2 classes look-up t1");
    assert_eq!(state.class_map["look-up"], "standing");
    assert_eq!(execute(&mut state, "commit map @2 classes"), "\n");
    assert_eq!(state.class_map["look-up"], "t1");
    // Committing the older version afterwards is refused and changes nothing.
    assert_eq!(execute(&mut state, "commit map @1 classes"), "Version number out of range.\n\n");
    assert_eq!(state.class_map["look-up"], "t1");
}

#[test]
fn drained_and_ejected_endpoints_are_not_chosen() {
    let (mut state, now) = (new_state(), Duration::from_secs(1));
    execute(&mut state, "set server standing/e1 state drain");
    let Choice::Endpoint(chosen) = state.choose(now, "look-up", None) else { panic!("expected an endpoint") };
    assert_eq!(chosen.endpoint, "e2");
    assert_eq!(state.choose(now, "look-up", Some("e2")), Choice::NoEndpoint);
    for _ in 0..3 {
        state.record_outcome(now, &chosen, AttemptOutcome::TimedOut, now);
    }
    assert_eq!(state.choose(now, "look-up", None), Choice::NoEndpoint, "ejected after three failures");
    assert!(state.has_open_endpoint("look-up"), "ejection by the proxy is not considered");
    let later = now + Duration::from_secs(4);
    for _ in 0..2 {
        assert!(
            matches!(state.choose(later, "look-up", None), Choice::Endpoint(_)),
            "the ejection time has passed"
        );
    }
    assert_eq!(state.choose(later, "look-up", None), Choice::Saturated, "two attempts are in flight");
    state.record_outcome(later, &chosen, AttemptOutcome::Answered(200), now);
    assert!(matches!(state.choose(later, "look-up", None), Choice::Endpoint(_)));
}

#[test]
fn equal_draws_get_the_same_admission_decision() {
    let mut state = new_state();
    execute(&mut state, "set var proc.level_look_up int(300)");
    let draws = (0..1000).map(|i| f64::from(i) / 1000.0);
    let first: Vec<bool> = draws.clone().map(|draw| state.admit("look-up", draw)).collect();
    let second: Vec<bool> = draws.map(|draw| state.admit("look-up", draw)).collect();
    assert_eq!(first, second);
    assert_eq!(first.iter().filter(|admitted| **admitted).count(), 300);
    assert!(
        execute(&mut state, "show stat")
            .lines()
            .any(|line| line.starts_with("look-up,FRONTEND,") && line.contains(",1400,"))
    );
}

/// Guards against memory that grows, and lines that take ever longer, as a client sends commands with ever new names.
#[test]
fn ever_new_names_are_refused_beyond_a_limit() {
    let mut state = new_state();
    let mut answer_after = |count: usize, line: &dyn Fn(usize) -> String| {
        (0..count).for_each(|number| drop(execute(&mut state, &line(number))));
        execute(&mut state, &line(count))
    };
    let variable = |number| format!("set var proc.name-{number} int(1)");
    assert_eq!(answer_after(MAX_VARIABLES, &variable), "Too many variables, at most 1024.\n\n");
    let entry = |number| format!("add map classes name-{number} t0");
    assert_eq!(answer_after(MAX_MAP_ENTRIES, &entry), "Too many map entries, at most 1024.\n\n");
    let server = |number| format!("add server t0/name-{number} 127.0.0.1:9");
    assert_eq!(answer_after(MAX_SERVERS, &server), "Too many servers, at most 65536.\n\n");
    // What exists can still be changed.
    assert_eq!(execute(&mut state, "set var proc.name-7 int(2)"), "\n");
    assert_eq!(execute(&mut state, "set map classes name-7 t1"), "\n");
    assert_eq!(execute(&mut state, "set server t0/name-7 weight 3"), "\n");
}

#[test]
fn the_version_of_a_map_that_was_prepared_first_is_dropped_beyond_a_limit() {
    let mut state = new_state();
    (0..=MAX_PREPARED_MAPS).for_each(|_| drop(execute(&mut state, "prepare map classes")));
    assert_eq!(execute(&mut state, "commit map @1 classes"), "Version number out of range.\n\n");
    assert_eq!(execute(&mut state, "commit map @2 classes"), "\n");
}
