//! Clients of `lockcroft proxy` that send requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::clients::{
    connect_with_small_window, discard_received, longest_answer_during_flood, run_alone, send_some,
};
use crate::controller_fixture::PROGRAM;
use crate::platform_controller::free_address;
use crate::process_memory::assert_memory_below;

/// The largest memory limit of a machine of the platform.
const MEMORY_LIMIT_MB: u64 = 192;
const CLIENTS: usize = 900;
/// The longest body that the proxy under test buffers.
const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// The time in which a proxy under load has taken in what its clients sent.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const START_TIMEOUT: Duration = Duration::from_secs(8);

/// A proxy process with one endpoint; dropping it kills the process.
pub struct ProxyProcess {
    folder: tempfile::TempDir,
    pub address: SocketAddr,
    process: Child,
}

impl ProxyProcess {
    pub fn start(endpoint: SocketAddr) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let address = free_address();
        let text = format!(
            "<proxy name=\"r1\"><visits address=\"{address}\" keep-most-bytes=\"{MAX_BUFFERED_BODY_BYTES}\"/>\n\
             <control address=\"unix:{}\"/><tries try-most=\"30s\"/>\n\
             <limits outstanding-most=\"5000\"/>\n\
             <classes><class name=\"look\" patience=\"30s\"/></classes>\n\
             <standing><server name=\"e1\" address=\"{endpoint}\"/></standing></proxy>\n",
            folder.path().join("r1.sock").display()
        );
        std::fs::write(folder.path().join("proxy.xml"), text).expect("written");
        let mut command = Command::new(PROGRAM);
        command.arg("proxy").arg(folder.path().join("proxy.xml"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let process = command.spawn().expect("started");
        let proxy = ProxyProcess { folder, address, process };
        proxy.wait_until_listening();
        proxy
    }

    fn wait_until_listening(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(self.address).is_err() {
            assert!(Instant::now() < deadline, "the proxy does not listen in time");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    pub fn control_socket(&self) -> PathBuf {
        self.folder.path().join("r1.sock")
    }

    /// Checks that the proxy still answers another client.
    pub fn assert_answers(&self) {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set");
        stream.write_all(b"GET /look HTTP/1.1\r\nhost: a\r\n\r\n").expect("sent");
        let mut buffer = [0; 64];
        let read = stream.read(&mut buffer).expect("an answer in time");
        let answer = String::from_utf8_lossy(&buffer[..read]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }

    /// Stops the process by SIGSTOP and waits until it stands still.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.id())).expect("the process runs");
        while !stat().contains(") T ") {
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.id() as i32).expect("a process");
        kill_process(pid, signal).expect("the process runs");
    }

    pub fn assert_within_memory_limit(&self) {
        assert_memory_below(self.id(), MEMORY_LIMIT_MB);
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts an endpoint that answers every head with this text and reads on. It runs until the test process exits.
pub fn endpoint(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), response) = (stream, response.clone()) else { continue };
            thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(read @ 1..) = stream.read(&mut buffer) {
                    let is_head = buffer[..read].windows(4).any(|bytes| bytes == b"\r\n\r\n");
                    if is_head && stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn small_response() -> String {
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".into()
}

/// Opens connections that each send these bytes and read nothing.
fn clients_that_send(proxy: &ProxyProcess, bytes: &[u8]) -> Vec<TcpStream> {
    let connect = |_| {
        let mut stream = connect_with_small_window(proxy.address);
        send_some(&mut stream, bytes);
        stream
    };
    (0..CLIENTS).map(connect).collect()
}

/// Checks that clients which send this to a proxy whose endpoint answers with `response`, and read nothing, leave it within
/// its memory limit and able to answer another client.
fn assert_memory_kept(response: String, request: &[u8]) {
    let proxy = ProxyProcess::start(endpoint(response));
    let _clients = clients_that_send(&proxy, request);
    thread::sleep(SETTLE_TIME);
    proxy.assert_within_memory_limit();
    proxy.assert_answers();
}

/// Guards against a request that waits for another client's body: its endpoint had answered before the end of that body,
/// and the connection was reused.
#[test]
fn a_body_that_stops_after_its_answer_delays_no_other_request() {
    let _alone = run_alone();
    let proxy = ProxyProcess::start(endpoint(small_response()));
    let mut stream = TcpStream::connect(proxy.address).expect("connected");
    let length = 2 * MAX_BUFFERED_BODY_BYTES;
    let part = "x".repeat(MAX_BUFFERED_BODY_BYTES + (1 << 16));
    let request = format!("POST /look HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{part}");
    stream.write_all(request.as_bytes()).expect("sent");
    assert!(stream.read(&mut [0; 64]).is_ok_and(|read| read > 0), "an answer before the end of the body");
    proxy.assert_answers();
}

#[test]
fn heads_of_many_short_fields_that_never_end_keep_the_memory_limit() {
    let _alone = run_alone();
    let fields: String = (0..90).map(|field| format!("x{field}: {}\r\n", "y".repeat(160))).collect();
    assert_memory_kept(small_response(), format!("GET /look HTTP/1.1\r\nhost: a\r\n{fields}").as_bytes());
}

#[test]
fn requests_whose_body_never_ends_keep_the_memory_limit() {
    let _alone = run_alone();
    let fields: String = (0..90).map(|field| format!("x{field}: {field}\r\n")).collect();
    let head = format!(
        "POST /look HTTP/1.1\r\nhost: a\r\n{fields}content-length: {MAX_BUFFERED_BODY_BYTES}\r\n\r\n"
    );
    let body = "x".repeat(MAX_BUFFERED_BODY_BYTES - 1);
    assert_memory_kept(small_response(), (head + &body).as_bytes());
}

#[test]
fn buffered_responses_that_are_not_read_keep_the_memory_limit() {
    let _alone = run_alone();
    let body = "x".repeat(MAX_BUFFERED_BODY_BYTES);
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {MAX_BUFFERED_BODY_BYTES}\r\n\r\n{body}");
    assert_memory_kept(response, b"GET /look HTTP/1.1\r\nhost: a\r\n\r\n");
}

#[test]
fn streamed_responses_that_are_not_read_keep_the_memory_limit() {
    let _alone = run_alone();
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 20, "x".repeat(1 << 20));
    let response = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk.repeat(4));
    assert_memory_kept(response, b"GET /look HTTP/1.1\r\nhost: a\r\n\r\n");
}

#[test]
fn pipelined_requests_whose_responses_are_not_read_keep_the_memory_limit() {
    let _alone = run_alone();
    let requests = "GET /look HTTP/1.1\r\nhost: a\r\n\r\n".repeat(30_000);
    assert_memory_kept(small_response(), requests.as_bytes());
}

/// The time within which another client has to be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

#[test]
fn requests_of_one_client_at_full_speed_neither_delay_others_nor_fill_the_memory() {
    let _alone = run_alone();
    let messages: [fn(usize) -> String; 4] = [
        |_| "GET /look HTTP/1.1\r\nhost: a\r\n\r\n".into(),
        |number| format!("GET /unknown-{number} HTTP/1.1\r\nhost: a\r\n\r\n"),
        |number| {
            format!("GET /look HTTP/1.1\r\nx-client: {number}\r\nx-visit: {number}\r\nx-{number}: 1\r\n\r\n")
        },
        |number| {
            format!(
                "POST /look/{number} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
            )
        },
    ];
    for message in messages {
        let proxy = ProxyProcess::start(endpoint(small_response()));
        let sender = TcpStream::connect(proxy.address).expect("connected");
        discard_received(sender.try_clone().expect("cloned"));
        let longest = longest_answer_during_flood(sender, message, || proxy.assert_answers());
        assert!(longest < ANSWER_TIMEOUT, "{longest:?} for {}", message(7));
        proxy.assert_within_memory_limit();
    }
}

/// A client whose unsound requests are rejected, each on a connection of its own.
#[test]
fn unsound_requests_at_full_speed_neither_delay_others_nor_fill_the_memory() {
    let _alone = run_alone();
    let proxy = ProxyProcess::start(endpoint(small_response()));
    let sender = RejectedClient { address: proxy.address };
    let message =
        |number| format!("GET /{number} HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n");
    let longest = longest_answer_during_flood(sender, message, || proxy.assert_answers());
    assert!(longest < ANSWER_TIMEOUT, "{longest:?}");
    proxy.assert_within_memory_limit();
}

/// Opens a connection for each request, and the next one after the proxy has closed it.
struct RejectedClient {
    address: SocketAddr,
}

impl Write for RejectedClient {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut stream = TcpStream::connect(self.address)?;
        let written = stream.write(bytes)?;
        stream.read_to_end(&mut Vec::new())?;
        Ok(written)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
