//! A scripted platform on loopback: a discovery service and endpoints, whose answers tests can change.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Value, json};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(6);

/// A discovery service whose endpoint list tests can change.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The index of the list, and its entries.
    pub list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl Discovery {
    pub fn start(index: u64, entries: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let list = Arc::new(Mutex::new((index, entries)));
        let discovery = Discovery { address: listener.local_addr().expect("bound"), list };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        discovery
    }

    /// Answers requests on a connection. A request with the current index waits up to 500 ms for a change.
    pub fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let mut writer = stream;
        while let Some(head) = read_head(&mut reader) {
            let since =
                head.split("since=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
            let deadline = Instant::now() + Duration::from_millis(500);
            while since.is_some_and(|since| since >= self.index()) && Instant::now() < deadline {
                thread::sleep(Duration::from_millis(10));
            }
            let (index, entries) = self.list.lock().expect("not poisoned").clone();
            let is_newer = since.is_none_or(|since| since < index);
            let entries = if is_newer { entries } else { Vec::new() };
            let body = json!({"index": index, "snapshot": is_newer, "endpoints": entries}).to_string();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn index(&self) -> u64 {
        self.list.lock().expect("not poisoned").0
    }

    /// Replaces the entries and increments the index.
    pub fn publish(&self, entries: Vec<Value>) {
        let mut list = self.list.lock().expect("not poisoned");
        *list = (list.0 + 1, entries);
    }
}

/// Reads the head of a request; `None` if the connection is closed.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Starts an endpoint that passes its health checks, and returns its address.
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

/// An endpoint that counts its health checks; tests can change the status of its answers.
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
                let head = format!("HTTP/1.1 {}\r\n", *current_status.lock().expect("not poisoned"));
                let body = "content-length: 8\r\nconnection: close\r\n\r\nbusy=0.2";
                let _ = stream.write_all((head + body).as_bytes());
                let _ = check_sender.send(());
            }
        });
        CheckedEndpoint { address, status, checks }
    }

    /// Changes the status line of the answers, and discards the checks received so far.
    pub fn set_status(&self, status: &'static str) {
        *self.status.lock().expect("not poisoned") = status;
        while self.checks.try_recv().is_ok() {}
    }

    /// Waits for this many health checks.
    pub fn wait_for_checks(&self, count: usize) {
        (0..count).for_each(|_| self.checks.recv_timeout(TEST_TIMEOUT).expect("a health check"));
    }
}

/// Returns an entry of the endpoint list.
pub fn entry(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "std", "group": 1,
        "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}
