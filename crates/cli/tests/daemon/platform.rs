//! `lockcroft platform` as a process, on a scripted platform: discovery, endpoints and proxies on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::help::PROGRAM;

const SOON: Duration = Duration::from_secs(6);

/// A discovery whose list tests change.
#[derive(Clone)]
struct Discovery {
    address: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl Discovery {
    fn start(index: u64, entries: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let list = Arc::new(Mutex::new((index, entries)));
        let discovery = Discovery { address: listener.local_addr().expect("bound"), list };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader) {
            let since =
                head.split("since=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
            let end = Instant::now() + Duration::from_millis(500);
            while since.is_some_and(|since| since >= self.index()) && Instant::now() < end {
                thread::sleep(Duration::from_millis(10));
            }
            let (index, entries) = self.list.lock().expect("held").clone();
            let news = since.is_none_or(|since| since < index);
            let entries = if news { entries } else { Vec::new() };
            let body = json!({"index": index, "snapshot": news, "endpoints": entries}).to_string();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn index(&self) -> u64 {
        self.list.lock().expect("held").0
    }

    fn tell(&self, entries: Vec<Value>) {
        let mut list = self.list.lock().expect("held");
        *list = (list.0 + 1, entries);
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// An endpoint that passes its probes.
fn endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\nconnection: close\r\n\r\nbusy=0.2");
        }
    });
    address
}

fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 1,
        "status": status, "weight": 1.0, "since_ms": since_ms})
}

fn wall() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("later").as_millis() as u64
}

/// A pilot with its configuration; it is ended with the test.
struct House {
    folder: tempfile::TempDir,
    listen: SocketAddr,
    pilot: Child,
}

impl House {
    fn start(discovery: SocketAddr, sockets: usize) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("bound");
        let listen = free.local_addr().expect("bound");
        drop(free);
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("config.json");
        std::fs::write(&path, config(listen, discovery, sockets)).expect("written");
        let pilot = Command::new(PROGRAM)
            .arg("platform")
            .env("LB_CONFIG", &path)
            .env("LOCKCROFT_LOG", "debug")
            .stderr(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        House { folder, listen, pilot }
    }

    fn connect(&self) -> Proxy {
        let end = Instant::now() + SOON;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(Duration::from_millis(50))).expect("set");
                return Proxy { stream, inbox: Vec::new() };
            }
            assert!(Instant::now() < end, "nobody listens");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn join(&self, proxy: usize, pieces: bool) -> Proxy {
        let mut stream = self.connect();
        let line = json!({"t": "attach", "node": proxy, "locality": "a", "w": 5.0, "cold": true}).to_string();
        let (one, other) = line.split_at(if pieces { 9 } else { 0 });
        stream.say(one);
        thread::sleep(Duration::from_millis(if pieces { 60 } else { 0 }));
        stream.say(&format!("{other}\n"));
        stream
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.pilot.id() as i32).expect("a process");
        kill_process(pid, signal).expect("it runs");
    }

    fn ended(&mut self, within: Duration) -> Option<i32> {
        let end = Instant::now() + within;
        loop {
            match self.pilot.try_wait().expect("ours") {
                Some(status) => return status.code(),
                None if Instant::now() > end => return None,
                None => thread::sleep(Duration::from_millis(10)),
            }
        }
    }
}

impl Drop for House {
    fn drop(&mut self) {
        let _ = self.pilot.kill();
        let _ = self.pilot.wait();
    }
}

struct Proxy {
    stream: TcpStream,
    inbox: Vec<u8>,
}

impl Proxy {
    fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("taken");
    }

    /// Reads until a line has all of these words, or the other end closes.
    fn until(&mut self, words: &[&str]) -> Option<String> {
        let end = Instant::now() + SOON;
        loop {
            while let Some(at) = self.inbox.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.inbox.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line).into_owned();
                if words.iter().all(|word| line.contains(word)) {
                    return Some(line);
                }
            }
            assert!(Instant::now() < end, "no line with {words:?} in time");
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

    /// Whether the other end closes in time, whatever it says before.
    fn closes(&mut self) -> bool {
        self.until(&["no line has this"]).is_none()
    }
}

