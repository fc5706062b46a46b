//! Probes: what a server's answer to a call tells.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::HttpResponse;
use tracing::debug;

use crate::codec::load;

/// Load reports are short.
const REPORT_MOST: usize = 4096;

pub async fn probe(address: SocketAddr, asks_load: bool) -> (HealthCheckOutcome, Duration) {
    let path = if asks_load { "/metrics/load" } else { "/alive" };
    lockcroft_http_client::check_health(address, path, REPORT_MOST, |answer| read(address, answer)).await
}

fn read(address: SocketAddr, answer: &HttpResponse) -> HealthCheckOutcome {
    if !answer.status.is_success() {
        debug!(target: "lockcroft::health_check", status = %answer.status, body = ?answer.body, %address);
    }
    lockcroft_http_client::outcome_of_status(answer.status, load(&String::from_utf8_lossy(&answer.body)))
}
