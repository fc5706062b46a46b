//! Tests of clients that disconnect before the response: the capacity that their requests used is released,
//! and a client that only closed its sending side gets its response.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lockcroft_proxy::ProxyConfig;
use lockcroft_runtime_api::tables::{StatRow, read_stat};
use nanorand::{Rng, WyRand};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Behavior, Fixture, OK, REJECTED_UNREAD, run, start_endpoint, start_proxy, status_code};

const REQUEST: &[u8] = b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n";

/// The way in which a client disconnects.
#[derive(Clone, Copy, PartialEq)]
enum Disconnect {
    Close,
    Reset,
}

impl Fixture {
    /// Sends a request without waiting for the response.
    async fn begin_request(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.proxy.request_address).await.expect("connected");
        stream.write_all(REQUEST).await.expect("sent");
        stream
    }

    /// Sends a request and disconnects after this delay.
    async fn abandon_request(&self, delay: Duration, disconnect: Disconnect) {
        let stream = self.begin_request().await;
        sleep(delay).await;
        if disconnect == Disconnect::Reset {
            stream.set_zero_linger().expect("set");
        }
    }

    async fn stat_rows(&self) -> Vec<StatRow> {
        read_stat(&self.command("show stat").await).expect("a valid table")
    }

    /// Returns the row of an endpoint in `show stat`.
    async fn entry(&self, endpoint: &str) -> StatRow {
        let rows = self.stat_rows().await;
        rows.into_iter().find(|row| row.endpoint == endpoint).expect("an entry")
    }

    /// Returns the number of attempts in flight at all endpoints.
    async fn in_flight(&self) -> u64 {
        self.stat_rows().await.iter().filter_map(|row| row.in_flight).sum()
    }
}

/// Limits attempts in flight per endpoint and queued requests, and sets a queue timeout of 400 ms.
fn limit_capacity(max_in_flight: usize, max_queued: usize) -> impl FnOnce(&mut ProxyConfig) {
    move |config| {
        (config.limits.max_in_flight, config.max_queued_requests) = (max_in_flight, max_queued);
        config.queue_timeout = Duration::from_millis(400);
    }
}

/// Guards against attempts of disconnected clients that stay counted as in flight, which would make an
/// endpoint appear saturated permanently.
#[test]
fn clients_that_disconnect_do_not_use_up_the_capacity_of_an_endpoint() {
    run(async {
        let (slow, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(200))).await;
        let fixture = start_proxy(&[slow], limit_capacity(4, 3)).await;
        for client in 0..12 {
            let disconnect = if client % 2 == 0 { Disconnect::Close } else { Disconnect::Reset };
            fixture.abandon_request(Duration::from_millis(20), disconnect).await;
        }
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(fixture.in_flight().await, 0);
        for _ in 0..10 {
            assert_eq!(fixture.request_status().await, 200);
        }
    });
}

/// Guards against taking the end of input for a disconnect: a client that closed its sending side still waits
/// for the response.
#[test]
fn a_client_that_half_closes_gets_its_response() {
    run(async {
        let (slow, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(200))).await;
        let fixture = start_proxy(&[slow], |_| {}).await;
        let mut stream = fixture.begin_request().await;
        stream.shutdown().await.expect("half-closed");
        let mut response = String::new();
        timeout(Duration::from_secs(3), stream.read_to_string(&mut response))
            .await
            .expect("in time")
            .expect("read");
        assert_eq!(status_code(&response), 200);
        assert_eq!(fixture.entry("e0").await.abandoned, Some(0));
    });
}

/// Starts an endpoint that accepts connections and sends nothing. Returns its address, and the numbers of
/// request heads and of closed connections.
async fn start_silent_endpoint() -> (SocketAddr, Rc<Cell<usize>>, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let (head_count, closed_count) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (endpoint_head_count, endpoint_closed_count) = (head_count.clone(), closed_count.clone());
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (head_count, closed_count) = (endpoint_head_count.clone(), endpoint_closed_count.clone());
            spawn_local(async move {
                let mut bytes = [0; 4096];
                while let Ok(1..) = stream.read(&mut bytes).await {
                    head_count.set(head_count.get() + 1);
                }
                closed_count.set(closed_count.get() + 1);
            });
        }
    });
    (address, head_count, closed_count)
}

/// Guards against an abandoned attempt being counted as a success or a failure, being retried, or its
/// connection being reused.
#[test]
fn an_abandoned_attempt_is_counted_as_abandoned_only() {
    run(async {
        let (silent, head_count, closed_count) = start_silent_endpoint().await;
        let (healthy, healthy_head_count) = start_endpoint(Behavior::Answers(OK)).await;
        let fixture = start_proxy(&[silent, healthy], |_| {}).await;
        fixture.command("set weight standing/e1 1").await;
        fixture.abandon_request(Duration::from_millis(50), Disconnect::Reset).await;
        sleep(Duration::from_millis(200)).await;
        let entry = fixture.entry("e0").await;
        assert_eq!((entry.in_flight, entry.abandoned), (Some(0), Some(1)));
        assert_eq!((entry.total, entry.failed(), entry.total_latency_ms), (0, 0, Some(0)));
        assert_eq!((head_count.get(), closed_count.get()), (1, 1), "its connection is closed");
        assert_eq!(healthy_head_count.get(), 0, "it is not retried");
    });
}

