//! Outcomes of health checks for the possible answers of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::{check_health, outcome_of_status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

const MAX_BODY_BYTES: usize = 16;

/// The request that an endpoint received, and the result of the health check.
struct CheckResult {
    request: String,
    outcome: HealthCheckOutcome,
    duration: Duration,
}

async fn check(address: SocketAddr) -> (HealthCheckOutcome, Duration) {
    check_health(address, "/alive", MAX_BODY_BYTES, |response| {
        let load = std::str::from_utf8(&response.body).ok().and_then(|body| body.parse().ok());
        outcome_of_status(response.status, load)
    })
    .await
}

/// Checks an endpoint that reads a request, writes these bytes and closes the connection.
fn check_endpoint(response: &'static str) -> CheckResult {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let endpoint = spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut buffer = vec![0; 1 << 12];
            let read = stream.read(&mut buffer).await.expect("a request");
            stream.write_all(response.as_bytes()).await.expect("written");
            String::from_utf8_lossy(&buffer[..read]).replace(&address.to_string(), "ADDRESS")
        });
        let (outcome, duration) = check(address).await;
        CheckResult { request: endpoint.await.expect("an endpoint"), outcome, duration }
    })
}

#[test]
fn the_outcome_depends_on_the_status_and_a_complete_body() {
    for (response, expected) in [
        ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n0.25", HealthCheckOutcome::Passed(Some(0.25))),
        ("HTTP/1.1 204 No Content\r\n\r\n", HealthCheckOutcome::Passed(None)),
        ("HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n", HealthCheckOutcome::Rejected),
        ("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", HealthCheckOutcome::Rejected),
        ("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n", HealthCheckOutcome::Failed),
        // The body is truncated, or longer than allowed.
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n0.25", HealthCheckOutcome::Failed),
        ("HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n0.250000000000000", HealthCheckOutcome::Failed),
        // The connection closes before the head is complete, or the bytes are not an HTTP response.
        ("", HealthCheckOutcome::Refused),
        ("HTTP/1.1 200", HealthCheckOutcome::Refused),
        ("no response\r\n\r\n", HealthCheckOutcome::Refused),
    ] {
        let result = check_endpoint(response);
        assert_eq!(result.outcome, expected, "{response:?}");
        assert!(result.duration > Duration::ZERO);
    }
}

#[test]
fn a_health_check_sends_one_request_with_connection_close() {
    let request = check_endpoint("HTTP/1.1 204 No Content\r\n\r\n").request;
    assert_eq!(request, "GET /alive HTTP/1.1\r\nhost: ADDRESS\r\nconnection: close\r\n\r\n");
}

#[test]
fn an_endpoint_without_a_listener_is_refused() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let outcome = LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        drop(listener);
        check(address).await.0
    });
    assert_eq!(outcome, HealthCheckOutcome::Refused);
}
