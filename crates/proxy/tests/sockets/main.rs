//! Tests of the proxy over sockets: failing endpoints, retries, slow and silent clients, and control
//! connections.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockcroft_proxy::{Proxy, ProxyConfig};
use lockcroft_runtime_api::{Address, connect, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

mod abandonment;
mod shutdown;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const REJECTED_UNREAD: &str = "HTTP/1.1 503 Busy\r\nx-unread: 1\r\ncontent-length: 0\r\n\r\n";

/// The behavior of a test endpoint after it has received a complete request head.
#[derive(Clone, Copy)]
enum Behavior {
    /// Sends this text and keeps the connection open.
    Answers(&'static str),
    /// Sends this text and closes the connection.
    AnswersAndCloses(&'static str),
    /// Sends [`OK`] after this delay.
    AnswersAfter(Duration),
    NeverAnswers,
    /// Closes each connection without reading from it.
    ClosesOnAccept,
}

/// Starts an endpoint. Returns its address and the number of request heads that it received.
async fn start_endpoint(behavior: Behavior) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let head_count = Rc::new(Cell::new(0));
    let endpoint_head_count = head_count.clone();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let head_count = endpoint_head_count.clone();
            spawn_local(async move {
                if matches!(behavior, Behavior::ClosesOnAccept) {
                    return;
                }
                let (mut bytes, mut received) = (vec![0; 300_000], 0);
                while let Ok(read @ 1..) = stream.read(&mut bytes[received..]).await {
                    received += read;
                    if !bytes[..received].windows(4).any(|window| window == b"\r\n\r\n") {
                        continue;
                    }
                    received = 0;
                    head_count.set(head_count.get() + 1);
                    match behavior {
                        Behavior::Answers(text) => drop(stream.write_all(text.as_bytes()).await),
                        Behavior::AnswersAndCloses(text) => {
                            let _ = stream.write_all(text.as_bytes()).await;
                            return;
                        }
                        Behavior::AnswersAfter(delay) => {
                            sleep(delay).await;
                            let _ = stream.write_all(OK.as_bytes()).await;
                        }
                        Behavior::NeverAnswers | Behavior::ClosesOnAccept => std::future::pending().await,
                    }
                }
            });
        }
    });
    (address, head_count)
}

/// A running proxy with one control address.
struct Fixture {
    proxy: Proxy,
    control: Address,
    _folder: tempfile::TempDir,
}

/// Starts a proxy with these endpoints, named `e0`, `e1` and so on, in its default table. Retries are enabled
/// for the class `look`; `configure` changes the configuration before the start.
async fn start_proxy(endpoints: &[SocketAddr], configure: impl FnOnce(&mut ProxyConfig)) -> Fixture {
    let folder = tempfile::tempdir().expect("a folder");
    let control = Address::Unix(folder.path().join("c.sock"));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let classes = vec![("look".to_string(), Duration::from_millis(700))];
    let mut config = ProxyConfig::new("p", any_port, vec![control.clone()], classes);
    config.default_table =
        endpoints.iter().enumerate().map(|(index, address)| (format!("e{index}"), *address)).collect();
    configure(&mut config);
    let proxy = Proxy::start(config).await.expect("started");
    let fixture = Fixture { proxy, control, _folder: folder };
    fixture.command("set var proc.again_look int(1)").await;
    fixture
}

impl Fixture {
    /// Sends a line of commands over a new control connection and returns the answer.
    async fn command(&self, line: &str) -> String {
        request(&self.control, line, Duration::from_secs(5)).await.expect("answered")
    }

    /// Sends a request and returns the status code of the response.
    async fn request_status(&self) -> u16 {
        status_code(&self.send_raw("GET /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await)
    }

    /// Sends this text over a new client connection and returns everything that is received until the
    /// connection is closed.
    async fn send_raw(&self, text: &str) -> String {
        let mut stream = TcpStream::connect(self.proxy.request_address).await.expect("connected");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut response = Vec::new();
        let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut response))
            .await
            .expect("the connection is closed in time");
        String::from_utf8_lossy(&response).into_owned()
    }
}

