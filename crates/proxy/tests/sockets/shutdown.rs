//! Tests of draining: requests that reached the proxy are answered before it shuts down, within a time limit.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Behavior, Fixture, run, start_endpoint, start_proxy, status_code};

const REQUEST: &[u8] = b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n";
const TIME_LIMIT: Duration = Duration::from_secs(3);

async fn connect(fixture: &Fixture) -> TcpStream {
    TcpStream::connect(fixture.proxy.request_address).await.expect("connected")
}

/// Returns everything that is received until the connection is closed.
async fn read_until_closed(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let _ = timeout(TIME_LIMIT, stream.read_to_end(&mut response))
        .await
        .expect("the connection is closed in time");
    String::from_utf8_lossy(&response).into_owned()
}

/// Asserts a successful response that announces the end of the connection.
fn assert_closing_response(response: &str) {
    assert_eq!(status_code(response), 200, "{response:?}");
    assert!(response.to_ascii_lowercase().contains("connection: close\r\n"), "{response:?}");
}

/// Guards against requests in flight being aborted at shutdown.
#[test]
fn requests_in_flight_are_answered_and_idle_connections_closed() {
    run(async {
        let (slow, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(400))).await;
        let fixture = start_proxy(&[slow], |_| {}).await;
        let mut streams = Vec::new();
        for _ in 0..3 {
            let mut stream = connect(&fixture).await;
            stream.write_all(REQUEST).await.expect("sent");
            streams.push(stream);
        }
        let mut idle = connect(&fixture).await;
        sleep(Duration::from_millis(50)).await;
        let drained = async {
            let open_connections = fixture.proxy.drain(TIME_LIMIT).await;
            assert_eq!(open_connections, 0);
        };
        let clients = async {
            for stream in &mut streams {
                assert_closing_response(&read_until_closed(stream).await);
            }
            assert_eq!(read_until_closed(&mut idle).await, "");
            assert!(
                TcpStream::connect(fixture.proxy.request_address).await.is_err(),
                "no new connections are accepted"
            );
        };
        tokio::join!(drained, clients);
    });
}

/// Guards against a connection being closed while a request on it is on its way or partly received.
#[test]
fn requests_that_arrive_on_open_connections_are_answered_while_draining() {
    run(async {
        let (quick, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(1))).await;
        let fixture = start_proxy(&[quick], |_| {}).await;
        let mut used_before = connect(&fixture).await;
        used_before.write_all(REQUEST).await.expect("sent");
        let mut bytes = [0; 512];
        let _ = used_before.read(&mut bytes).await.expect("answered");
        let mut in_pieces = connect(&fixture).await;
        in_pieces.write_all(&REQUEST[..9]).await.expect("sent");
        let mut fresh = connect(&fixture).await;
        sleep(Duration::from_millis(50)).await;
        let clients = async {
            sleep(Duration::from_millis(100)).await;
            used_before.write_all(REQUEST).await.expect("sent");
            fresh.write_all(REQUEST).await.expect("sent");
            assert_closing_response(&read_until_closed(&mut used_before).await);
            assert_closing_response(&read_until_closed(&mut fresh).await);
            sleep(Duration::from_millis(400)).await;
            in_pieces.write_all(&REQUEST[9..]).await.expect("sent");
            assert_closing_response(&read_until_closed(&mut in_pieces).await);
        };
        let (open_connections, ()) = tokio::join!(fixture.proxy.drain(TIME_LIMIT), clients);
        assert_eq!(open_connections, 0);
    });
}

/// Guards against a reset of connections in the listener's backlog, which closing the listener would cause.
#[test]
fn requests_on_connections_in_the_backlog_are_answered() {
    run(async {
        let (quick, _) = start_endpoint(Behavior::AnswersAfter(Duration::from_millis(1))).await;
        let fixture = start_proxy(&[quick], |_| {}).await;
        // These connections stay in the backlog: the proxy runs on this thread, which does not yield before
        // `drain`.
        let mut backlog: Vec<_> = (0..5)
            .map(|_| std::net::TcpStream::connect(fixture.proxy.request_address).expect("connected"))
            .collect();
        backlog.iter_mut().for_each(|stream| stream.write_all(REQUEST).expect("sent"));
        assert_eq!(fixture.proxy.drain(TIME_LIMIT).await, 0);
        for stream in &mut backlog {
            let mut response = String::new();
            stream.read_to_string(&mut response).expect("read");
            assert_closing_response(&response);
        }
    });
}

/// Guards against a drain without end, caused by an endpoint that keeps sending or a client that doesn't
/// read.
#[test]
fn endless_responses_and_clients_that_read_nothing_are_cut_off_after_the_time_limit() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let endless = listener.local_addr().expect("bound");
        spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                spawn_local(async move {
                    let _ = stream.read(&mut [0; 1024]).await;
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
                    while stream.write_all(b"4\r\nmore\r\n").await.is_ok() {
                        sleep(Duration::from_millis(1)).await;
                    }
                });
            }
        });
        let fixture = start_proxy(&[endless], |_| {}).await;
        let mut not_reading = connect(&fixture).await;
        not_reading.write_all(REQUEST).await.expect("sent");
        let mut reading = connect(&fixture).await;
        reading.write_all(REQUEST).await.expect("sent");
        sleep(Duration::from_millis(50)).await;
        let started_at = Instant::now();
        assert_eq!(fixture.proxy.drain(Duration::from_millis(600)).await, 2);
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
        fixture.proxy.stop().await;
        assert!(read_until_closed(&mut reading).await.starts_with("HTTP/1.1 200"));
    });
}
