//! Requests a second through one proxy on one core, and the latency that it adds, against the same load
//! sent to the endpoint directly. Load, endpoint and proxy each have a thread of their own.
//! Run: cargo bench -p lockcroft-proxy --bench forward

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lockcroft_proxy::{Proxy, ProxyConfig};
use lockcroft_runtime_api::{Address, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

const CLIENTS: usize = 64;
const SPAN: Duration = Duration::from_secs(5);
/// Latencies are reported as the median of this many windows, and the worst, as other load may disturb some.
const WINDOWS: usize = 20;

/// Runs on a thread of its own, and gives one value back.
fn on_own_thread<T: Send + 'static, F: Future<Output = ()>>(
    name: &str,
    work: impl FnOnce(mpsc::Sender<T>) -> F + Send + 'static,
) -> T {
    let (sender, got) = mpsc::channel();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, work(sender));
    };
    std::thread::Builder::new().name(name.into()).spawn(run).expect("a thread");
    got.recv().expect("it starts")
}

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers each head at once; as little work as an endpoint can do.
async fn endpoint(started: mpsc::Sender<SocketAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    started.send(listener.local_addr().expect("bound")).expect("awaited");
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        spawn_local(async move {
            let mut bytes = vec![0; 4096];
            let mut seen = 0;
            while let Ok(read) = stream.read(&mut bytes[seen..]).await {
                seen += read;
                if read == 0 {
                    return;
                }
                if bytes[..seen].ends_with(b"\r\n\r\n") {
                    seen = 0;
                    if stream.write_all(ANSWER).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

async fn send_request(stream: &mut TcpStream, bytes: &mut [u8]) -> bool {
    let request = b"GET /look HTTP/1.1\r\nhost: x\r\nx-patience-ms: 2000\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut seen = 0;
    loop {
        match stream.read(&mut bytes[seen..]).await {
            Ok(read) if read > 0 => seen += read,
            _ => return false,
        }
        // The body is two letters behind the head.
        if bytes[..seen].windows(4).position(|four| four == b"\r\n\r\n").is_some_and(|end| seen >= end + 6) {
            return bytes.starts_with(b"HTTP/1.1 200");
        }
    }
}

/// Requests answered per second, and their latencies in microseconds from when they were due. Without a rate
/// each client sends the next request once the last is answered.
async fn load(to: SocketAddr, rate: Option<f64>) -> (f64, Vec<Histogram<u64>>) {
    let empty = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let times = std::rc::Rc::new(std::cell::RefCell::new(vec![empty; WINDOWS]));
    // All connect and call once before it counts.
    let started_at = Instant::now() + Duration::from_millis(300);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let times = times.clone();
            spawn_local(async move {
                let (mut stream, mut bytes) = (TcpStream::connect(to).await.expect("connected"), [0; 1024]);
                let _ = stream.set_nodelay(true);
                send_request(&mut stream, &mut bytes).await;
                tokio::time::sleep_until(started_at.into()).await;
                let gap = rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(CLIENTS as f64 / rate));
                let mut due = started_at + gap.mul_f64(client as f64 / CLIENTS as f64);
                while started_at.elapsed() < SPAN {
                    if rate.is_some() {
                        // Timers are a millisecond coarse and would send in bursts: this thread spins.
                        while Instant::now() < due {
                            tokio::task::yield_now().await;
                        }
                    }
                    let sent = if rate.is_some() { due } else { Instant::now() };
                    if send_request(&mut stream, &mut bytes).await {
                        let window = sent.saturating_duration_since(started_at).as_nanos() * WINDOWS as u128
                            / SPAN.as_nanos();
                        let window = (window as usize).min(WINDOWS - 1);
                        times.borrow_mut()[window].saturating_record(sent.elapsed().as_micros() as u64);
                    }
                    due += gap;
                }
            })
        })
        .collect();
    for client in clients {
        client.await.expect("ended");
    }
    let all = times.borrow().clone();
    let count: u64 = all.iter().map(Histogram::len).sum();
    (count as f64 / started_at.elapsed().as_secs_f64(), all)
}

fn report(name: &str, to: SocketAddr, rate: Option<f64>) -> f64 {
    let name = name.to_string();
    on_own_thread("load", move |done| async move {
        let (got, times) = load(to, rate).await;
        let at = |quantile: f64| {
            let mut all: Vec<u64> = times.iter().map(|window| window.value_at_quantile(quantile)).collect();
            all.sort_unstable();
            all[WINDOWS / 2]
        };
        let worst = times.iter().map(|window| window.value_at_quantile(0.99)).max().unwrap_or(0);
        let (p50, p99, p999) = (at(0.5), at(0.99), at(0.999));
        println!(
            "{name:44} {got:7.0} requests/s  p50 {p50:5} p99 {p99:5} p99.9 {p999:6} us, p99 of the worst window {worst:6}"
        );
        let _ = done.send(got);
    })
}

fn proxy(endpoint: SocketAddr, socket: std::path::PathBuf) -> SocketAddr {
    on_own_thread("proxy", move |started| async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let classes = vec![("look".to_string(), Duration::from_secs(2))];
        let mut config = ProxyConfig::new("p", any, vec![Address::Unix(socket)], classes);
        config.default_table = vec![("e1".into(), endpoint)];
        let proxy = Proxy::start(config).await.expect("started");
        started.send(proxy.request_address).expect("awaited");
        std::future::pending::<()>().await;
    })
}

fn commands(socket: &std::path::Path, command: impl Fn(usize) -> String, at_once: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let address = Address::Unix(socket.to_path_buf());
    for some in (0..600).collect::<Vec<_>>().chunks(at_once) {
        let lines: Vec<String> = some.iter().map(|i| command(*i)).collect();
        let _ = runtime.block_on(request(&address, &lines.join("; "), Duration::from_secs(5)));
    }
}

/// Changes 600 entries, in batches of 300, again and again.
fn change_weights(socket: &std::path::Path) {
    let started_at = Instant::now();
    let mut weight = 1;
    while started_at.elapsed() < SPAN {
        weight = 3 - weight;
        commands(socket, |i| format!("set weight standing/x{i} {weight}"), 300);
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn main() {
    let endpoint = on_own_thread("endpoint", endpoint);
    let folder = std::env::temp_dir().join(format!("forward-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let socket = folder.join("p.sock");
    let through = proxy(endpoint, socket.clone());
    report("warm-up, discarded", through, None);
    report("direct to the endpoint, as many as go", endpoint, None);
    let most = report("through the proxy, as many as go", through, None);
    let half = Some(most / 2.0);
    report("direct, at half of that", endpoint, half);
    report("through the proxy, at half of that", through, half);
    let add = |i| format!("add server standing/x{i} {endpoint} weight 1; enable server standing/x{i}");
    commands(&socket, add, 100);
    report("warm-up with 600 entries, discarded", through, half);
    report("the same, with 600 entries", through, half);
    let changing = {
        let socket = socket.clone();
        std::thread::spawn(move || change_weights(&socket))
    };
    report("the same, the 600 changed every 20 ms", through, half);
    let _ = changing.join();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let enable = "set var proc.level_look int(1000); set var proc.again_look int(1)";
    let _ = runtime.block_on(request(&Address::Unix(socket), enable, Duration::from_secs(5)));
    report("admission and retries on, as many as go", through, None);
    let _ = std::fs::remove_dir_all(folder);
}