/// Returns the status code of a response, or 0 if there is none.
fn status_code(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Runs a test on a runtime of one thread with a `LocalSet`, as the proxy requires.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Sends a request to a proxy whose first endpoint behaves like this and whose second endpoint is healthy.
/// Returns the status code of the response, and the number of requests that each endpoint received.
async fn request_with_faulty_endpoint(behavior: Behavior) -> (u16, usize, usize) {
    let (faulty, healthy) = (start_endpoint(behavior).await, start_endpoint(Behavior::Answers(OK)).await);
    let fixture = start_proxy(&[faulty.0, healthy.0], |_| {}).await;
    // The entry with the greater weight is chosen first.
    fixture.command("set weight standing/e1 1").await;
    let status = fixture.request_status().await;
    (status, faulty.1.get(), healthy.1.get())
}

#[test]
fn a_request_that_may_have_been_executed_is_not_retried() {
    run(async {
        assert_eq!(request_with_faulty_endpoint(Behavior::NeverAnswers).await, (504, 1, 0));
        assert_eq!(request_with_faulty_endpoint(Behavior::AnswersAndCloses("HT")).await, (502, 1, 0));
        assert_eq!(request_with_faulty_endpoint(Behavior::AnswersAndCloses("")).await, (502, 1, 0));
        assert_eq!(
            request_with_faulty_endpoint(Behavior::AnswersAndCloses(
                "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhal"
            ))
            .await,
            (502, 1, 0)
        );
        assert_eq!(
            request_with_faulty_endpoint(Behavior::Answers("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"))
                .await,
            (500, 1, 0)
        );
        // The endpoint closed the connection without a response: the request was written and may have been
        // executed.
        let (status, _, second) = request_with_faulty_endpoint(Behavior::ClosesOnAccept).await;
        assert_eq!((status, second), (502, 0));
    });
}

#[test]
fn proof_of_non_execution_allows_one_retry() {
    run(async {
        assert_eq!(request_with_faulty_endpoint(Behavior::Answers(REJECTED_UNREAD)).await, (200, 1, 1));
        let unused_address = TcpListener::bind("127.0.0.1:0")
            .await
            .and_then(|listener| listener.local_addr())
            .expect("an address");
        let healthy = start_endpoint(Behavior::Answers(OK)).await;
        let first = start_proxy(&[unused_address, healthy.0], |_| {}).await;
        for _ in 0..4 {
            assert_eq!(first.request_status().await, 200);
        }
        assert_eq!(healthy.1.get(), 4);
        // No retry is made if retries are disabled for the class, and a third attempt never.
        first.command("set var proc.again_look int(0)").await;
        let statuses = [first.request_status().await, first.request_status().await];
        assert!(statuses.contains(&502) && statuses.contains(&200), "{statuses:?}");
        let (one, two, three) = (
            start_endpoint(Behavior::Answers(REJECTED_UNREAD)).await,
            start_endpoint(Behavior::Answers(REJECTED_UNREAD)).await,
            start_endpoint(Behavior::Answers(REJECTED_UNREAD)).await,
        );
        let all = start_proxy(&[one.0, two.0, three.0], |_| {}).await;
        assert_eq!(all.request_status().await, 503);
        assert_eq!(one.1.get() + two.1.get() + three.1.get(), 2);
    });
}

#[test]
fn the_budget_limits_retries_and_streamed_bodies_are_not_retried() {
    run(async {
        let (faulty, healthy) = (
            start_endpoint(Behavior::Answers(REJECTED_UNREAD)).await,
            start_endpoint(Behavior::Answers(OK)).await,
        );
        let fixture = start_proxy(&[faulty.0, healthy.0], |config| {
            (config.retry_ratio, config.max_buffered_body_bytes) = (0.01, 1000)
        })
        .await;
        fixture.command("set weight standing/e1 1").await;
        for _ in 0..20 {
            fixture.request_status().await;
        }
        assert!(healthy.1.get() <= 2, "{} retries for 20 first attempts", healthy.1.get());
        let body = "x".repeat(200_000);
        let large_request = format!(
            "POST /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let before = healthy.1.get();
        assert_eq!(status_code(&fixture.send_raw(&large_request).await), 503);
        assert_eq!(healthy.1.get(), before);
    });
}

/// Guards against a failed attempt on an idle connection that the endpoint has closed: the request is sent
/// over a new connection, and this counts as the same attempt.
#[test]
fn a_closed_idle_connection_is_replaced() {
    run(async {
        let (closing, head_count) = start_endpoint(Behavior::AnswersAndCloses(OK)).await;
        let fixture = start_proxy(&[closing], |_| {}).await;
        for _ in 0..5 {
            assert_eq!(fixture.request_status().await, 200);
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(head_count.get(), 5);
    });
}

#[test]
fn a_deleted_endpoint_finishes_its_requests_and_gets_no_more() {
    run(async {
        let (slow, head_count) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(300))).await;
        let fixture = Rc::new(start_proxy(&[slow], |_| {}).await);
        let in_flight = spawn_local({
            let fixture = fixture.clone();
            async move { fixture.request_status().await }
        });
        sleep(Duration::from_millis(100)).await;
        assert!(
            fixture
                .command("set server standing/e0 state maint; del server standing/e0")
                .await
                .contains("deleted")
        );
        assert_eq!(fixture.request_status().await, 503, "no endpoint is left");
        assert_eq!(in_flight.await.expect("ended"), 200);
        assert_eq!(head_count.get(), 1);
        assert!(
            fixture
                .send_raw("GET /look HTTP/1.1\r\nconnection: close\r\n\r\n")
                .await
                .contains("retry-after: 1")
        );
        fixture.command("set map classes look t9").await;
        assert_eq!(fixture.request_status().await, 503, "the table of its class does not exist");
        assert_eq!(
            status_code(&fixture.send_raw("GET /other HTTP/1.1\r\nconnection: close\r\n\r\n").await),
            404
        );
    });
}

#[test]
fn an_admission_rate_applies_immediately_and_always_sheds_the_same_clients() {
    run(async {
        let (healthy, head_count) = start_endpoint(Behavior::Answers(OK)).await;
        let fixture = start_proxy(&[healthy], |_| {}).await;
        fixture.command("set var proc.level_look int(0)").await;
        assert_eq!((fixture.request_status().await, head_count.get()), (503, 0));
        fixture.command("set var proc.level_look int(400)").await;
        let mut admitted = 0;
        for client in 0..200 {
            let text = format!("GET /look HTTP/1.1\r\nx-client: c{client}\r\nconnection: close\r\n\r\n");
            let (first, second) =
                (status_code(&fixture.send_raw(&text).await), status_code(&fixture.send_raw(&text).await));
            assert_eq!(first, second, "client {client}");
            admitted += usize::from(first == 200);
        }
        assert!(
            (55..=105).contains(&admitted),
            "{admitted} of 200 clients admitted at an admission rate of 0.4"
        );
    });
}

#[test]
fn requests_wait_for_capacity_and_those_beyond_the_queue_limit_are_rejected() {
    run(async {
        let (slow, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(100))).await;
        let configure = |config: &mut ProxyConfig| {
            (config.limits.max_in_flight, config.max_queued_requests) = (1, 2);
            config.queue_timeout = Duration::from_millis(600);
        };
        let fixture = Rc::new(start_proxy(&[slow], configure).await);
        let requests: Vec<_> = (0..5)
            .map(|_| {
                let fixture = fixture.clone();
                spawn_local(async move { (fixture.request_status().await, Instant::now()) })
            })
            .collect();
        let mut statuses = Vec::new();
        for request in requests {
            statuses.push(request.await.expect("ended").0);
        }
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 200, 200, 503, 503]);
    });
}

