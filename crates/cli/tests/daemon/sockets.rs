//! The pilot's own runtime API, with readers of every kind.

use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use crate::help::{House, roster, run};

fn connect(house: &House) -> UnixStream {
    let stream = UnixStream::connect(house.socket()).expect("the pilot listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
    stream
}

#[test]
fn operators_ask_and_are_answered_by_level() {
    let house = House::new();
    let mut pilot = house.pilot();
    assert!(house.ask("show version").starts_with("lockcroft "));
    assert!(house.ask("show backend").starts_with("# name part released"));
    assert!(house.ask("show events").contains("list at version 0, 2 servers"));
    assert!(house.ask("help").contains("set server <b>/<s> state|weight <value>"));
    let user = house.path("user.sock").display().to_string();
    let denied = run(&["ask", &user, "set", "server", "servers/e1", "state", "drain"]);
    assert_eq!(String::from_utf8_lossy(&denied.stdout), "Permission denied\n");
    assert_eq!(house.ask("set server servers/e1 state drain"), "");
    let states = house.until("show servers state servers", |said| said.contains("e1: counter"));
    assert!(
        states.lines().any(|line| line.starts_with("# e1:") && line.contains("listed=draining")),
        "{states}"
    );
    assert_eq!(house.ask("set server servers/e9 state drain"), "No such server.\n");
    assert_eq!(house.ask("set server servers/e1 weight 999"), "Require <weight> or <weight%>.\n");
    assert_eq!(
        house.ask("set log debug,lockcroft::update=trace; show log"),
        "\ndebug,lockcroft::update=trace\n"
    );
    assert!(house.ask("set log what=ever=this").contains("allowed: LEVEL"));
    let json = run(&["ask", "--json", &user, "show", "version"]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert!(json["lines"][0].as_str().is_some_and(|line| line.starts_with("lockcroft")));
    assert_eq!(pilot.end(Duration::from_secs(5)), Some(0));
    let log = house.log();
    assert!(log.contains("proxies keep their tables"));
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(line["target"].as_str().is_some_and(|target| target.starts_with("lockcroft::")), "{line}");
    }
    assert!(!house.socket().exists());
}

#[test]
fn a_bad_list_changes_nothing() {
    let house = House::new();
    let _pilot = house.pilot();
    std::fs::write(house.path("roster.xml"), "<roster><server name=").expect("written");
    house.ask("reload roster");
    let end = Instant::now() + Duration::from_secs(5);
    while !house.log().contains("the list stays as it was") {
        assert!(Instant::now() < end, "{}", house.log());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(house.ask("show info").contains("Servers: 2"));
    std::fs::write(house.path("roster.xml"), roster(&["e1", "e2", "e3"])).expect("written");
    house.until("show info", |said| said.contains("Servers: 3"));
}

#[test]
fn a_prompt_stays_and_events_are_followed() {
    let house = House::new();
    let _pilot = house.pilot();
    let mut stream = connect(&house);
    stream.write_all(b"prompt\nshow version\n").expect("written");
    let mut got = String::new();
    while !got.ends_with("\n\n> ") {
        let mut bytes = [0; 512];
        let read = stream.read(&mut bytes).expect("an answer");
        got += &String::from_utf8_lossy(&bytes[..read]);
    }
    assert!(got.starts_with("\n> lockcroft "), "{got}");
    stream.write_all(b"show events -w\n").expect("written");
    house.ask("set server servers/e2 state drain");
    let mut seen = String::new();
    while !seen.contains("operator: e2") {
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).expect("events");
        assert!(read > 0, "{seen}");
        seen += &String::from_utf8_lossy(&bytes[..read]);
    }
}

#[test]
fn endless_lines_garbage_and_halves_harm_nobody() {
    let house = House::new();
    let _pilot = house.pilot();
    let mut endless = connect(&house);
    let piece = [b'x'; 1024];
    // The pilot gives up long before the megabyte is through: writing fails, or the word of it comes.
    let cut = (0..1024).any(|_| endless.write_all(&piece).is_err());
    let mut said = String::new();
    let read = endless.read_to_string(&mut said);
    assert!(cut || said.contains("Line too long") || read.is_err(), "{said}");
    let mut garbage = connect(&house);
    garbage.write_all(&[0xff, 0, 0x80, b';', b'\\', b'\n']).expect("written");
    let mut said = String::new();
    garbage.read_to_string(&mut said).expect("answered");
    assert!(said.starts_with("Unknown command"), "{said}");
    let mut half = connect(&house);
    half.write_all(b"set server servers/e1 state dr").expect("written");
    drop(half);
    let states = house.ask("show servers state servers");
    assert!(!states.contains("listed=draining"), "half a command is none: {states}");
}

#[test]
fn two_hundred_that_never_read_keep_nobody_waiting() {
    let house = House::new();
    let _pilot = house.pilot();
    let mut deaf = Vec::new();
    for _ in 0..200 {
        let mut stream = connect(&house);
        stream.set_nonblocking(true).expect("set");
        let asks = b"prompt i\n"
            .iter()
            .chain(b"show servers state\n".repeat(400).iter())
            .copied()
            .collect::<Vec<_>>();
        match stream.write(&asks) {
            Ok(_) => {}
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        deaf.push(stream);
    }
    for _ in 0..10 {
        let begun = Instant::now();
        assert!(house.ask("show info").contains("Servers: 2"));
        assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    }
    // Probes went on all the while.
    let probes =
        |said: &str| said.lines().find_map(|line| line.strip_prefix("Probes: ")?.parse::<u64>().ok());
    let before = probes(&house.ask("show info"));
    house.until("show info", |said| probes(said) > before);
    drop(deaf);
}

/// A pilot that is killed and started again has what it learned; its folder can be looked into at any time.
#[test]
fn a_pilot_keeps_what_it_learned() {
    let house = House::new();
    let text = std::fs::read_to_string(house.path("pilot.xml")).expect("there");
    let text = text.replace("<proxies/>", "<memory folder=\"memory\"/><proxies/>");
    std::fs::write(house.path("pilot.xml"), text).expect("written");
    let mut pilot = house.pilot();
    house.until("show memory", |said| said.contains("Entries: 3") && said.contains("Trouble: -"));
    pilot.kill();
    std::fs::write(house.path("roster.xml"), roster(&["e2"])).expect("written");
    let folder = house.path("memory").display().to_string();
    let shown = String::from_utf8_lossy(&run(&["memory", "show", &folder]).stdout).into_owned();
    assert!(shown.contains("\"server\":\"e1\"") && shown.contains("3 entries"), "{shown}");
    assert_eq!(run(&["memory", "verify", &folder]).status.code(), Some(0));
    assert_eq!(run(&["memory", "compact", &folder]).status.code(), Some(0));
    pilot.again().expect("started");
    house.until("show info", |said| said.contains("Servers: 1"));
    let held = run(&["memory", "compact", &folder]);
    assert!(
        held.status.code() == Some(1) && String::from_utf8_lossy(&held.stderr).contains("a pilot holds it")
    );
    let log = std::fs::read_to_string(house.path("pilot.log")).expect("there");
    assert_eq!(log.matches("\"message\":\"recalled\"").count(), 2, "{log}");
    pilot.kill();
    // Of another fleet nothing is believed, and the pilot starts without.
    std::fs::write(
        house.path("pilot.xml"),
        std::fs::read_to_string(house.path("pilot.xml")).expect("there").replace("look-up", "look-down"),
    )
    .expect("written");
    pilot.again().expect("started");
    house.until("show memory", |said| said.contains("No memory is set."));
    let log = std::fs::read_to_string(house.path("pilot.log")).expect("there");
    assert!(log.contains("started without memory") && log.contains("of a fleet with other zones"), "{log}");
}
