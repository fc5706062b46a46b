//! Probes: what a server's answer to a call tells.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::HttpResponse;

/// Where servers tell the share of their cores in use, from 0 to 1.
const LOAD: &str = "x-load";
/// What a server says beside its load is not looked at.
const BODY_MOST: usize = 1 << 16;

pub async fn probe(address: SocketAddr) -> (HealthCheckOutcome, Duration) {
    lockcroft_http_client::check_health(address, "/health", BODY_MOST, read).await
}

fn read(answer: &HttpResponse) -> HealthCheckOutcome {
    let load = answer.headers.get(LOAD).and_then(|load| load.to_str().ok()?.parse().ok());
    lockcroft_http_client::outcome_of_status(answer.status, load)
}