#[test]
fn silent_and_slow_clients_do_not_delay_others() {
    run(async {
        let (healthy, _) = start_endpoint(Behavior::Answers(OK)).await;
        let fixture = start_proxy(&[healthy], |config| config.header_timeout = Duration::from_secs(2)).await;
        let mut silent = Vec::new();
        for _ in 0..2000 {
            silent.push(TcpStream::connect(fixture.proxy.request_address).await.expect("connected"));
        }
        let mut slow_client = TcpStream::connect(fixture.proxy.request_address).await.expect("connected");
        slow_client.write_all(b"GET /look HTTP/1.1\r\n\r\nGET /look HTTP/1.1\r\n\r\n").await.expect("sent");
        let mut byte = [0];
        let slow_reads = spawn_local(async move {
            // Reads one byte per second.
            let mut bytes_read = 0;
            while slow_client.read(&mut [0]).await.is_ok_and(|bytes| bytes == 1) && bytes_read < 6 {
                bytes_read += 1;
                sleep(Duration::from_secs(1)).await;
            }
            bytes_read
        });
        let started_at = Instant::now();
        for _ in 0..50 {
            assert_eq!(fixture.request_status().await, 200);
        }
        assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
        // Silent clients are disconnected after the header timeout.
        sleep(Duration::from_millis(2500)).await;
        assert!(matches!(
            timeout(Duration::from_secs(1), silent[0].read(&mut byte)).await,
            Ok(Ok(0) | Err(_))
        ));
        for _ in 0..50 {
            assert_eq!(fixture.request_status().await, 200);
        }
        assert_eq!(slow_reads.await.expect("ran"), 6, "a client that reads slowly stays connected");
    });
}

