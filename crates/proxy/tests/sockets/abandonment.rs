//! Clients that give up: what their requests counted is given back, and whoever only half-closed is answered.

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

use super::{Behavior, Fixture, OK, REJECTED_UNREAD, endpoint, run, start, status};

const REQUEST: &[u8] = b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n";

/// How a client that gives up leaves.
#[derive(Clone, Copy, PartialEq)]
enum Departure {
    Close,
    Reset,
}

impl Fixture {
    async fn begin_request(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.proxy.request_address).await.expect("connected");
        stream.write_all(REQUEST).await.expect("sent");
        stream
    }

    async fn abandon_request(&self, after: Duration, departure: Departure) {
        let stream = self.begin_request().await;
        sleep(after).await;
        if departure == Departure::Reset {
            stream.set_zero_linger().expect("set");
        }
    }

    async fn stat_rows(&self) -> Vec<StatRow> {
        read_stat(&self.command("show stat").await).expect("a table")
    }

    async fn entry(&self, endpoint: &str) -> StatRow {
        let rows = self.stat_rows().await;
        rows.into_iter().find(|row| row.endpoint == endpoint).expect("an entry")
    }

    async fn in_flight(&self) -> u64 {
        self.stat_rows().await.iter().filter_map(|row| row.in_flight).sum()
    }
}

fn limited(max_in_flight: usize, max_queued: usize) -> impl FnOnce(&mut ProxyConfig) {
    move |config| {
        (config.limits.max_in_flight, config.max_queued_requests) = (max_in_flight, max_queued);
        config.queue_timeout = Duration::from_millis(400);
    }
}

/// Guards against clients that leave taking an endpoint out of service for good.
#[test]
fn clients_that_leave_do_not_use_up_an_endpoint() {
    run(async {
        let (slow, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(200))).await;
        let fixture = start(&[slow], limited(4, 3)).await;
        for client in 0..12 {
            let departure = if client % 2 == 0 { Departure::Close } else { Departure::Reset };
            fixture.abandon_request(Duration::from_millis(20), departure).await;
        }
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(fixture.in_flight().await, 0);
        for _ in 0..10 {
            assert_eq!(fixture.request_status().await, 200);
        }
    });
}

/// Guards against the end of input being taken for the end of the client.
#[test]
fn a_client_that_half_closes_gets_its_answer() {
    run(async {
        let (slow, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(200))).await;
        let fixture = start(&[slow], |_| {}).await;
        let mut stream = fixture.begin_request().await;
        stream.shutdown().await.expect("half-closed");
        let mut response = String::new();
        timeout(Duration::from_secs(3), stream.read_to_string(&mut response))
            .await
            .expect("in time")
            .expect("read");
        assert_eq!(status(&response), 200);
        assert_eq!(fixture.entry("e0").await.abandoned, Some(0));
    });
}

/// Accepts connections, answers none, and counts heads and ends of connections.
async fn silent_endpoint() -> (SocketAddr, Rc<Cell<usize>>, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    let (heads, ends) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (counted, ended) = (heads.clone(), ends.clone());
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (counted, ended) = (counted.clone(), ended.clone());
            spawn_local(async move {
                let mut bytes = [0; 4096];
                while let Ok(1..) = stream.read(&mut bytes).await {
                    counted.set(counted.get() + 1);
                }
                ended.set(ended.get() + 1);
            });
        }
    });
    (address, heads, ends)
}

/// Guards against an abandoned attempt being taken for a success or a failure, retried, or its connection reused.
#[test]
fn an_abandoned_attempt_has_an_outcome_of_its_own() {
    run(async {
        let (silent, heads, ends) = silent_endpoint().await;
        let (healthy, healthy_heads) = endpoint(Behavior::Answers(OK)).await;
        let fixture = start(&[silent, healthy], |_| {}).await;
        fixture.command("set weight standing/e1 1").await;
        fixture.abandon_request(Duration::from_millis(50), Departure::Reset).await;
        sleep(Duration::from_millis(200)).await;
        let entry = fixture.entry("e0").await;
        assert_eq!((entry.in_flight, entry.abandoned), (Some(0), Some(1)));
        assert_eq!((entry.total, entry.failed(), entry.total_latency_ms), (0, 0, Some(0)));
        assert_eq!((heads.get(), ends.get()), (1, 1), "its connection is closed");
        assert_eq!(healthy_heads.get(), 0, "it is not retried");
    });
}

