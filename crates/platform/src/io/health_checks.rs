//! Health checks: one call to an endpoint, and what its response says.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::HttpResponse;
use tracing::debug;

use crate::load_report::parse_load_report;

/// Load reports are short.
const MAX_REPORT_BYTES: usize = 4096;
/// Answers with the load report; for deployments that have reports.
const LOAD_PATH: &str = "/metrics/load";
const ALIVE_PATH: &str = "/alive";

/// Checks an endpoint; gives the outcome and how long it took.
pub async fn check(address: SocketAddr, requests_load: bool) -> (HealthCheckOutcome, Duration) {
    let path = if requests_load { LOAD_PATH } else { ALIVE_PATH };
    let classify = |response: &HttpResponse| classify(address, response);
    lockcroft_http_client::check_health(address, path, MAX_REPORT_BYTES, classify).await
}

fn classify(address: SocketAddr, response: &HttpResponse) -> HealthCheckOutcome {
    let HttpResponse { status, body, .. } = response;
    if !status.is_success() {
        debug!(target: "lockcroft::health_check", %status, ?body, %address);
    }
    let load = parse_load_report(&String::from_utf8_lossy(body));
    lockcroft_http_client::outcome_of_status(*status, load)
}
