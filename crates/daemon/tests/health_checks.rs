//! Outcomes of health checks, each caused by an endpoint that does just that.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::{HEALTH_CHECK_TIMEOUT, HealthCheckOutcome};
use lockcroft_daemon::check_health;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// An endpoint that reads the call and does this with the connection.
async fn endpoint(answer: Option<&'static str>, wait: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("called");
        let _ = stream.read(&mut [0; 1024]).await;
        tokio::time::sleep(wait).await;
        if let Some(answer) = answer {
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

#[test]
fn each_ending_has_its_outcome() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let no_wait = Duration::ZERO;
        let cases = [
            (
                Some("HTTP/1.1 200 OK\r\nx-load: 0.25\r\ncontent-length: 0\r\n\r\n"),
                no_wait,
                HealthCheckOutcome::Passed(Some(0.25)),
            ),
            (Some("HTTP/1.1 204 No Content\r\n\r\n"), no_wait, HealthCheckOutcome::Passed(None)),
            (Some("HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n"), no_wait, HealthCheckOutcome::Failed),
            (Some("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"), no_wait, HealthCheckOutcome::Rejected),
            (Some("no such thing\r\n\r\n"), no_wait, HealthCheckOutcome::Refused),
            (None, no_wait, HealthCheckOutcome::Refused),
            (None, HEALTH_CHECK_TIMEOUT * 2, HealthCheckOutcome::Failed),
        ];
        for (answer, wait, expected) in cases {
            let address = endpoint(answer, wait).await;
            assert_eq!(check_health(address).await.outcome, expected, "{answer:?} after {wait:?}");
        }
        let nobody = TcpListener::bind("127.0.0.1:0").await.and_then(|l| l.local_addr()).expect("bound");
        assert_eq!(check_health(nobody).await.outcome, HealthCheckOutcome::Refused);
    });
}
