//! HTTP health checks of endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::HttpResponse;

const HEALTH_CHECK_PATH: &str = "/health";
/// The header in which endpoints report the fraction of their cores in use, from 0 to 1.
const LOAD_HEADER: &str = "x-load";
/// The body is not used, only limited in size.
const MAX_BODY_BYTES: usize = 1 << 16;

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// The outcome by the response's status code, or by how the call failed.
    pub outcome: HealthCheckOutcome,
    /// The duration from connecting to the outcome.
    pub latency: Duration,
}

/// Sends a health check to an endpoint and waits for its outcome, for at most [`lockcroft::HEALTH_CHECK_TIMEOUT`].
pub async fn check_health(address: SocketAddr) -> HealthCheckResult {
    let (outcome, latency) =
        lockcroft_http_client::check_health(address, HEALTH_CHECK_PATH, MAX_BODY_BYTES, outcome_of_response)
            .await;
    HealthCheckResult { outcome, latency }
}

fn outcome_of_response(response: &HttpResponse) -> HealthCheckOutcome {
    let load = response.headers.get(LOAD_HEADER).and_then(|load| load.to_str().ok()?.parse().ok());
    lockcroft_http_client::outcome_of_status(response.status, load)
}
