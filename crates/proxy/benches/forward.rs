//! Measures the throughput of one proxy on one core and the latency that it adds, compared with the same load sent
//! directly to the endpoint. Load generator, endpoint and proxy each run on a separate thread.
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
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// The number of time windows over which the median and the worst latency are reported, as other load on the
/// machine may disturb some of them.
const WINDOWS: usize = 20;

/// Runs a task on a new thread and waits for the value that it sends.
fn on_own_thread<T: Send + 'static, F: Future<Output = ()>>(
    name: &str,
    work: impl FnOnce(mpsc::Sender<T>) -> F + Send + 'static,
) -> T {
    let (sender, receiver) = mpsc::channel();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, work(sender));
    };
    std::thread::Builder::new().name(name.into()).spawn(run).expect("a thread");
    receiver.recv().expect("a value from the thread")
}

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Runs an endpoint that answers each request head immediately, with as little work as possible.
async fn run_endpoint(started: mpsc::Sender<SocketAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    started.send(listener.local_addr().expect("bound")).expect("awaited");
    while let Ok((mut stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        spawn_local(async move {
            let mut bytes = vec![0; 4096];
            let mut length = 0;
            while let Ok(read) = stream.read(&mut bytes[length..]).await {
                length += read;
                if read == 0 {
                    return;
                }
                if bytes[..length].ends_with(b"\r\n\r\n") {
                    length = 0;
                    if stream.write_all(RESPONSE).await.is_err() {
                        return;
                    }
                }
            }
        });
    }
}

/// Sends a request and returns true if it was answered with status 200.
async fn send_request(stream: &mut TcpStream, bytes: &mut [u8]) -> bool {
    let request = b"GET /look HTTP/1.1\r\nhost: x\r\nx-patience-ms: 2000\r\n\r\n";
    if stream.write_all(request).await.is_err() {
        return false;
    }
    let mut length = 0;
    loop {
        match stream.read(&mut bytes[length..]).await {
            Ok(read) if read > 0 => length += read,
            _ => return false,
        }
        // The head ends with an empty line (4 bytes), and the body has 2 bytes.
        if bytes[..length]
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .is_some_and(|end| length >= end + 6)
        {
            return bytes.starts_with(b"HTTP/1.1 200");
        }
    }
}

/// Returns the number of requests answered per second, and for each window a histogram of their latencies in
/// microseconds. With a rate, requests are sent at scheduled times, from which latencies are measured; without one,
/// each client sends its next request once the last is answered.
async fn generate_load(to: SocketAddr, rate: Option<f64>) -> (f64, Vec<Histogram<u64>>) {
    let empty = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let histograms = std::rc::Rc::new(std::cell::RefCell::new(vec![empty; WINDOWS]));
    // All clients connect and send one request before the measurement starts.
    let started_at = Instant::now() + Duration::from_millis(300);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let histograms = histograms.clone();
            spawn_local(async move {
                let (mut stream, mut bytes) = (TcpStream::connect(to).await.expect("connected"), [0; 1024]);
                let _ = stream.set_nodelay(true);
                send_request(&mut stream, &mut bytes).await;
                tokio::time::sleep_until(started_at.into()).await;
                let interval =
                    rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(CLIENTS as f64 / rate));
                let mut scheduled_at = started_at + interval.mul_f64(client as f64 / CLIENTS as f64);
                while started_at.elapsed() < LOAD_DURATION {
                    if rate.is_some() {
                        // Timers have a resolution of a millisecond and would cause bursts, so this thread spins.
                        while Instant::now() < scheduled_at {
                            tokio::task::yield_now().await;
                        }
                    }
                    let sent_at = if rate.is_some() { scheduled_at } else { Instant::now() };
                    if send_request(&mut stream, &mut bytes).await {
                        let window = sent_at.saturating_duration_since(started_at).as_nanos()
                            * WINDOWS as u128
                            / LOAD_DURATION.as_nanos();
                        let window = (window as usize).min(WINDOWS - 1);
                        histograms.borrow_mut()[window]
                            .saturating_record(sent_at.elapsed().as_micros() as u64);
                    }
                    scheduled_at += interval;
                }
            })
        })
        .collect();
    for client in clients {
        client.await.expect("finished");
    }
    let all = histograms.borrow().clone();
    let count: u64 = all.iter().map(Histogram::len).sum();
    (count as f64 / started_at.elapsed().as_secs_f64(), all)
}

