//! Signals that operators and supervisors send to `lockcroft proxy` and `lockcroft serve`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::controller_fixture::{ControllerFixture, PROGRAM, endpoint_list_xml};
use crate::platform_controller::free_address;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const TIMEOUT: Duration = Duration::from_secs(8);

/// A process of the program under test; dropping it kills the process.
struct Program(Child);

impl Program {
    fn start(verb: &str, file: &PathBuf, log: &PathBuf) -> Self {
        let log = std::fs::File::create(log).expect("created");
        let mut command = Command::new(PROGRAM);
        command.arg(verb).arg(file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        Program(command.spawn().expect("started"))
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw).expect("a process");
        kill_process(pid, signal).expect("the process runs");
    }

    fn has_ended(&mut self) -> bool {
        self.0.try_wait().expect("a child process").is_some()
    }

    fn exit_status(&mut self) -> ExitStatus {
        wait_until("the process ends", || self.has_ended());
        self.0.wait().expect("ended")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Waits until a condition is true; fails with its description after [`TIMEOUT`].
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{description}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Starts an endpoint that answers each request after this delay. It runs until the test process exits.
fn endpoint(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            thread::spawn(move || {
                while let Ok(1..) = stream.read(&mut [0; 4096]) {
                    thread::sleep(delay);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The configuration of a proxy with one endpoint, in a temporary folder.
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

    /// Starts the proxy and waits until it accepts connections.
    fn start_and_wait(&self) -> Program {
        let program = self.start();
        wait_until("the proxy listens", || TcpStream::connect(self.address).is_ok());
        program
    }

    fn begin_request(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(TIMEOUT)).expect("set");
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

/// Guards against requests that are cut when a proxy receives SIGTERM.
#[test]
fn a_proxy_answers_requests_in_flight_after_sigterm() {
    let fixture = ProxyFixture::new(endpoint(Duration::from_millis(600)));
    let mut proxy = fixture.start_and_wait();
    let mut streams = [fixture.begin_request(), fixture.begin_request(), fixture.begin_request()];
    thread::sleep(Duration::from_millis(100));
    proxy.signal(Signal::TERM);
    for stream in &mut streams {
        assert!(response(stream).starts_with("HTTP/1.1 200"), "{}", fixture.log());
    }
    assert_eq!(proxy.exit_status().code(), Some(0));
    assert!(TcpStream::connect(fixture.address).is_err());
}

/// Guards against a drain that can't be interrupted, and against connections that are cut without being logged.
#[test]
fn a_second_sigterm_stops_a_proxy_immediately_and_logs_the_cut_connections() {
    let fixture = ProxyFixture::new(endpoint(Duration::from_secs(20)));
    let mut proxy = fixture.start_and_wait();
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

/// Guards against SIGHUP, from a closed terminal or an operator, ending a proxy.
#[test]
fn a_proxy_keeps_running_after_sighup() {
    let fixture = ProxyFixture::new(endpoint(Duration::from_millis(300)));
    let mut proxy = fixture.start_and_wait();
    let mut stream = fixture.begin_request();
    thread::sleep(Duration::from_millis(50));
    (0..3).for_each(|_| proxy.signal(Signal::HUP));
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).expect("answered");
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    assert!(!proxy.has_ended());
    assert!(fixture.log().contains("nothing to reload"), "{}", fixture.log());
}

/// Guards against a signal during startup that ends the process by its default action because the handlers are installed
/// too late.
#[test]
fn signals_during_startup_stop_a_proxy_in_an_orderly_way() {
    let fixture = ProxyFixture::new(endpoint(Duration::ZERO));
    for delay in [30, 60, 100] {
        let mut proxy = fixture.start();
        thread::sleep(Duration::from_millis(delay));
        proxy.signal(Signal::HUP);
        proxy.signal(Signal::TERM);
        assert_eq!(proxy.exit_status().code(), Some(0), "after {delay} ms: {}", fixture.log());
    }
}

/// Guards against losing the latest state at shutdown because the process exits before the thread that writes it is
/// done.
#[test]
fn a_controller_persists_its_latest_state_before_it_exits_on_sigterm() {
    let fixture = ControllerFixture::new();
    let settings = std::fs::read_to_string(fixture.path("pilot.xml")).expect("read");
    let settings = settings.replace("<proxies/>", "<memory folder=\"memory\"/><proxies/>");
    std::fs::write(fixture.path("pilot.xml"), settings).expect("written");
    for round in 3..8 {
        let names: Vec<String> = (1..=round).map(|number| format!("e{number}")).collect();
        let mut controller = Program::start("serve", &fixture.path("pilot.xml"), &fixture.path("pilot.log"));
        fixture.wait_for_answer("show info", |output| output.contains(&format!("Servers: {}", round - 1)));
        std::fs::write(
            fixture.path("roster.xml"),
            endpoint_list_xml(&names.iter().map(String::as_str).collect::<Vec<_>>()),
        )
        .expect("written");
        fixture.wait_for_answer("show info", |output| output.contains(&format!("Servers: {round}")));
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
fn a_controller_reloads_its_endpoint_list_on_sighup() {
    let fixture = ControllerFixture::new();
    let settings = std::fs::read_to_string(fixture.path("pilot.xml")).expect("read");
    std::fs::write(fixture.path("pilot.xml"), settings.replace("look-every=\"50ms\"", "look-every=\"1h\""))
        .expect("written");
    let mut controller = Program::start("serve", &fixture.path("pilot.xml"), &fixture.path("pilot.log"));
    fixture.wait_for_answer("show info", |output| output.contains("Servers: 2"));
    std::fs::write(fixture.path("roster.xml"), endpoint_list_xml(&["e1", "e2", "e3"])).expect("written");
    controller.signal(Signal::HUP);
    fixture.wait_for_answer("show info", |output| output.contains("Servers: 3"));
    assert!(fixture.log().contains("SIGHUP"), "{}", fixture.log());
    controller.signal(Signal::TERM);
    assert_eq!(controller.exit_status().code(), Some(0));
}
