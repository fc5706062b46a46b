//! The proxy's runtime API, command by command, and what it makes of visits.

use std::time::Duration;

use expect_test::expect;
use lockcroft_proxy::{AttemptOutcome, Choice, Limits, LoadBalancingPolicy, RoutingState, may_try_again};
use lockcroft_runtime_api::{Level, Session, split};

fn held() -> RoutingState {
    let standing = ["e1", "e2"].map(|name| (name.to_string(), "127.0.0.1:81".parse().expect("an address")));
    let shuns_for = Duration::from_secs(4);
    let limits = Limits {
        way: LoadBalancingPolicy::SmoothWeightedRoundRobin,
        outstanding_most: 2,
        shuns_after: 3,
        shuns_for,
    };
    RoutingState::new("r1", &["look-up".to_string()], &standing, limits, 1)
}

fn tell(held: &mut RoutingState, line: &str) -> String {
    let (mut session, mut out) = (Session::new(Level::Admin), String::new());
    session.execute_line(&split(line), held, &mut out);
    out
}

#[test]
fn commands_answer_as_the_guide_says() {
    let mut held = held();
    let mut said = String::new();
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
        let answer = tell(&mut held, line);
        said += &format!("{line}\n    {}\n", if answer == "\n" { "-" } else { answer.trim() });
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
    .assert_eq(&said);
}

#[test]
fn a_prepared_map_takes_effect_as_a_whole_or_not_at_all() {
    let mut held = held();
    assert_eq!(tell(&mut held, "prepare map classes"), "New version created: 1\n\n");
    assert_eq!(tell(&mut held, "prepare map classes"), "New version created: 2\n\n");
    tell(&mut held, "add map @2 classes look-up t1");
    assert_eq!(held.map["look-up"], "standing");
    assert_eq!(tell(&mut held, "commit map @2 classes"), "\n");
    assert_eq!(held.map["look-up"], "t1");
    // The older one comes late and changes nothing.
    assert_eq!(tell(&mut held, "commit map @1 classes"), "Version number out of range.\n\n");
    assert_eq!(held.map["look-up"], "t1");
}

#[test]
fn withdrawn_and_shunned_lines_are_not_chosen() {
    let (mut held, now) = (held(), Duration::from_secs(1));
    tell(&mut held, "set server standing/e1 state drain");
    let Choice::Endpoint(chosen) = held.choose(now, "look-up", None) else { panic!("e2 is left") };
    assert_eq!(chosen.server, "e2");
    assert_eq!(held.choose(now, "look-up", Some("e2")), Choice::Bare);
    for _ in 0..3 {
        held.ended(now, &chosen, AttemptOutcome::Late, now);
    }
    assert_eq!(held.choose(now, "look-up", None), Choice::Bare, "shunned after three");
    assert!(held.has_line("look-up"), "by its orders it has one");
    let later = now + Duration::from_secs(4);
    for _ in 0..2 {
        assert!(matches!(held.choose(later, "look-up", None), Choice::Endpoint(_)), "and for a time only");
    }
    assert_eq!(held.choose(later, "look-up", None), Choice::Full, "two are under way");
    held.ended(later, &chosen, AttemptOutcome::Answered(200), now);
    assert!(matches!(held.choose(later, "look-up", None), Choice::Endpoint(_)));
}

#[test]
fn levels_refuse_the_same_clients_again() {
    let mut held = held();
    tell(&mut held, "set var proc.level_look_up int(300)");
    let draws = (0..1000).map(|i| f64::from(i) / 1000.0);
    let first: Vec<bool> = draws.clone().map(|draw| held.lets_in("look-up", draw)).collect();
    let again: Vec<bool> = draws.map(|draw| held.lets_in("look-up", draw)).collect();
    assert_eq!(first, again);
    assert_eq!(first.iter().filter(|let_in| **let_in).count(), 300);
    assert!(
        tell(&mut held, "show stat")
            .lines()
            .any(|line| line.starts_with("look-up,FRONTEND,") && line.contains(",1400,"))
    );
}

#[test]
fn only_proof_allows_a_second_try_and_only_one() {
    use AttemptOutcome::{Answered, Broken, Late, Refused, TurnedAway};
    for ending in [Answered(200), Answered(500), Answered(503), Broken, Late] {
        assert!(!may_try_again(1, ending, true), "{ending:?}");
    }
    for ending in [Refused, TurnedAway] {
        assert!(
            may_try_again(1, ending, true)
                && !may_try_again(2, ending, true)
                && !may_try_again(1, ending, false)
        );
    }
}
