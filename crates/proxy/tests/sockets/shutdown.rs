//! A proxy that is told to end: whatever came to it is answered, within a bound.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Behavior, Fixture, endpoint, run, start, status};

const REQUEST: &[u8] = b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n";
const LIMIT: Duration = Duration::from_secs(3);

async fn connect(fixture: &Fixture) -> TcpStream {
    TcpStream::connect(fixture.proxy.request_address).await.expect("connected")
}

/// What comes until the connection ends.
async fn rest(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let _ = timeout(LIMIT, stream.read_to_end(&mut response)).await.expect("it ends");
    String::from_utf8_lossy(&response).into_owned()
}

fn assert_last_answer(response: &str) {
    assert_eq!(status(response), 200, "{response:?}");
    assert!(response.to_ascii_lowercase().contains("connection: close\r\n"), "{response:?}");
}

/// Guards against requests in flight being cut when the proxy ends.
#[test]
fn requests_in_flight_are_answered_and_idle_connections_closed() {
    run(async {
        let (slow, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(400))).await;
        let fixture = start(&[slow], |_| {}).await;
        let mut streams = Vec::new();
        for _ in 0..3 {
            let mut stream = connect(&fixture).await;
            stream.write_all(REQUEST).await.expect("sent");
            streams.push(stream);
        }
        let mut idle = connect(&fixture).await;
        sleep(Duration::from_millis(50)).await;
        let drained = async {
            let cut = fixture.proxy.drain(LIMIT).await;
            assert_eq!(cut, 0);
        };
        let clients = async {
            for stream in &mut streams {
                assert_last_answer(&rest(stream).await);
            }
            assert_eq!(rest(&mut idle).await, "");
            assert!(
                TcpStream::connect(fixture.proxy.request_address).await.is_err(),
                "none are accepted any more"
            );
        };
        tokio::join!(drained, clients);
    });
}

/// Guards against a request that is on its way, or in pieces, meeting a closed connection.
#[test]
fn requests_that_come_on_open_connections_are_answered() {
    run(async {
        let (quick, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(1))).await;
        let fixture = start(&[quick], |_| {}).await;
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
            assert_last_answer(&rest(&mut used_before).await);
            assert_last_answer(&rest(&mut fresh).await);
            sleep(Duration::from_millis(400)).await;
            in_pieces.write_all(&REQUEST[9..]).await.expect("sent");
            assert_last_answer(&rest(&mut in_pieces).await);
        };
        let (cut, ()) = tokio::join!(fixture.proxy.drain(LIMIT), clients);
        assert_eq!(cut, 0);
    });
}

/// Guards against a reset of connections that wait in the listener's queue.
#[test]
fn requests_that_were_not_accepted_yet_are_answered() {
    run(async {
        let (quick, _) = endpoint(Behavior::AnswersAfter(Duration::from_millis(1))).await;
        let fixture = start(&[quick], |_| {}).await;
        // The proxy has no turn in between, as all run on this thread.
        let mut queued: Vec<_> = (0..5)
            .map(|_| std::net::TcpStream::connect(fixture.proxy.request_address).expect("connected"))
            .collect();
        queued.iter_mut().for_each(|stream| stream.write_all(REQUEST).expect("sent"));
        assert_eq!(fixture.proxy.drain(LIMIT).await, 0);
        for stream in &mut queued {
            let mut response = String::new();
            stream.read_to_string(&mut response).expect("read");
            assert_last_answer(&response);
        }
    });
}

/// Guards against a drain that holds the process for as long as a client or an endpoint likes.
#[test]
fn endless_responses_and_clients_that_read_nothing_are_cut_at_the_bound() {
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
        let fixture = start(&[endless], |_| {}).await;
        let mut unread = connect(&fixture).await;
        unread.write_all(REQUEST).await.expect("sent");
        let mut reading = connect(&fixture).await;
        reading.write_all(REQUEST).await.expect("sent");
        sleep(Duration::from_millis(50)).await;
        let started_at = Instant::now();
        assert_eq!(fixture.proxy.drain(Duration::from_millis(600)).await, 2);
        assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
        fixture.proxy.stop().await;
        assert!(rest(&mut reading).await.starts_with("HTTP/1.1 200"));
    });
}
