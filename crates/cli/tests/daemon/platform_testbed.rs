//! A scripted platform on loopback: a discovery and endpoints whose answers tests change.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Value, json};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(6);

/// A discovery whose list tests change.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl Discovery {
    pub fn start(index: u64, entries: Vec<Value>) -> Self {
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

    pub fn serve(&self, stream: TcpStream) {
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

    pub fn index(&self) -> u64 {
        self.list.lock().expect("held").0
    }

    pub fn publish(&self, entries: Vec<Value>) {
        let mut list = self.list.lock().expect("held");
        *list = (list.0 + 1, entries);
    }
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// An endpoint that passes its health checks.
pub fn endpoint() -> SocketAddr {
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

/// An endpoint whose answers to health checks tests change, and which counts the checks.
pub struct CheckedEndpoint {
    pub address: SocketAddr,
    status: Arc<Mutex<&'static str>>,
    checks: mpsc::Receiver<()>,
}

impl CheckedEndpoint {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("bound");
        let status = Arc::new(Mutex::new("200 OK"));
        let (check_sender, checks) = mpsc::channel();
        let current_status = status.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.read(&mut [0; 1024]);
                let head = format!("HTTP/1.1 {}\r\n", *current_status.lock().expect("held"));
                let body = "content-length: 8\r\nconnection: close\r\n\r\nbusy=0.2";
                let _ = stream.write_all((head + body).as_bytes());
                let _ = check_sender.send(());
            }
        });
        CheckedEndpoint { address, status, checks }
    }

    pub fn answer(&self, status: &'static str) {
        *self.status.lock().expect("held") = status;
        while self.checks.try_recv().is_ok() {}
    }

    /// Waits for this many checks.
    pub fn wait_for_checks(&self, times: usize) {
        (0..times).for_each(|_| self.checks.recv_timeout(TEST_TIMEOUT).expect("it is asked"));
    }
}

pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 1,
        "status": status, "weight": 1.0, "since_ms": since_ms})
}

pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("later").as_millis() as u64
}