#[test]
fn an_incomplete_line_of_commands_has_no_effect() {
    run(async {
        let (one, two) =
            (start_endpoint(Behavior::Answers(OK)).await, start_endpoint(Behavior::Answers(OK)).await);
        let fixture = start_proxy(&[one.0], |_| {}).await;
        let line = format!(
            "add server t0/n {} weight 1; set server t0/n state ready; set map classes look t0\n",
            two.0
        );
        let (first, rest) = line.split_at(line.len() - 20);
        // A controller disconnects in the middle of a line.
        let mut disconnecting = connect(&fixture.control).await.expect("connected");
        disconnecting.write_all(first.as_bytes()).await.expect("sent");
        drop(disconnecting);
        let mut stalling = connect(&fixture.control).await.expect("connected");
        stalling.write_all(first.as_bytes()).await.expect("sent");
        sleep(Duration::from_millis(100)).await;
        assert_eq!((fixture.request_status().await, one.1.get(), two.1.get()), (200, 1, 0));
        stalling.write_all(rest.as_bytes()).await.expect("sent");
        let mut response = String::new();
        stalling.read_to_string(&mut response).await.expect("answered");
        assert_eq!(response, "New server registered.\n\n\n\n");
        assert_eq!((fixture.request_status().await, one.1.get(), two.1.get()), (200, 1, 1));
    });
}

#[test]
fn a_batch_with_a_refused_command_changes_nothing() {
    run(async {
        let fixture = start_proxy(&[start_endpoint(Behavior::Answers(OK)).await.0], |_| {}).await;
        let digest = fixture.command("get var proc.digest").await;
        let response =
            fixture.command("set weight standing/e0 0; set weight standing/e9 1; show backend").await;
        assert_eq!(
            response.matches("Not done, as an order of its set was refused: No such server.").count(),
            2,
            "{response}"
        );
        assert_eq!(fixture.command("get weight standing/e0").await, "256 (initial 256)\n\n");
        assert_eq!(fixture.request_status().await, 200);
        assert_eq!(fixture.command("get var proc.digest").await, digest);
        fixture.command("set weight standing/e0 255").await;
        assert_ne!(fixture.command("get var proc.digest").await, digest);
    });
}

/// Guards against a refused command incrementing the version although it changed nothing. Choices of
/// endpoints are compared by this version.
#[test]
fn a_refused_command_does_not_increment_the_version() {
    run(async {
        let fixture = start_proxy(&[start_endpoint(Behavior::Answers(OK)).await.0], |_| {}).await;
        let version = fixture.command("get var proc.version").await;
        for refused in
            ["set server t0/nope weight 5", "set server standing/e0 weight 300", "commit map @9 tables"]
        {
            fixture.command(refused).await;
            assert_eq!(fixture.command("get var proc.version").await, version, "{refused}");
        }
        fixture.command("set server standing/e0 weight 30").await;
        assert_ne!(fixture.command("get var proc.version").await, version);
    });
}

/// Guards against `show times` leaving the connection open, so that a client waits for the end of the answer
/// until its timeout.
#[test]
fn show_times_ends_its_answer_and_closes_like_every_other_command() {
    run(async {
        let fixture = start_proxy(&[start_endpoint(Behavior::Answers(OK)).await.0], |_| {}).await;
        fixture.request_status().await;
        let answer = fixture.command("show times").await;
        assert!(
            answer.contains("e0 look 1 ") && answer.ends_with("\n\n") && !answer.ends_with("\n\n\n"),
            "{answer:?}"
        );
    });
}

