//! Small stand-ins for the review: an HTTP endpoint, an HTTP client and a finder of free ports. Standard library only.
//! Times in records are Unix milliseconds.

use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("ports") => ports(args[1].parse().expect("a count")),
        Some("now") => println!("{}", now_ms()),
        Some("endpoint") => endpoint(&Options(args)),
        Some("client") => client(&Options(args)),
        _ => {
            eprintln!("usage: standins ports N | now | endpoint ... | client ...");
            std::process::exit(2);
        }
    }
}

struct Options(Vec<String>);

impl Options {
    fn find(&self, name: &str) -> Option<&str> {
        let position = self.0.iter().position(|arg| arg == name)?;
        self.0.get(position + 1).map(String::as_str)
    }

    fn text(&self, name: &str) -> &str {
        self.find(name).unwrap_or_else(|| panic!("{name} is missing"))
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        self.find(name).map_or(default, |text| text.parse().expect("a number"))
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970").as_millis()
}

/// Appends a line in one write, so that lines of several processes do not mix.
fn record(path: &Path, line: &str) {
    let mut file = OpenOptions::new().create(true).append(true).open(path).expect("the record opens");
    file.write_all(format!("{} {line}\n", now_ms()).as_bytes()).expect("the record is written");
}

/// Prints N ports that are free now, below the range from which the system gives ports to outgoing connections.
fn ports(count: usize) {
    let mut seed = u64::from(std::process::id()) ^ now_ms() as u64;
    let mut held = Vec::new();
    while held.len() < count {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let port = 12_000 + ((seed >> 33) % 18_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            println!("{port}");
            held.push(listener);
        }
    }
}

/// Serves HTTP/1.1: `GET /health` answers 200, any other request is recorded and answered 200 with the endpoint's name.
/// `--body chunked` answers in two chunks, the second one `--work-ms` after the first.
fn endpoint(options: &Options) {
    let listen: SocketAddr = options.text("--listen").parse().expect("an address");
    let listener = TcpListener::bind(listen).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let name = options.text("--name").to_string();
        let path = PathBuf::from(options.text("--record"));
        let chunked = options.find("--body") == Some("chunked");
        let work = options.number("--work-ms", 5);
        spawn(move || {
            let _ = serve(stream, &name, &path, chunked, work);
        });
    }
}

fn serve(stream: TcpStream, name: &str, path: &Path, chunked: bool, work: u64) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let local = stream.local_addr()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_head(&mut reader)? {
        let mut body = vec![0; request.length];
        reader.read_exact(&mut body)?;
        if request.target == "/health" {
            writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")?;
            continue;
        }
        let (id, table) = (request.header("x-visit"), request.header("x-table"));
        record(path, &format!("run {name} at {local} request {id} {} table {table}", request.target));
        if chunked {
            let half = format!("{:x}\r\n{name} \r\n", name.len() + 1);
            writer.write_all(format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{half}").as_bytes())?;
            sleep(Duration::from_millis(work));
            writer.write_all(b"4\r\ndone\r\n0\r\n\r\n")?;
        } else {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{name}", name.len());
            writer.write_all(head.as_bytes())?;
        }
    }
    Ok(())
}

struct Head {
    /// The request's target, or the response's status.
    target: String,
    headers: Vec<(String, String)>,
    length: usize,
}

impl Head {
    fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(header, _)| header == name).map_or("-", |(_, value)| value)
    }
}

/// Reads a head; `None` at the end of the input.
fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or_default().trim().to_string();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut head = Head { target, headers, length: 0 };
    head.length = head.header("content-length").parse().unwrap_or(0);
    Ok(Some(head))
}

/// Sends one GET after another, each on a connection of its own, and records what was sent and answered. A client waits
/// for `--wait-ms` at most, then gives up and resets nothing: it closes.
fn client(options: &Options) {
    let to: SocketAddr = options.text("--to").parse().expect("an address");
    let path = PathBuf::from(options.text("--record"));
    let class = options.text("--class").to_string();
    let patience = options.number("--patience-ms", 2000);
    let wait = Duration::from_millis(options.number("--wait-ms", patience + 500));
    let pause = Duration::from_millis(options.number("--every-ms", 50));
    let end = Instant::now() + Duration::from_millis(options.number("--for-ms", 1000));
    let prefix = options.find("--prefix").unwrap_or("c").to_string();
    let mut requests = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{prefix}{number}");
        let (path, class) = (path.clone(), class.clone());
        requests.push(spawn(move || {
            record(&path, &format!("sent request {id}"));
            let started = Instant::now();
            let answer = ask(to, &class, &id, patience, wait)
                .unwrap_or_else(|error| format!("no answer: {error}"));
            record(&path, &format!("answered request {id} after {} ms: {answer}", started.elapsed().as_millis()));
        }));
        sleep(pause);
    }
    for request in requests {
        let _ = request.join();
    }
}

fn ask(to: SocketAddr, class: &str, id: &str, patience: u64, wait: Duration) -> std::io::Result<String> {
    let deadline = Instant::now() + wait;
    let stream = TcpStream::connect_timeout(&to, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(50)))?;
    let request = format!(
        "GET /{class}/x HTTP/1.1\r\nhost: {to}\r\nx-visit: {id}\r\nx-patience-ms: {patience}\r\n\
         connection: close\r\n\r\n"
    );
    (&stream).write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        match (&stream).read(&mut piece) {
            Ok(0) => break,
            Ok(read) => bytes.extend_from_slice(&piece[..read]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if Instant::now() >= deadline {
                    let text = String::from_utf8_lossy(&bytes);
                    return Ok(format!("unfinished when the client stopped waiting: {text:?}"));
                }
            }
            Err(error) => return Err(error),
        }
    }
    let text = String::from_utf8_lossy(&bytes).to_string();
    let status = text.split(' ').nth(1).unwrap_or("none").to_string();
    let complete = match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.to_ascii_lowercase().contains("transfer-encoding: chunked") => {
            body.ends_with("0\r\n\r\n")
        }
        Some(_) => true,
        None => false,
    };
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let complete = if complete { "complete" } else { "incomplete" };
    Ok(format!("status {status} {complete} {body:?}"))
}
