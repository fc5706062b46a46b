//! A process of the controller on the scripted platform, and the proxies that attach to it.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};

use crate::controller_fixture::PROGRAM;
use crate::platform_testbed::TEST_TIMEOUT;

/// The field of a message that contains a complete table.
pub const FULL_TABLE: &str = "\"full\":true";

/// A process of the controller and its configuration; dropping it kills the process.
pub struct PlatformController {
    pub folder: tempfile::TempDir,
    pub listen: SocketAddr,
    pub process: Child,
}

impl PlatformController {
    pub fn start(discovery: SocketAddr, max_sockets: usize) -> Self {
        PlatformController::start_with(free_address(), discovery, max_sockets, |_| {})
    }

    /// Starts a controller whose configuration is changed by `change`.
    pub fn start_with(
        listen: SocketAddr,
        discovery: SocketAddr,
        max_sockets: usize,
        change: impl Fn(&mut Value),
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("config.json");
        let mut text: Value =
            serde_json::from_str(&config_json(listen, discovery, max_sockets)).expect("JSON");
        change(&mut text);
        std::fs::write(&path, text.to_string()).expect("written");
        let process = Command::new(PROGRAM)
            .arg("platform")
            .env("LB_CONFIG", &path)
            .env("LOCKCROFT_LOG", "debug")
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        PlatformController { folder, listen, process }
    }

    /// Connects as soon as the controller accepts connections.
    pub fn connect(&self) -> Proxy {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                return Proxy::new(stream);
            }
            assert!(Instant::now() < deadline, "the controller does not listen in time");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Connects and sends an `attach` message, in two parts if `in_parts` is true.
    pub fn attach_proxy(&self, proxy: usize, in_parts: bool) -> Proxy {
        let mut stream = self.connect();
        let line = attach_message(proxy);
        let (first, second) = line.split_at(if in_parts { 9 } else { 0 });
        stream.send(first);
        thread::sleep(Duration::from_millis(if in_parts { 60 } else { 0 }));
        stream.send(second);
        stream
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process.id() as i32).expect("a process");
        kill_process(pid, signal).expect("the process runs");
    }

    /// Waits until the process has handlers for SIGTERM and SIGHUP, according to the mask of caught signals in `/proc`.
    pub fn wait_for_signal_handlers(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        // Signal N is bit N - 1 of the mask.
        let expected =
            [Signal::TERM, Signal::HUP].map(|signal| 1_u64 << (signal.as_raw() - 1)).iter().sum::<u64>();
        loop {
            let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))
                .expect("the process runs");
            let caught = status
                .lines()
                .find_map(|line| line.strip_prefix("SigCgt:"))
                .expect("a mask of caught signals");
            if u64::from_str_radix(caught.trim(), 16).expect("a hexadecimal number") & expected == expected {
                return;
            }
            assert!(Instant::now() < deadline, "the signal handlers are not installed in time");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the process by SIGSTOP, so that inputs arrive at the same time as timers expire once it resumes.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Writes another discovery address to the configuration, and sends SIGHUP.
    pub fn switch_discovery(&self, address: SocketAddr) {
        let path = self.folder.path().join("config.json");
        let text = std::fs::read_to_string(&path).expect("read");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["discovery"] = json!(address.to_string());
        std::fs::write(&path, config.to_string()).expect("written");
        self.signal(Signal::HUP);
    }

    /// Waits for the process to exit and returns its exit code; `None` if it still runs after this time.
    pub fn exit_code_within(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.process.try_wait().expect("a child process") {
                Some(status) => return status.code(),
                None if Instant::now() > deadline => return None,
                None => thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}

impl Drop for PlatformController {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A connection to the controller, as a proxy opens it.
pub struct Proxy {
    pub stream: TcpStream,
    /// Received bytes that are not returned as lines yet.
    pub received: Vec<u8>,
}

impl Proxy {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
        Proxy { stream, received: Vec::new() }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("sent");
    }

    /// Reads until a line contains all of these texts, and returns it; `None` if the controller closes the connection
    /// before that.
    pub fn wait_for_line(&mut self, texts: &[&str]) -> Option<String> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            while let Some(newline) = self.received.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.received.drain(..=newline).collect();
                let line = String::from_utf8_lossy(&line).into_owned();
                if texts.iter().all(|text| line.contains(text)) {
                    return Some(line);
                }
            }
            assert!(
                Instant::now() < deadline,
                "no line with {texts:?} in time; {} bytes left",
                self.received.len()
            );
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(read) => self.received.extend_from_slice(&buffer[..read]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return None,
            }
        }
    }

    /// Reads until the controller closes the connection, and returns all of it. A reset connection is an error.
    pub fn read_to_end(&mut self) -> std::io::Result<String> {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        let mut bytes = std::mem::take(&mut self.received);
        self.stream.read_to_end(&mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Shuts down the sending direction; the connection can still be read.
    pub fn close_write(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("open");
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
    }

    /// Returns true if the controller closes the connection in time, whatever it sends before.
    pub fn is_closed_by_peer(&mut self) -> bool {
        self.wait_for_line(&["text that no line contains"]).is_none()
    }
}

/// Binds a free address, which stays reserved until the returned socket is closed. The socket does not listen: a process
/// that another test forks meanwhile has a copy of it until it executes its program, and a listening copy would accept
/// connections that are meant for the program under test.
///
/// Each address is returned only once. Each test process uses a separate loopback address, so that test processes that
/// run at the same time never use the same port.
pub fn reserve_address() -> (Socket, SocketAddr) {
    static USED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let process_address = SocketAddr::from((Ipv4Addr::new(127, 1 + high % 127, middle, low), 0));
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&process_address.into()).expect("bound");
        let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("bound");
        if USED_PORTS.lock().expect("not poisoned").insert(address.port()) {
            return (socket, address);
        }
    }
}

/// Returns an address that no socket uses.
pub fn free_address() -> SocketAddr {
    reserve_address().1
}

/// Returns the message `attach` of a proxy, with its newline.
pub fn attach_message(proxy: usize) -> String {
    json!({"t": "attach", "node": proxy, "locality": "a", "w": 5.0, "cold": true}).to_string() + "\n"
}

/// Returns the configuration of a controller.
pub fn config_json(listen: SocketAddr, discovery: SocketAddr, max_sockets: usize) -> String {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": max_sockets},
        // With a version in the last known list, the start-up hold is short.
        "known": {"index": 1, "snapshot": true, "endpoints": []},
        "settings": {
            "zones": ["a"], "kinds": ["std"], "fleet_size": 1, "policy_limits": {"probes": true},
            "report": {"how": "on_probe"},
            "classes": [{"name": "look", "target_us": 600_000, "deadline_us": 2_000_000, "worth": 3.0}],
            "rules": {"cold_from": 0.25, "cold_us": 4_000_000, "drain_grace_us": 1_500_000},
            "specifics": {"agents": 8, "egress_per_s": 5000.0, "queue_cap": 5000.0, "cycle_us": 1_000_000,
                "propagation_us": 200_000, "overhead": 4.0, "min_conn_cap": 400.0},
        },
    })
    .to_string()
}