/// Guards against a reset of the connection that reaches the client instead of the refusal.
#[test]
fn a_line_that_is_too_long_is_answered_before_the_connection_is_closed() {
    run(async {
        let fixture = start_proxy(&[start_endpoint(Behavior::Answers(OK)).await.0], |_| {}).await;
        let answer = fixture.command(&"x".repeat(70_000)).await;
        assert_eq!(answer, "Line too long; allowed: 16384 bytes\n\n");
    });
}

#[test]
fn commands_of_older_epochs_and_versions_are_refused() {
    run(async {
        let fixture = start_proxy(&[start_endpoint(Behavior::Answers(OK)).await.0], |_| {}).await;
        let first_lines = "prompt i\nset var proc.epoch int(5)\nset weight standing/e0 100\n";
        let mut old_controller = connect(&fixture.control).await.expect("connected");
        old_controller.write_all(first_lines.as_bytes()).await.expect("sent");
        let mut bytes = [0; 256];
        while fixture.command("get weight standing/e0").await != "100 (initial 256)\n\n" {
            sleep(Duration::from_millis(5)).await;
        }
        let _ = old_controller.read(&mut bytes).await;
        assert_eq!(fixture.command("set var proc.epoch int(6); set weight standing/e0 60").await, "\n\n");
        old_controller.write_all(b"set weight standing/e0 7\n").await.expect("sent");
        let mut response = String::new();
        while !response.contains("Superseded") {
            let read = timeout(Duration::from_secs(2), old_controller.read(&mut bytes))
                .await
                .expect("in time")
                .expect("read");
            response += &String::from_utf8_lossy(&bytes[..read]);
        }
        assert_eq!(fixture.command("get weight standing/e0").await, "60 (initial 256)\n\n");
        // Two batches are prepared. The later one is committed first, so that the earlier one is refused.
        let (mut earlier, mut later) = (
            connect(&fixture.control).await.expect("connected"),
            connect(&fixture.control).await.expect("connected"),
        );
        for (stream, weight) in [(&mut earlier, 11), (&mut later, 22)] {
            let text = format!("prompt i\nprepare map tables\nset weight standing/e0 {weight}\n");
            stream.write_all(text.as_bytes()).await.expect("sent");
            let mut response = String::new();
            while !response.ends_with("\n\n\n") {
                let read = timeout(Duration::from_secs(2), stream.read(&mut bytes))
                    .await
                    .expect("in time")
                    .expect("read");
                response += &String::from_utf8_lossy(&bytes[..read]);
            }
        }
        assert_eq!(
            fixture.command("get weight standing/e0").await,
            "60 (initial 256)\n\n",
            "prepared batches have no effect"
        );
        later.write_all(b"commit map @2 tables\n").await.expect("sent");
        let _ = later.read(&mut bytes).await.expect("read");
        earlier.write_all(b"commit map @1 tables\n").await.expect("sent");
        let read = earlier.read(&mut bytes).await.expect("read");
        assert!(String::from_utf8_lossy(&bytes[..read]).contains("Version number out of range."));
        assert_eq!(fixture.command("get weight standing/e0").await, "22 (initial 256)\n\n");
    });
}

#[test]
fn ambiguous_framing_gets_400_and_the_connection_is_closed() {
    run(async {
        let (healthy, head_count) = start_endpoint(Behavior::Answers(OK)).await;
        let fixture = start_proxy(&[healthy], |_| {}).await;
        for head in [
            "content-length: 3\r\ncontent-length: 3\r\n\r\nabc",
            "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\nzz\r\nabc",
            "x: a\r\n folded\r\n\r\n",
        ] {
            let response = fixture.send_raw(&format!("POST /look HTTP/1.1\r\nhost: x\r\n{head}")).await;
            assert!(response.starts_with("HTTP/1.1 400 "), "{head:?}: {response:?}");
        }
        assert_eq!(head_count.get(), 0);
        let valid = "POST /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        assert_eq!(status_code(&fixture.send_raw(valid).await), 200);
    });
}
