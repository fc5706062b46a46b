//! Health checks of endpoints on the platform.

use std::net::SocketAddr;
use std::time::Duration;

use lockcroft::HealthCheckOutcome;
use lockcroft_http_client::HttpResponse;
use tracing::debug;

use crate::load_report::parse_load_report;

/// The maximum size of a response body; load reports are short.
const MAX_REPORT_BYTES: usize = 4096;
/// The path that answers with the load report, in deployments with load reports.
const LOAD_PATH: &str = "/metrics/load";
/// The path for health checks without load reports.
const ALIVE_PATH: &str = "/alive";

/// Checks an endpoint, requesting its load report if `requests_load` is true. Returns the outcome and the duration of
/// the check.
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