/// Guards against a place in the queue being lost with the client that held it.
#[test]
fn a_client_that_leaves_the_queue_gives_its_place_back() {
    run(async {
        let (slow, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(300))).await;
        let fixture = Rc::new(start(&[slow], limited(1, 1)).await);
        for _ in 0..3 {
            let _first = fixture.begin_request().await;
            sleep(Duration::from_millis(20)).await;
            fixture.abandon_request(Duration::from_millis(30), Departure::Reset).await;
            sleep(Duration::from_millis(30)).await;
            assert_eq!(fixture.request_status().await, 200, "it waits in the place that is free again");
        }
    });
}

/// Guards against the budget paying for retries that were never made.
#[test]
fn a_retry_that_was_not_made_goes_back_into_the_budget() {
    run(async {
        let (rejecting, _) = endpoint(Behavior::Answers(REJECTED_UNREAD)).await;
        let (slow, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(250))).await;
        let change = |config: &mut ProxyConfig| {
            limited(1, 5)(config);
            // One retry is saved up at most.
            config.retry_ratio = 0.01;
        };
        let fixture = start(&[rejecting, slow], change).await;
        fixture.command("set weight standing/e0 0").await;
        let mut busy = fixture.begin_request().await;
        sleep(Duration::from_millis(20)).await;
        fixture.command("set weight standing/e0 256").await;
        // Rejected by the first endpoint, it waits for the second and leaves.
        fixture.abandon_request(Duration::from_millis(50), Departure::Reset).await;
        let mut head = [0; 12];
        busy.read_exact(&mut head).await.expect("answered");
        assert_eq!(&head, b"HTTP/1.1 200");
        // Both are rejected by the first endpoint, and the budget pays for one retry at the second.
        fixture.command("set weight standing/e1 1").await;
        assert_eq!([fixture.request_status().await, fixture.request_status().await], [200, 503]);
    });
}

/// Guards against counts that drift under any mix of arrivals, departures, answers, time-outs and table changes.
#[test]
fn nothing_stays_counted_once_all_clients_are_gone() {
    for seed in 0..6 {
        run(mixed_run(seed));
    }
}

async fn mixed_run(seed: u64) {
    let mut random = WyRand::new_seed(seed);
    let (quick, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(15))).await;
    let (silent, _) = endpoint(Behavior::NeverAnswers).await;
    let (rejecting, _) = endpoint(Behavior::Answers(REJECTED_UNREAD)).await;
    let change = |config: &mut ProxyConfig| {
        limited(2, 4)(config);
        config.queue_timeout = Duration::from_millis(60);
        config.attempt_timeout = Duration::from_millis(80);
    };
    let fixture = Rc::new(start(&[quick, silent, rejecting], change).await);
    let mut clients = Vec::new();
    for _ in 0..120 {
        if random.generate_range(0..8_u8) == 0 {
            let other = random.generate_range(1..256_u32);
            let line = match random.generate_range(0..3_u8) {
                0 => format!("set weight standing/e0 {other}"),
                1 => "disable server standing/e1; del server standing/e1".to_string(),
                _ => format!("add server standing/e1 {silent}; enable server standing/e1"),
            };
            fixture.command(&line).await;
        }
        let patience = Duration::from_millis(random.generate_range(0..90));
        let departure = if random.generate() { Departure::Close } else { Departure::Reset };
        let fixture = fixture.clone();
        clients.push(spawn_local(async move { fixture.abandon_request(patience, departure).await }));
        sleep(Duration::from_millis(random.generate_range(0..6))).await;
    }
    for client in clients {
        client.await.expect("ran");
    }
    // Longer than a request may wait and be attempted.
    sleep(Duration::from_millis(400)).await;
    assert_eq!(fixture.in_flight().await, 0, "seed {seed}");
    assert!(fixture.command("show info").await.contains("CurrQueue: 0\n"), "seed {seed}");
    fixture.command("set weight standing/e0 256; disable server standing/e2").await;
    fixture.command("disable server standing/e1; del server standing/e1").await;
    assert_eq!(fixture.request_status().await, 200, "seed {seed}");
}
