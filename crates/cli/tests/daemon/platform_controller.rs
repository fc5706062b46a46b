//! A controller on the scripted platform as a process, and the proxies that attach to it.

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

/// A message that holds a whole table says so.
pub const FULL_TABLE: &str = "\"full\":true";

/// A controller with its configuration; it is ended with the test.
pub struct PlatformController {
    pub folder: tempfile::TempDir,
    pub listen: SocketAddr,
    pub process: Child,
}

impl PlatformController {
    pub fn start(discovery: SocketAddr, max_sockets: usize) -> Self {
        PlatformController::with(free_address(), discovery, max_sockets, |_| {})
    }

    /// With changes to the configuration.
    pub fn with(
        listen: SocketAddr,
        discovery: SocketAddr,
        max_sockets: usize,
        change: impl Fn(&mut Value),
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("config.json");
        let mut text: Value = serde_json::from_str(&config(listen, discovery, max_sockets)).expect("sound");
        change(&mut text);
        std::fs::write(&path, text.to_string()).expect("written");
        let process = Command::new(PROGRAM)
            .arg("platform")
            .env("LB_CONFIG", &path)
            .env("LOCKCROFT_LOG", "debug")
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        PlatformController { folder, listen, process }
    }

    pub fn connect(&self) -> Proxy {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                return Proxy::new(stream);
            }
            assert!(Instant::now() < end, "nobody listens");
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn attach_proxy(&self, proxy: usize, in_pieces: bool) -> Proxy {
        let mut stream = self.connect();
        let line = attach(proxy);
        let (one, other) = line.split_at(if in_pieces { 9 } else { 0 });
        stream.send(one);
        thread::sleep(Duration::from_millis(if in_pieces { 60 } else { 0 }));
        stream.send(other);
        stream
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process.id() as i32).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    /// Waits until neither SIGTERM nor SIGHUP would end it by default: the kernel tells which it catches.
    pub fn wait_for_signal_handlers(&self) {
        let end = Instant::now() + TEST_TIMEOUT;
        // Signal N is bit N - 1.
        let both =
            [Signal::TERM, Signal::HUP].map(|signal| 1_u64 << (signal.as_raw() - 1)).iter().sum::<u64>();
        loop {
            let status =
                std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).expect("it runs");
            let caught =
                status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("on this kernel");
            if u64::from_str_radix(caught.trim(), 16).expect("a mask") & both == both {
                return;
            }
            assert!(Instant::now() < end, "signals are not heeded in time");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the process by a signal: what arrives meanwhile races with what is due.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Names another discovery in its configuration, and sends SIGHUP.
    pub fn switch_discovery(&self, to: SocketAddr) {
        let path = self.folder.path().join("config.json");
        let text = std::fs::read_to_string(&path).expect("there");
        let mut config: Value = serde_json::from_str(&text).expect("sound");
        config["discovery"] = json!(to.to_string());
        std::fs::write(&path, config.to_string()).expect("written");
        self.signal(Signal::HUP);
    }

    pub fn exit_code_within(&mut self, within: Duration) -> Option<i32> {
        let end = Instant::now() + within;
        loop {
            match self.process.try_wait().expect("ours") {
                Some(status) => return status.code(),
                None if Instant::now() > end => return None,
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

pub struct Proxy {
    pub stream: TcpStream,
    pub inbox: Vec<u8>,
}

impl Proxy {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
        Proxy { stream, inbox: Vec::new() }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("taken");
    }

    /// Reads until a line has all of these words, or the other end closes.
    pub fn until(&mut self, words: &[&str]) -> Option<String> {
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            while let Some(at) = self.inbox.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.inbox.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line).into_owned();
                if words.iter().all(|word| line.contains(word)) {
                    return Some(line);
                }
            }
            assert!(Instant::now() < end, "no line with {words:?} in time; {} bytes wait", self.inbox.len());
            let mut room = [0; 4096];
            match self.stream.read(&mut room) {
                Ok(0) => return None,
                Ok(read) => self.inbox.extend_from_slice(&room[..read]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
    }

    /// All that it reads until the other end closes; what was reset in between is an error.
    pub fn read_to_end(&mut self) -> std::io::Result<String> {
        self.stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        let mut all = std::mem::take(&mut self.inbox);
        self.stream.read_to_end(&mut all)?;
        Ok(String::from_utf8_lossy(&all).into_owned())
    }

    /// Closes the sending side and keeps reading.
    pub fn close_write(&self) {
        self.stream.shutdown(std::net::Shutdown::Write).expect("open");
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("set");
    }

    /// Whether the other end closes in time, whatever it sends before.
    pub fn is_closed_by_peer(&mut self) -> bool {
        self.until(&["no line has this"]).is_none()
    }
}

/// Holds an address for as long as the socket lives. It does not listen: a process that another test forks meanwhile has
/// a copy until it runs its program, and would accept connections that are meant for the program under test.
///
/// Each address is given out once. Each test process has a loopback address of its own, so that two that run at the same
/// time never meet on one port.
pub fn held_address() -> (Socket, SocketAddr) {
    static GIVEN_OUT: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let own = SocketAddr::from((Ipv4Addr::new(127, 1 + high % 127, middle, low), 0));
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&own.into()).expect("bound");
        let address = socket.local_addr().ok().and_then(|address| address.as_socket()).expect("bound");
        if GIVEN_OUT.lock().expect("not poisoned").insert(address.port()) {
            return (socket, address);
        }
    }
}

/// An address that nobody listens on.
pub fn free_address() -> SocketAddr {
    held_address().1
}

pub fn attach(proxy: usize) -> String {
    json!({"t": "attach", "node": proxy, "locality": "a", "w": 5.0, "cold": true}).to_string() + "\n"
}

pub fn config(listen: SocketAddr, discovery: SocketAddr, max_sockets: usize) -> String {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": max_sockets},
        // A known list with a version makes the start-up hold short.
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
