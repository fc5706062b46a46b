//! Health checks: one call on a connection of its own, and what its result says of the endpoint.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use lockcroft::HEALTH_CHECK_TIMEOUT;
use lockcroft::HealthCheckOutcome;
use tokio::time::timeout;

use crate::connection::{CallError, HttpConnection, HttpResponse};

/// What the status of a response says of an endpoint; `load` is the fraction of its cores in use, where it reported
/// one. An endpoint that answers that it is overloaded says nothing of its health: it may only be asked by too many.
#[must_use]
pub fn outcome_of_status(status: StatusCode, load: Option<f64>) -> HealthCheckOutcome {
    match status {
        status if status.is_success() => HealthCheckOutcome::Passed(load),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::Rejected,
        _ => HealthCheckOutcome::Failed,
    }
}

/// Checks an endpoint over a connection of its own, so that a listener that is gone shows, and returns the outcome
/// with the time it took. `classify` says what a response with a body of at most `max_body_bytes` means.
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
