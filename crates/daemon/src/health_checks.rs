//! Health checks: what an endpoint's answer to a call means.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::HttpResponse;

const PATH: &str = "/health";
/// The header in which endpoints report the fraction of their cores in use, from 0 to 1.
const LOAD_HEADER: &str = "x-load";
/// What an endpoint answers beside its load is not looked at.
const MAX_BODY_BYTES: usize = 1 << 16;

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// What the answer means.
    pub outcome: HealthCheckOutcome,
    /// How long it took.
    pub latency: Duration,
}

/// Calls an endpoint's health check.
pub async fn check_health(address: SocketAddr) -> HealthCheckResult {
    let (outcome, latency) =
        lockcroft_http_client::check_health(address, PATH, MAX_BODY_BYTES, read_outcome).await;
    HealthCheckResult { outcome, latency }
}

fn read_outcome(response: &HttpResponse) -> HealthCheckOutcome {
    let load = response.headers.get(LOAD_HEADER).and_then(|load| load.to_str().ok()?.parse().ok());
    lockcroft_http_client::outcome_of_status(response.status, load)
}
