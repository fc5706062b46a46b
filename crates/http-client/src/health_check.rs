//! Health checks: one HTTP call on a new connection, and the classification of its result.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use lockcroft::HEALTH_CHECK_TIMEOUT;
use lockcroft::HealthCheckOutcome;
use tokio::time::timeout;

use crate::connection::{CallError, HttpConnection, HttpResponse};

/// Returns the outcome for the status of a response. `load` is the fraction of its cores in use, if the endpoint
/// reported it. 429 and 503 don't count as failures, as a healthy endpoint may answer so when it gets too many health
/// checks.
#[must_use]
pub fn outcome_of_status(status: StatusCode, load: Option<f64>) -> HealthCheckOutcome {
    match status {
        status if status.is_success() => HealthCheckOutcome::Passed(load),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::Rejected,
        _ => HealthCheckOutcome::Failed,
    }
}

/// Checks an endpoint on a new connection, so that a closed listener is detected, and returns the outcome with the
/// duration of the check. `classify` maps a response with a body of at most `max_body_bytes` to the outcome.
///
/// The check takes at most [`HEALTH_CHECK_TIMEOUT`]. A timeout and a truncated or too long response count as failed,
/// any other connection error as refused. Has to be called within a [`tokio::task::LocalSet`].
pub async fn check_health(
    address: SocketAddr,
    path: &str,
    max_body_bytes: usize,
    classify: impl FnOnce(&HttpResponse) -> HealthCheckOutcome,
) -> (HealthCheckOutcome, Duration) {
    let started_at = Instant::now();
    let call = async { HttpConnection::open(address).await?.get_and_close(path, max_body_bytes).await };
    let outcome = match timeout(HEALTH_CHECK_TIMEOUT, call).await {
        Ok(Ok(response)) => classify(&response),
        Ok(Err(CallError::ResponseTruncated(_))) | Err(_) => HealthCheckOutcome::Failed,
        Ok(Err(_)) => HealthCheckOutcome::Refused,
    };
    (outcome, started_at.elapsed())
}
