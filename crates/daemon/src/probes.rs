//! Probes: what a server's answer to a call tells.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::Answer;

/// Where servers tell the share of their cores in use, from 0 to 1.
const LOAD: &str = "x-load";
/// What a server says beside its load is not looked at.
const BODY_MOST: usize = 1 << 16;

pub async fn probe(address: SocketAddr) -> (HealthCheckOutcome, Duration) {
    lockcroft_http_client::probe(address, "/health", BODY_MOST, read).await
}

fn read(answer: &Answer) -> HealthCheckOutcome {
    let load = answer.headers.get(LOAD).and_then(|load| load.to_str().ok()?.parse().ok());
    lockcroft_http_client::finding(answer.status, load)
}
