//! The runtime API of the controller, with well-behaved, slow and invalid clients.

use std::io::{ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use crate::controller_fixture::{ControllerFixture, endpoint_list_xml, run};

fn connect(fixture: &ControllerFixture) -> UnixStream {
    let stream = UnixStream::connect(fixture.socket()).expect("the controller listens");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
    stream
}

#[test]
fn operators_are_answered_according_to_their_access_level() {
    let fixture = ControllerFixture::new();
    let mut controller = fixture.start_controller();
    assert!(fixture.ask("show version").starts_with("lockcroft "));
    assert!(fixture.ask("show backend").starts_with("# name part released"));
    assert!(fixture.ask("show events").contains("list at version 0, 2 servers"));
    assert!(fixture.ask("help").contains("set server <b>/<s> state|weight <value>"));
    let user = fixture.path("user.sock").display().to_string();
    let denied = run(&["ask", &user, "set", "server", "servers/e1", "state", "drain"]);
    assert_eq!(String::from_utf8_lossy(&denied.stdout), "Permission denied\n");
    assert_eq!(fixture.ask("set server servers/e1 state drain"), "");
    let states =
        fixture.wait_for_answer("show servers state servers", |output| output.contains("e1: counter"));
    assert!(
        states.lines().any(|line| line.starts_with("# e1:") && line.contains("listed=draining")),
        "{states}"
    );
    assert_eq!(fixture.ask("set server servers/e9 state drain"), "No such server.\n");
    assert_eq!(fixture.ask("set server servers/e1 weight 999"), "Require <weight> or <weight%>.\n");
    assert_eq!(
        fixture.ask("set log debug,lockcroft::update=trace; show log"),
        "\ndebug,lockcroft::update=trace\n"
    );
    assert!(fixture.ask("set log what=ever=this").contains("allowed: LEVEL"));
    let json = run(&["ask", "--json", &user, "show", "version"]);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert!(json["lines"][0].as_str().is_some_and(|line| line.starts_with("lockcroft")));
    assert_eq!(controller.terminate(Duration::from_secs(5)), Some(0));
    let log = fixture.log();
    assert!(log.contains("proxies keep their tables"));
    for line in log.lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert!(line["target"].as_str().is_some_and(|target| target.starts_with("lockcroft::")), "{line}");
    }
    assert!(!fixture.socket().exists());
}

#[test]
fn an_invalid_endpoint_list_changes_nothing() {
    let fixture = ControllerFixture::new();
    let _controller = fixture.start_controller();
    std::fs::write(fixture.path("roster.xml"), "<roster><server name=").expect("written");
    fixture.ask("reload roster");
    let end = Instant::now() + Duration::from_secs(5);
    while !fixture.log().contains("rejected the endpoint list, keeping the previous one") {
        assert!(Instant::now() < end, "{}", fixture.log());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(fixture.ask("show info").contains("Servers: 2"));
    std::fs::write(fixture.path("roster.xml"), endpoint_list_xml(&["e1", "e2", "e3"])).expect("written");
    fixture.wait_for_answer("show info", |output| output.contains("Servers: 3"));
}

#[test]
fn an_interactive_session_stays_open_and_streams_events() {
    let fixture = ControllerFixture::new();
    let _controller = fixture.start_controller();
    let mut stream = connect(&fixture);
    stream.write_all(b"prompt\nshow version\n").expect("written");
    let mut answer = String::new();
    while !answer.ends_with("\n\n> ") {
        let mut bytes = [0; 512];
        let read = stream.read(&mut bytes).expect("an answer");
        answer += &String::from_utf8_lossy(&bytes[..read]);
    }
    assert!(answer.starts_with("\n> lockcroft "), "{answer}");
    stream.write_all(b"show events -w\n").expect("written");
    fixture.ask("set server servers/e2 state drain");
    let mut events = String::new();
    while !events.contains("operator: e2") {
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).expect("events");
        assert!(read > 0, "{events}");
        events += &String::from_utf8_lossy(&bytes[..read]);
    }
}