/// Guards against a request whose client disconnects while it waits for capacity staying counted in the
/// queue.
#[test]
fn a_queued_request_whose_client_disconnects_leaves_the_queue() {
    run(async {
        let (slow, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(300))).await;
        let fixture = Rc::new(start_proxy(&[slow], limit_capacity(1, 1)).await);
        for _ in 0..3 {
            let _first = fixture.begin_request().await;
            sleep(Duration::from_millis(20)).await;
            fixture.abandon_request(Duration::from_millis(30), Disconnect::Reset).await;
            sleep(Duration::from_millis(30)).await;
            assert_eq!(fixture.request_status().await, 200, "the queue has capacity again");
        }
    });
}

/// Guards against retry tokens being lost with requests whose client disconnects before the retry is made.
#[test]
fn the_token_of_a_retry_that_was_not_made_is_refunded() {
    run(async {
        let (rejecting, _) = start_endpoint(Behavior::Answers(REJECTED_UNREAD)).await;
        let (slow, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(250))).await;
        let configure = |config: &mut ProxyConfig| {
            limit_capacity(1, 5)(config);
            // The budget holds at most one token.
            config.retry_ratio = 0.01;
        };
        let fixture = start_proxy(&[rejecting, slow], configure).await;
        fixture.command("set weight standing/e0 0").await;
        let mut in_flight = fixture.begin_request().await;
        sleep(Duration::from_millis(20)).await;
        fixture.command("set weight standing/e0 256").await;
        // The first endpoint rejects this request. It waits for capacity at the second one, and its client
        // disconnects.
        fixture.abandon_request(Duration::from_millis(50), Disconnect::Reset).await;
        let mut head = [0; 12];
        in_flight.read_exact(&mut head).await.expect("answered");
        assert_eq!(&head, b"HTTP/1.1 200");
        // The first endpoint rejects both requests, and the budget allows one retry at the second endpoint.
        fixture.command("set weight standing/e1 1").await;
        assert_eq!([fixture.request_status().await, fixture.request_status().await], [200, 503]);
    });
}

/// Guards against counts of attempts and queued requests that drift under a random mix of requests,
/// disconnects, responses, timeouts and table changes.
#[test]
fn all_counts_are_zero_once_all_clients_have_disconnected() {
    for seed in 0..6 {
        run(run_random_clients(seed));
    }
}

async fn run_random_clients(seed: u64) {
    let mut random = WyRand::new_seed(seed);
    let (quick, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(15))).await;
    let (silent, _) = start_endpoint(Behavior::NeverAnswers).await;
    let (rejecting, _) = start_endpoint(Behavior::Answers(REJECTED_UNREAD)).await;
    let configure = |config: &mut ProxyConfig| {
        limit_capacity(2, 4)(config);
        config.queue_timeout = Duration::from_millis(60);
        config.attempt_timeout = Duration::from_millis(80);
    };
    let fixture = Rc::new(start_proxy(&[quick, silent, rejecting], configure).await);
    let mut clients = Vec::new();
    for _ in 0..120 {
        if random.generate_range(0..8_u8) == 0 {
            let weight = random.generate_range(1..256_u32);
            let line = match random.generate_range(0..3_u8) {
                0 => format!("set weight standing/e0 {weight}"),
                1 => "disable server standing/e1; del server standing/e1".to_string(),
                _ => format!("add server standing/e1 {silent}; enable server standing/e1"),
            };
            fixture.command(&line).await;
        }
        let delay = Duration::from_millis(random.generate_range(0..90));
        let disconnect = if random.generate() { Disconnect::Close } else { Disconnect::Reset };
        let fixture = fixture.clone();
        clients.push(spawn_local(async move { fixture.abandon_request(delay, disconnect).await }));
        sleep(Duration::from_millis(random.generate_range(0..6))).await;
    }
    for client in clients {
        client.await.expect("ran");
    }
    // Longer than the queue timeout and the attempt timeout together.
    sleep(Duration::from_millis(400)).await;
    assert_eq!(fixture.in_flight().await, 0, "seed {seed}");
    assert!(fixture.command("show info").await.contains("CurrQueue: 0\n"), "seed {seed}");
    fixture.command("set weight standing/e0 256; disable server standing/e2").await;
    fixture.command("disable server standing/e1; del server standing/e1").await;
    assert_eq!(fixture.request_status().await, 200, "seed {seed}");
}
