//! A case of the project's own proxy: endpoints that answer in two chunks, a client, and one endpoint that hangs.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::{free_addresses, kill, prctl};

const ENDPOINTS: usize = 6;
/// The time after which the client gives up (patience), and how much later an answer is lost.
const PATIENCE_MS: u64 = 6_000;
const LOST_AFTER_MS: u64 = 500;
/// The time between the head with the first half of the body, and the second half.
const HALF_MS: u64 = 300;

struct Day {
    started: Instant,
    record: Mutex<File>,
    /// True while endpoint 0 takes requests and answers none.
    hangs: AtomicBool,
}

impl Day {
    fn note(&self, text: &str) {
        let now = self.started.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(self.record.lock().unwrap(), "{now:9.1} {text}");
    }

    fn wait_while_hanging(&self, number: usize) {
        while number == 0 && self.hangs.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(5));
        }
    }
}

/// Serves requests, each with a chunked body in two halves. The connection stays open.
fn serve_endpoint(day: Arc<Day>, number: usize, listener: TcpListener) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let day = day.clone();
            spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                let mut writer = stream;
                loop {
                    let mut head = String::new();
                    loop {
                        let before = head.len();
                        if reader.read_line(&mut head).is_ok_and(|read| read > 0) {
                            if head[before..].trim().is_empty() {
                                break;
                            }
                        } else {
                            return;
                        }
                    }
                    let path = head.split_whitespace().nth(1).unwrap_or_default().to_string();
                    day.note(&format!("endpoint e{number} runs {path}"));
                    day.wait_while_hanging(number);
                    let first = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n";
                    if writer.write_all(first.as_bytes()).is_err() {
                        return;
                    }
                    sleep(Duration::from_millis(HALF_MS));
                    day.wait_while_hanging(number);
                    if writer.write_all(b"6\r\nsecond\r\n0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// What a client got by the end of its time and half a second more.
fn ask(proxy: SocketAddr, path: &str) -> Result<String, String> {
    let deadline = Instant::now() + Duration::from_millis(PATIENCE_MS + LOST_AFTER_MS);
    let mut stream = TcpStream::connect(proxy).map_err(|error| error.to_string())?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: lookup\r\nx-patience-ms: {PATIENCE_MS}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let got = String::from_utf8_lossy(&answer);
            return Err(format!("no end of the answer; got {:?}", got.lines().next().unwrap_or_default()));
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => answer.extend_from_slice(&buffer[..read]),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error.to_string()),
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split_whitespace().nth(1).unwrap_or("none").to_string();
    // Any whole answer is a final one: a refusal or an error too. So is one that breaks off visibly.
    let is_chunked = text.to_ascii_lowercase().contains("transfer-encoding: chunked");
    let is_whole = !is_chunked || text.ends_with("0\r\n\r\n");
    Ok(if is_whole { status } else { format!("{status}, broken off") })
}

pub fn play(record: &str, trouble: bool) -> Result<ExitCode, String> {
    let text = |error: std::io::Error| error.to_string();
    let day = Arc::new(Day {
        started: Instant::now(),
        record: Mutex::new(File::create(record).map_err(text)?),
        hangs: AtomicBool::new(false),
    });
    let mut listeners = free_addresses(ENDPOINTS + 1).map_err(text)?;
    let proxy = listeners.pop().ok_or("no address")?.local_addr().map_err(text)?;
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(text)?;
    let mut standing = String::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let address = listener.local_addr().map_err(text)?;
        standing += &format!("<server name=\"e{number}\" address=\"{address}\"/>");
        serve_endpoint(day.clone(), number, listener);
    }
    let path = folder.join("proxy.xml");
    let settings = format!(
        "<proxy name=\"r1\"><visits address=\"{proxy}\"/><control address=\"unix:{}\"/>\
         <choosing way=\"wheel\" shuns-after=\"5\" shuns-for=\"4s\"/>\
         <classes><class name=\"recent-calls\" patience=\"6s\"/></classes><standing>{standing}</standing></proxy>",
        folder.join("r1.sock").display()
    );
    std::fs::write(&path, &settings).map_err(text)?;
    day.note(&format!("settings of the proxy: {settings}"));
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(format!("exec target/release/lockcroft proxy {}", path.display()));
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(File::create(folder.join("proxy.log")).map_err(text)?);
    // The proxy ends with the stand-in, however that ends.
    unsafe {
        command.pre_exec(|| {
            prctl(1, crate::SIGKILL as u64);
            Ok(())
        });
    }
    let mut child = command.spawn().map_err(text)?;
    let ready = Instant::now() + Duration::from_secs(10);
    while ask(proxy, "/recent-calls/ready").is_err() {
        if Instant::now() > ready {
            let _ = child.kill();
            return Err("the proxy does not answer".into());
        }
        sleep(Duration::from_millis(50));
    }
    let lost = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    let begin = Instant::now();
    let mut number = 0;
    while begin.elapsed() < Duration::from_secs(20) {
        let since = begin.elapsed().as_secs_f64();
        let hangs = trouble && (4.0..16.0).contains(&since);
        if day.hangs.swap(hangs, Ordering::Relaxed) != hangs {
            day.note(if hangs { "endpoint e0 hangs" } else { "endpoint e0 goes on" });
        }
        number += 1;
        let (day, lost, answered) = (day.clone(), lost.clone(), answered.clone());
        clients.push(spawn(move || {
            let path = format!("/recent-calls/{number}");
            day.note(&format!("client sends {path}"));
            let sent = Instant::now();
            let got = ask(proxy, &path);
            let took = sent.elapsed().as_millis();
            match got {
                Ok(status) => {
                    answered.fetch_add(1, Ordering::Relaxed);
                    day.note(&format!("client got {status} to {path} after {took} ms"));
                }
                Err(error) => {
                    lost.fetch_add(1, Ordering::Relaxed);
                    day.note(&format!("BROKEN: {path} has no final answer after {took} ms, patience {PATIENCE_MS} ms: {error}"));
                }
            }
        }));
        sleep(Duration::from_millis(25));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let ended = child.try_wait().ok().flatten();
    unsafe { kill(child.id() as i32, crate::SIGKILL) };
    let _ = child.wait();
    let _ = std::fs::remove_dir_all(&folder);
    let (lost, answered) = (lost.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    let summary = format!(
        "{lost} of {number} requests got no final answer within their time and 0.5 s; {answered} got one"
    );
    day.note(&summary);
    println!("{summary}");
    if let Some(status) = ended {
        return Err(format!("the proxy ended: {status}"));
    }
    Ok(ExitCode::from(u8::from(lost > 0)))
}
