//! Clients of the runtime API of `lockcroft proxy` and `lockcroft serve`.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use lockcroft_scenario::ControllerProcess;

use crate::clients::{discard_received, longest_answer_during_flood, run_alone};
use crate::controller_fixture::{ControllerFixture, endpoint_list_xml};
use crate::process_memory::assert_memory_below;
use crate::proxy::{ProxyProcess, endpoint, small_response};

/// The largest and the smallest memory limit of a machine of the platform.
const MEMORY_LIMIT_MB: u64 = 192;
const SMALL_MEMORY_LIMIT_MB: u64 = 32;
/// The time in which a program under load has answered all lines.
const SETTLE_TIME: Duration = Duration::from_secs(6);
const SERVERS: usize = 1500;
/// The longest line of commands, in bytes.
const MAX_LINE_BYTES: usize = 16_384;
/// The time within which another client has to be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

fn process_id(controller: &ControllerProcess) -> u32 {
    controller.process_id().load(Ordering::Relaxed)
}

fn connect(path: &Path) -> UnixStream {
    let stream = UnixStream::connect(path).expect("the program listens");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    stream.set_write_timeout(Some(Duration::from_millis(500))).expect("set");
    stream
}

/// Opens connections that each send this line and read nothing.
fn clients_that_send(path: &Path, clients: usize, line: &str) -> Vec<UnixStream> {
    let client = |_| {
        let mut stream = connect(path);
        // A connection that the program closes is no failure.
        let _ = stream.write_all(line.as_bytes());
        stream
    };
    (0..clients).map(client).collect()
}

/// Sends a line and returns the answer up to the end of the connection.
pub fn ask(path: &Path, line: &str) -> String {
    let mut stream = connect(path);
    stream.write_all(line.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer in time");
    answer
}

/// Few clients that ask for a long list as often as a line allows, and many that ask for it some times. None reads the
/// answers.
fn clients_that_do_not_read(path: &Path) -> Vec<UnixStream> {
    let command = "show servers state;";
    let longest = MAX_LINE_BYTES / command.len() - 1;
    let ask = |clients, times| clients_that_send(path, clients, &(command.repeat(times) + "show info\n"));
    [ask(4, longest), ask(70, 20)].into_iter().flatten().collect()
}

/// A line of very many short commands whose payload does not follow.
fn short_commands() -> String {
    "a;".repeat(MAX_LINE_BYTES / 2 - 10) + "a <<END\n"
}

fn proxy_with_many_servers() -> ProxyProcess {
    let proxy = ProxyProcess::start(endpoint(small_response()));
    for first in (0..SERVERS).step_by(100) {
        let add = |server: usize| format!("add server t0/server-{server:06} 127.0.0.1:9");
        let line = (first..first + 100).map(add).collect::<Vec<_>>().join(";") + "\n";
        ask(&proxy.control_socket(), &line);
    }
    proxy
}

fn controller_with_many_servers() -> (ControllerFixture, ControllerProcess) {
    let fixture = ControllerFixture::new();
    let controller = fixture.start_controller();
    let names: Vec<String> = (0..SERVERS).map(|server| format!("server-{server:06}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    std::fs::write(fixture.path("roster.xml"), endpoint_list_xml(&names)).expect("written");
    fixture.wait_for_answer("show info", |output| output.contains("Servers: 150"));
    (fixture, controller)
}

#[test]
fn answers_of_a_proxy_that_are_not_read_keep_the_memory_limit() {
    let _alone = run_alone();
    let proxy = proxy_with_many_servers();
    let _clients = clients_that_do_not_read(&proxy.control_socket());
    thread::sleep(SETTLE_TIME);
    assert_memory_below(proxy.id(), MEMORY_LIMIT_MB);
    assert!(ask(&proxy.control_socket(), "show info\n").contains("lockcroft"));
}

#[test]
fn answers_of_a_controller_that_are_not_read_keep_the_memory_limit() {
    let _alone = run_alone();
    let (fixture, controller) = controller_with_many_servers();
    let _clients = clients_that_do_not_read(&fixture.socket());
    thread::sleep(SETTLE_TIME);
    assert_memory_below(process_id(&controller), MEMORY_LIMIT_MB);
}

#[test]
fn short_commands_without_their_payload_keep_the_memory_limit_of_a_proxy() {
    let _alone = run_alone();
    let proxy = ProxyProcess::start(endpoint(small_response()));
    let _clients = clients_that_send(&proxy.control_socket(), 250, &short_commands());
    thread::sleep(SETTLE_TIME);
    assert_memory_below(proxy.id(), SMALL_MEMORY_LIMIT_MB);
    assert!(ask(&proxy.control_socket(), "show info\n").contains("lockcroft"));
}

#[test]
fn short_commands_without_their_payload_keep_the_memory_limit_of_a_controller() {
    let _alone = run_alone();
    let fixture = ControllerFixture::new();
    let controller = fixture.start_controller();
    let _clients = clients_that_send(&fixture.socket(), 250, &short_commands());
    thread::sleep(SETTLE_TIME);
    assert_memory_below(process_id(&controller), SMALL_MEMORY_LIMIT_MB);
}

/// Sends lines with ever new numbers on one connection at full speed, while another client asks.
fn flood(path: &Path, line: impl Fn(usize) -> String + Send + 'static) -> Duration {
    let mut sender = connect(path);
    sender.write_all(b"prompt i\n").expect("sent");
    discard_received(sender.try_clone().expect("cloned"));
    longest_answer_during_flood(sender, line, || drop(ask(path, "show info\n")))
}

#[test]
fn commands_with_ever_new_names_neither_delay_others_nor_fill_the_memory_of_a_proxy() {
    let _alone = run_alone();
    let lines: [fn(usize) -> String; 6] = [
        |number| format!("set var proc.name-{number} int(1)\n"),
        |_| "prepare map classes\n".into(),
        |number| format!("add map classes name-{number} t0\n"),
        |number| format!("add server t0/name-{number} 127.0.0.1:9\n"),
        |number| format!("unknown command-{number}\n"),
        |number| {
            let prepare = if number == 0 { "prepare map tables\n" } else { "" };
            format!("{prepare}add server t1/name-{number} 127.0.0.1:9\n")
        },
    ];
    for line in lines {
        let proxy = ProxyProcess::start(endpoint(small_response()));
        let longest = flood(&proxy.control_socket(), line);
        println!("{}", line(7));
        assert!(longest < ANSWER_TIMEOUT, "{longest:?} for {}", line(7));
        assert_memory_below(proxy.id(), MEMORY_LIMIT_MB / 4);
    }
}

#[test]
fn commands_with_ever_new_names_neither_delay_others_nor_fill_the_memory_of_a_controller() {
    let _alone = run_alone();
    let lines: [fn(usize) -> String; 3] = [
        |number| format!("set server servers/name-{number} state drain\n"),
        |number| format!("set log info,name{number}=debug\n"),
        |number| format!("unknown command-{number}\n"),
    ];
    for line in lines {
        let fixture = ControllerFixture::new();
        let controller = fixture.start_controller();
        let longest = flood(&fixture.socket(), line);
        println!("{}", line(7));
        assert!(longest < ANSWER_TIMEOUT, "{longest:?} for {}", line(7));
        assert_memory_below(process_id(&controller), MEMORY_LIMIT_MB / 4);
    }
}