#[test]
fn endless_lines_garbage_and_partial_commands_change_nothing() {
    let fixture = ControllerFixture::new();
    let _controller = fixture.start_controller();
    let mut endless = connect(&fixture);
    let piece = [b'x'; 1024];
    // The controller closes the connection long before the megabyte is sent: writing fails, or the error is answered.
    let closed = (0..1024).any(|_| endless.write_all(&piece).is_err());
    let mut output = String::new();
    let read = endless.read_to_string(&mut output);
    assert!(closed || output.contains("Line too long") || read.is_err(), "{output}");
    let mut garbage = connect(&fixture);
    garbage.write_all(&[0xff, 0, 0x80, b';', b'\\', b'\n']).expect("written");
    let mut output = String::new();
    garbage.read_to_string(&mut output).expect("answered");
    assert!(output.starts_with("Unknown command"), "{output}");
    let mut partial = connect(&fixture);
    partial.write_all(b"set server servers/e1 state dr").expect("written");
    drop(partial);
    let states = fixture.ask("show servers state servers");
    assert!(!states.contains("listed=draining"), "a partial command was applied: {states}");
}

#[test]
fn two_hundred_clients_that_never_read_do_not_delay_others() {
    let fixture = ControllerFixture::new();
    let _controller = fixture.start_controller();
    let mut clients = Vec::new();
    for _ in 0..200 {
        let mut stream = connect(&fixture);
        stream.set_nonblocking(true).expect("set");
        let commands = b"prompt i\n"
            .iter()
            .chain(b"show servers state\n".repeat(400).iter())
            .copied()
            .collect::<Vec<_>>();
        match stream.write(&commands) {
            Ok(_) => {}
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        clients.push(stream);
    }
    for _ in 0..10 {
        let started = Instant::now();
        assert!(fixture.ask("show info").contains("Servers: 2"));
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    }
    // Health checks continue meanwhile.
    let health_checks =
        |output: &str| output.lines().find_map(|line| line.strip_prefix("Probes: ")?.parse::<u64>().ok());
    let before = health_checks(&fixture.ask("show info"));
    fixture.wait_for_answer("show info", |output| health_checks(output) > before);
    drop(clients);
}

/// A controller that is killed and restarted recovers its persisted state. The folder of the state can be read while the
/// controller runs or not.
#[test]
fn a_killed_controller_recovers_its_persisted_state() {
    let fixture = ControllerFixture::new();
    let text = std::fs::read_to_string(fixture.path("pilot.xml")).expect("read");
    let text = text.replace("<proxies/>", "<memory folder=\"memory\"/><proxies/>");
    std::fs::write(fixture.path("pilot.xml"), text).expect("written");
    let mut controller = fixture.start_controller();
    fixture.wait_for_answer("show memory", |output| {
        output.contains("Entries: 3") && output.contains("Trouble: -")
    });
    controller.kill();
    std::fs::write(fixture.path("roster.xml"), endpoint_list_xml(&["e2"])).expect("written");
    let folder = fixture.path("memory").display().to_string();
    let shown = String::from_utf8_lossy(&run(&["memory", "show", &folder]).stdout).into_owned();
    assert!(shown.contains("\"server\":\"e1\"") && shown.contains("3 entries"), "{shown}");
    assert_eq!(run(&["memory", "verify", &folder]).status.code(), Some(0));
    assert_eq!(run(&["memory", "compact", &folder]).status.code(), Some(0));
    controller.restart().expect("started");
    fixture.wait_for_answer("show info", |output| output.contains("Servers: 1"));
    let compacted = run(&["memory", "compact", &folder]);
    assert!(
        compacted.status.code() == Some(1)
            && String::from_utf8_lossy(&compacted.stderr).contains("in use by a controller")
    );
    let log = std::fs::read_to_string(fixture.path("pilot.log")).expect("read");
    assert_eq!(log.matches("\"message\":\"recovered state\"").count(), 2, "{log}");
    controller.kill();
    // The state of another fleet is not used: the controller starts without persisted state.
    std::fs::write(
        fixture.path("pilot.xml"),
        std::fs::read_to_string(fixture.path("pilot.xml")).expect("read").replace("look-up", "look-down"),
    )
    .expect("written");
    controller.restart().expect("started");
    fixture.wait_for_answer("show memory", |output| output.contains("No memory is set."));
    let log = std::fs::read_to_string(fixture.path("pilot.log")).expect("read");
    assert!(
        log.contains("starting without persisted state") && log.contains("of a fleet with other zones"),
        "{log}"
    );
}
