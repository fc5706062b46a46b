//! Tests of the fake endpoint over its socket.

use std::time::Duration;

use lockcroft_testbed::{EndpointConfig, FakeEndpoint, SlowStart, TrafficRecorder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Guards against a queue that stays full after connections closed while their requests were waiting for a core.
#[tokio::test]
async fn closed_connections_free_their_places_in_the_queue() {
    let config = EndpointConfig {
        name: "e1".into(),
        cores: 1,
        speed: 1.0,
        max_queued: 2,
        rejection_work_s: 0.0,
        class_work_s: [("look".to_string(), 0.1)].into(),
        slow_start: SlowStart {
            initial_fraction: 1.0,
            window: Duration::from_secs(1),
            overload_factor: 1.0,
            overload_window: Duration::from_secs(1),
        },
    };
    let endpoint =
        FakeEndpoint::start(config, TrafficRecorder::default()).await.expect("the endpoint starts");
    let mut executing =
        TcpStream::connect(endpoint.address).await.expect("the endpoint accepts the connection");
    executing.write_all(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the request is sent");
    for _ in 0..4 {
        let mut stream =
            TcpStream::connect(endpoint.address).await.expect("the endpoint accepts the connection");
        stream.write_all(b"GET /look HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the request is sent");
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(300)).await;
    let mut stream = TcpStream::connect(endpoint.address).await.expect("the endpoint accepts the connection");
    stream
        .write_all(b"GET /look HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .await
        .expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("the response is complete");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
