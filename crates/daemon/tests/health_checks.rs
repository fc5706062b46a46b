//! Outcomes of health checks against endpoints that respond, fail or stay silent.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{HEALTH_CHECK_TIMEOUT, HealthCheckOutcome};
use lockcroft_daemon::check_health;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// Starts an endpoint that reads one request, waits, and writes the response, or closes the connection without one.
async fn start_endpoint(response: Option<&'static str>, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("accepted");
        let _ = stream.read(&mut [0; 1024]).await;
        tokio::time::sleep(delay).await;
        if let Some(response) = response {
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

#[test]
fn each_response_or_failure_maps_to_its_outcome() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime built");
    LocalSet::new().block_on(&runtime, async {
        let no_delay = Duration::ZERO;
        let cases = [
            (
                Some("HTTP/1.1 200 OK\r\nx-load: 0.25\r\ncontent-length: 0\r\n\r\n"),
                no_delay,
                HealthCheckOutcome::Passed(Some(0.25)),
            ),
            (Some("HTTP/1.1 204 No Content\r\n\r\n"), no_delay, HealthCheckOutcome::Passed(None)),
            (Some("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"), no_delay, HealthCheckOutcome::Failed),
            (Some("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"), no_delay, HealthCheckOutcome::Rejected),
            (Some("no such thing\r\n\r\n"), no_delay, HealthCheckOutcome::Refused),
            (None, no_delay, HealthCheckOutcome::Refused),
            (None, HEALTH_CHECK_TIMEOUT * 2, HealthCheckOutcome::Failed),
        ];
        for (response, delay, expected) in cases {
            let address = start_endpoint(response, delay).await;
            assert_eq!(check_health(address).await.outcome, expected, "{response:?} after {delay:?}");
        }
        let unused_address =
            TcpListener::bind("127.0.0.1:0").await.and_then(|listener| listener.local_addr()).expect("bound");
        assert_eq!(check_health(unused_address).await.outcome, HealthCheckOutcome::Refused);
    });
}
