//! Signals to `lockcroft proxy` and `lockcroft serve`, as operators and supervisors send them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::controller_fixture::{ControllerFixture, PROGRAM, roster};
use crate::platform_controller::free_address;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(8);

/// A program of the command line, killed with the test.
struct Program(Child);

impl Program {
    fn start(verb: &str, file: &PathBuf, log: &PathBuf) -> Self {
        let log = std::fs::File::create(log).expect("made");
        let mut command = Command::new(PROGRAM);
        command.arg(verb).arg(file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Program(command.spawn().expect("started"))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    fn has_ended(&mut self) -> bool {
        self.0.try_wait().expect("asked").is_some()
    }

    fn exit_status(&mut self) -> ExitStatus {
        until("the process ends", || self.has_ended());
        self.0.wait().expect("ended")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Answers each head after this time; ends with the test's process.
fn endpoint(answers_after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            thread::spawn(move || {
                while let Ok(1..) = stream.read(&mut [0; 4096]) {
                    thread::sleep(answers_after);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A proxy in a process of its own, with one endpoint.
struct ProxyFixture {
    folder: tempfile::TempDir,
    address: SocketAddr,
}

impl ProxyFixture {
    fn new(endpoint: SocketAddr) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let address = free_address();
        let text = format!(
            "<proxy name=\"r1\"><visits address=\"{address}\"/><control address=\"unix:{}\"/>\n\
             <tries try-most=\"30s\"/><classes><class name=\"look\" patience=\"30s\"/></classes>\n\
             <standing><server name=\"e1\" address=\"{endpoint}\"/></standing></proxy>\n",
            folder.path().join("r1.sock").display()
        );
        std::fs::write(folder.path().join("proxy.xml"), text).expect("written");
        ProxyFixture { folder, address }
    }

    fn start(&self) -> Program {
        Program::start("proxy", &self.folder.path().join("proxy.xml"), &self.folder.path().join("log"))
    }

    fn started(&self) -> Program {
        let program = self.start();
        until("the proxy listens", || TcpStream::connect(self.address).is_ok());
        program
    }

    fn begin_request(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(LIMIT)).expect("set");
        stream.write_all(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n").expect("sent");
        stream
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }
}

fn response(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against requests that are cut when a proxy is told to end.
#[test]
fn sigterm_lets_a_proxy_answer_what_is_in_flight() {
    let fixture = ProxyFixture::new(endpoint(Duration::from_millis(600)));
    let mut proxy = fixture.started();
    let mut streams = [fixture.begin_request(), fixture.begin_request(), fixture.begin_request()];
    thread::sleep(Duration::from_millis(100));
    proxy.signal(Signal::TERM);
    for stream in &mut streams {
        assert!(response(stream).starts_with("HTTP/1.1 200"), "{}", fixture.log());
    }
    assert_eq!(proxy.exit_status().code(), Some(0));
    assert!(TcpStream::connect(fixture.address).is_err());
}

/// Guards against a drain that can't be ended, and against requests that are cut without a word.
#[test]
fn a_second_sigterm_ends_a_proxy_at_once_and_says_what_was_cut() {
    let fixture = ProxyFixture::new(endpoint(Duration::from_secs(20)));
    let mut proxy = fixture.started();
    let _streams = [fixture.begin_request(), fixture.begin_request()];
    thread::sleep(Duration::from_millis(100));
    proxy.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(600));
    assert!(!proxy.has_ended(), "{}", fixture.log());
    proxy.signal(Signal::TERM);
    let signalled_at = Instant::now();
    assert_eq!(proxy.exit_status().code(), Some(0));
    assert!(signalled_at.elapsed() < Duration::from_secs(1));
    assert!(fixture.log().contains("cut_connections=2"), "{}", fixture.log());
}

/// Guards against a closed terminal, or an operator's SIGHUP, ending a proxy.
#[test]
fn sighup_leaves_a_proxy_running() {
    let fixture = ProxyFixture::new(endpoint(Duration::from_millis(300)));
    let mut proxy = fixture.started();
    let mut stream = fixture.begin_request();
    thread::sleep(Duration::from_millis(50));
    (0..3).for_each(|_| proxy.signal(Signal::HUP));
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).expect("answered");
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    assert!(!proxy.has_ended());
    assert!(fixture.log().contains("nothing to reload"), "{}", fixture.log());
}

/// Guards against a signal that comes before the handlers stand, once the program could have set them.
#[test]
fn signals_during_a_start_end_a_proxy_in_order_or_not_at_all() {
    let fixture = ProxyFixture::new(endpoint(Duration::ZERO));
    for delay in [30, 60, 100] {
        let mut proxy = fixture.start();
        thread::sleep(Duration::from_millis(delay));
        proxy.signal(Signal::HUP);
        proxy.signal(Signal::TERM);
        assert_eq!(proxy.exit_status().code(), Some(0), "after {delay} ms: {}", fixture.log());
    }
}

/// Guards against what was learned just before the end being lost with the thread that writes it.
#[test]
fn sigterm_leaves_on_disk_what_a_controller_learned_last() {
    let fixture = ControllerFixture::new();
    let settings = std::fs::read_to_string(fixture.path("pilot.xml")).expect("there");
    let settings = settings.replace("<proxies/>", "<memory folder=\"memory\"/><proxies/>");
    std::fs::write(fixture.path("pilot.xml"), settings).expect("written");
    for round in 3..8 {
        let names: Vec<String> = (1..=round).map(|number| format!("e{number}")).collect();
        let mut controller = Program::start("serve", &fixture.path("pilot.xml"), &fixture.path("pilot.log"));
        fixture.until("show info", |output| output.contains(&format!("Servers: {}", round - 1)));
        std::fs::write(
            fixture.path("roster.xml"),
            roster(&names.iter().map(String::as_str).collect::<Vec<_>>()),
        )
        .expect("written");
        fixture.until("show info", |output| output.contains(&format!("Servers: {round}")));
        controller.signal(Signal::TERM);
        assert_eq!(controller.exit_status().code(), Some(0));
        let shown =
            crate::controller_fixture::run(&["state", "show", &fixture.path("memory").display().to_string()]);
        let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
        assert!(shown.contains(&format!("\"server\":\"e{round}\"")), "{shown}");
    }
}

/// Guards against SIGHUP ending the controller.
#[test]
fn sighup_has_a_controller_read_its_endpoint_list_again() {
    let fixture = ControllerFixture::new();
    let settings = std::fs::read_to_string(fixture.path("pilot.xml")).expect("there");
    std::fs::write(fixture.path("pilot.xml"), settings.replace("look-every=\"50ms\"", "look-every=\"1h\""))
        .expect("written");
    let mut controller = Program::start("serve", &fixture.path("pilot.xml"), &fixture.path("pilot.log"));
    fixture.until("show info", |output| output.contains("Servers: 2"));
    std::fs::write(fixture.path("roster.xml"), roster(&["e1", "e2", "e3"])).expect("written");
    controller.signal(Signal::HUP);
    fixture.until("show info", |output| output.contains("Servers: 3"));
    assert!(fixture.log().contains("SIGHUP"), "{}", fixture.log());
    controller.signal(Signal::TERM);
    assert_eq!(controller.exit_status().code(), Some(0));
}