/// Generates load and prints throughput and latencies. Returns the number of requests per second.
fn report(name: &str, to: SocketAddr, rate: Option<f64>) -> f64 {
    let name = name.to_string();
    on_own_thread("load", move |sender| async move {
        let (requests_per_s, histograms) = generate_load(to, rate).await;
        let median_at = |quantile: f64| {
            let mut values: Vec<u64> =
                histograms.iter().map(|window| window.value_at_quantile(quantile)).collect();
            values.sort_unstable();
            values[WINDOWS / 2]
        };
        let worst = histograms.iter().map(|window| window.value_at_quantile(0.99)).max().unwrap_or(0);
        let (p50, p99, p999) = (median_at(0.5), median_at(0.99), median_at(0.999));
        println!(
            "{name:44} {requests_per_s:7.0} requests/s  p50 {p50:5} p99 {p99:5} p99.9 {p999:6} us, p99 of the worst window {worst:6}"
        );
        let _ = sender.send(requests_per_s);
    })
}

/// Starts a proxy with this endpoint and returns its address for requests.
fn start_proxy(endpoint: SocketAddr, socket: std::path::PathBuf) -> SocketAddr {
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

/// Sends a command for each of 600 entries, in lines of `batch_size` commands.
fn send_commands(socket: &std::path::Path, command: impl Fn(usize) -> String, batch_size: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let address = Address::Unix(socket.to_path_buf());
    for batch in (0..600).collect::<Vec<_>>().chunks(batch_size) {
        let lines: Vec<String> = batch.iter().map(|i| command(*i)).collect();
        let _ = runtime.block_on(request(&address, &lines.join("; "), Duration::from_secs(5)));
    }
}

/// Changes the weights of 600 entries repeatedly, in batches of 300, until the measurement ends.
fn change_weights(socket: &std::path::Path) {
    let started_at = Instant::now();
    let mut weight = 1;
    while started_at.elapsed() < LOAD_DURATION {
        weight = 3 - weight;
        send_commands(socket, |i| format!("set weight standing/x{i} {weight}"), 300);
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn main() {
    let endpoint = on_own_thread("endpoint", run_endpoint);
    let folder = std::env::temp_dir().join(format!("forward-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let socket = folder.join("p.sock");
    let through_proxy = start_proxy(endpoint, socket.clone());
    report("warm-up, discarded", through_proxy, None);
    report("direct to the endpoint, at maximum rate", endpoint, None);
    let maximum = report("through the proxy, at maximum rate", through_proxy, None);
    let half = Some(maximum / 2.0);
    report("direct, at half of that rate", endpoint, half);
    report("through the proxy, at half of that rate", through_proxy, half);
    let add = |i| format!("add server standing/x{i} {endpoint} weight 1; enable server standing/x{i}");
    send_commands(&socket, add, 100);
    report("warm-up with 600 entries, discarded", through_proxy, half);
    report("the same, with 600 entries", through_proxy, half);
    let changing = {
        let socket = socket.clone();
        std::thread::spawn(move || change_weights(&socket))
    };
    report("the same, all 600 changed every 20 ms", through_proxy, half);
    let _ = changing.join();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let enable = "set var proc.level_look int(1000); set var proc.again_look int(1)";
    let _ = runtime.block_on(request(&Address::Unix(socket), enable, Duration::from_secs(5)));
    report("admission and retries on, at maximum rate", through_proxy, None);
    let _ = std::fs::remove_dir_all(folder);
}