fn config(listen: SocketAddr, discovery: SocketAddr, sockets: usize) -> String {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        // A list of before with a version: its hold is short.
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

#[test]
fn a_drain_a_restart_and_another_discovery_reach_proxies() {
    let [a, b, c] = [endpoint(), endpoint(), endpoint()];
    let discovery = Discovery::start(1, vec![entry("s-a", a, "up", 0), entry("s-b", b, "up", 0)]);
    let mut house = House::start(discovery.address, 128);
    let mut life = house.connect();
    life.say("{\"t\":\"hb\"}\n");
    assert!(life.until(&["hb_ok"]).is_some());
    let mut proxy = house.join(3, true);
    let full = proxy.until(&["\"full\":true"]).expect("a table");
    assert!(full.contains("s-a") && full.contains("s-b"), "{full}");

    // A newer stream of the same proxy holds, and the older one is let go.
    let mut newer = house.join(3, false);
    assert!(newer.until(&["\"full\":true"]).is_some());
    assert!(proxy.closes());

    discovery.tell(vec![entry("s-a", a, "up", 0), entry("s-b", b, "draining", 0)]);
    assert!(newer.until(&["[\"s-b\",0.0]"]).is_some());
    discovery.tell(vec![entry("s-a", a, "up", 0), entry("s-b", b, "up", wall())]);
    assert!(newer.until(&["[\"s-b\",0."]).is_some_and(|line| !line.contains("[\"s-b\",0.0]")));

    // A half-written file changes nothing; the whole one names another discovery.
    let path = house.folder.path().join("config.json");
    std::fs::write(&path, "{\"name\":\"n0\",").expect("written");
    house.signal(Signal::HUP);
    thread::sleep(Duration::from_millis(200));
    let entries = vec![entry("s-a", a, "up", 0), entry("s-b", b, "up", 0), entry("s-c", c, "up", 0)];
    let other = Discovery::start(9, entries);
    std::fs::write(&path, config(house.listen, other.address, 128)).expect("written");
    house.signal(Signal::HUP);
    assert!(newer.until(&["s-c"]).is_some());

    house.signal(Signal::TERM);
    assert_eq!(house.ended(Duration::from_millis(700)), Some(0));
}

#[test]
fn strangers_are_let_go_and_proxies_find_room_among_them() {
    let a = endpoint();
    let discovery = Discovery::start(1, vec![entry("s-a", a, "up", 0)]);
    let mut house = House::start(discovery.address, 64);
    let mut first = house.join(1, false);
    assert!(first.until(&["\"full\":true"]).is_some());
    for garbage in ["GET / HTTP/1.1\r\nHost: x\r\n\r\n", "{\"t\":\"assign\"}\n", "\u{0}\u{1}\n"] {
        let mut stranger = house.connect();
        stranger.say(garbage);
        assert!(stranger.closes(), "{garbage:?}");
    }
    let mut endless = house.connect();
    let _ = endless.stream.write_all(&[b'x'; 1 << 17]);
    assert!(endless.closes());
    // Three times what the limit has room for; and one stream is silent for good.
    let mut mute: Vec<Proxy> = (0..100).map(|_| house.connect()).collect();
    let mut second = house.join(2, true);
    assert!(second.until(&["\"full\":true"]).is_some());
    assert!(mute.iter_mut().all(Proxy::closes));
    discovery.tell(vec![entry("s-a", a, "up", 0), entry("s-z", endpoint(), "up", 0)]);
    for proxy in [&mut first, &mut second] {
        assert!(proxy.until(&["s-z"]).is_some());
    }
    assert_eq!(house.ended(Duration::ZERO), None, "it still runs");
}

#[test]
fn a_broken_or_missing_configuration_is_named() {
    let missing = Command::new(PROGRAM).arg("platform").env_remove("LB_CONFIG").output().expect("runs");
    assert_eq!(missing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&missing.stderr).contains("LB_CONFIG"));
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let sound = config(address, address, 64);
    for (from, to, field) in [
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"zz\"", "seed"),
        ("\"discovery\":\"127.0.0.1:9\"", "\"discovery\":7", "discovery"),
        ("\"sockets\":64", "\"sockets\":-1", "limits.sockets"),
        ("\"settings\":{", "\"settings\":7,\"x\":{", "settings"),
        ("{\"", "{", "key must be a string"),
    ] {
        assert!(sound.contains(from), "{from}");
        std::fs::write(&path, sound.replacen(from, to, 1)).expect("written");
        let check = Command::new(PROGRAM).args(["platform", "--check"]).env("LB_CONFIG", &path).output();
        let check = check.expect("runs");
        let said = String::from_utf8_lossy(&check.stderr).into_owned();
        assert_eq!(check.status.code(), Some(2), "{said}");
        assert!(said.contains(field) && said.contains("config.json"), "{said}");
    }
}
