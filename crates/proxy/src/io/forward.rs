//! Handles a request from its head to the final response: admission, waiting for an endpoint with capacity,
//! attempts, and the decision on a retry.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::attempt::{AttemptResult, RequestHead, make_attempt, status_response};
use super::bodies::{Body, RequestBody};
use super::guards::{AttemptGuard, CountGuard, RetryReservation};
use super::headers::{CLIENT_ID, CLIENT_TIMEOUT, REQUEST_ID, header_text};
use super::worker::Worker;
use crate::attempts::may_retry;
use crate::routing::Choice;

/// The final response to a request, and the number of attempts made for it.
struct FinalResponse {
    response: Response<Body>,
    attempts: u32,
}

impl FinalResponse {
    fn without_attempt(response: Response<Body>) -> Self {
        FinalResponse { response, attempts: 0 }
    }
}

/// Forwards a client's request and returns the response. While the proxy drains, the response closes the
/// connection. If the client resets the connection, the future is dropped and the attempt in flight is
/// abandoned.
pub async fn forward(request: Request<Incoming>, worker: Rc<Worker>) -> Response<Body> {
    let mut response = answer(request, &worker).await;
    if worker.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answers a request and logs the result. A request whose client resets the connection first is not logged.
async fn answer(request: Request<Incoming>, worker: &Worker) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(head) = request_head(head, worker) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let started_at = worker.now();
    let FinalResponse { response, attempts } = admit_and_forward(&head, body, worker).await;
    tracing::debug!(
        target: "lockcroft::request",
        request = head.id,
        class = head.class,
        attempts,
        status = response.status().as_u16(),
        duration_us = (worker.now() - started_at).as_micros() as u64,
        "answered request"
    );
    response
}

/// Returns the head of a request with its class, which is the first segment of the path, and the end of its
/// client timeout. Returns `None` if no class of this name is configured.
fn request_head(head: Parts, worker: &Worker) -> Option<RequestHead> {
    let class = head.uri.path().split('/').nth(1).unwrap_or_default().to_string();
    let (_, default_timeout) = worker.config.classes.iter().find(|(name, _)| *name == class)?;
    let requested_timeout_ms = header_text(&head.headers, CLIENT_TIMEOUT).and_then(|text| text.parse().ok());
    let client_timeout = requested_timeout_ms.map_or(*default_timeout, Duration::from_millis);
    Some(RequestHead {
        id: header_text(&head.headers, REQUEST_ID).unwrap_or("-").into(),
        class,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        deadline: worker.now() + client_timeout,
    })
}

/// Admits or sheds a request, receives its body and forwards it.
async fn admit_and_forward(request: &RequestHead, body: Incoming, worker: &Worker) -> FinalResponse {
    if !worker.state().admit(&request.class, admission_draw(request)) {
        return FinalResponse::without_attempt(rejection(worker));
    }
    let time_left = request.deadline.saturating_sub(worker.now());
    let max_bytes = worker.config.max_buffered_body_bytes;
    let body = RequestBody::receive(body, max_bytes, &worker.buffered_bytes, time_left).await;
    let Some(body) = body else {
        return FinalResponse::without_attempt(status_response(StatusCode::REQUEST_TIMEOUT));
    };
    attempt_until_final(request, body, worker).await
}

/// Makes attempts until one is not retried. A retry goes to another endpoint than the previous attempt.
async fn attempt_until_final(request: &RequestHead, mut body: RequestBody, worker: &Worker) -> FinalResponse {
    worker.retry_budget.borrow_mut().record_first_attempt();
    let mut attempts = 0;
    let mut previous_endpoint: Option<String> = None;
    let mut reservation: Option<RetryReservation<'_>> = None;
    loop {
        let Some(attempt) = wait_for_endpoint(request, previous_endpoint.as_deref(), worker).await else {
            return FinalResponse { response: rejection(worker), attempts };
        };
        if let Some(reservation) = reservation.take() {
            reservation.spend();
        }
        let CompletedAttempt { result, endpoint } = record_attempt(request, attempt, &mut body, worker).await;
        attempts += 1;
        let retries_enabled = worker.state().retries_enabled(&request.class);
        let may_retry = may_retry(attempts, result.outcome, retries_enabled)
            && body.is_buffered()
            && worker.now() < request.deadline;
        reservation = if may_retry { RetryReservation::try_reserve(worker) } else { None };
        if reservation.is_none() {
            return FinalResponse { response: result.response, attempts };
        }
        previous_endpoint = Some(endpoint);
    }
}

/// The result of an attempt whose outcome was recorded.
struct CompletedAttempt {
    result: AttemptResult,
    /// The name of the endpoint.
    endpoint: String,
}

/// Makes one attempt and records its outcome and latency.
async fn record_attempt(
    request: &RequestHead,
    in_flight: AttemptGuard<'_>,
    body: &mut RequestBody,
    worker: &Worker,
) -> CompletedAttempt {
    let started_at = worker.now();
    let time_limit = request.deadline.saturating_sub(started_at).min(worker.config.attempt_timeout);
    let result = make_attempt(request, in_flight.endpoint(), body, time_limit, worker).await;
    let latency = worker.now() - started_at;
    let endpoint = in_flight.record_outcome(result.outcome, latency);
    if !result.outcome.is_failure() {
        worker.latencies.borrow_mut().record(&endpoint, &request.class, latency);
    }
    CompletedAttempt { result, endpoint }
}

/// The result of choosing an endpoint for an attempt.
enum Selection<'a> {
    /// An endpoint was chosen; the attempt counts as in flight from now on.
    Attempt(AttemptGuard<'a>),
    /// No endpoint has capacity at present.
    Saturated,
    NoEndpoint,
}

/// Chooses an endpoint with capacity, other than the `excluded` one, and waits for capacity if all endpoints
/// are saturated. Returns `None` if there is no endpoint, if the queue of waiting requests is full, or if no
/// capacity becomes free within the queue timeout or the client timeout.
async fn wait_for_endpoint<'a>(
    request: &RequestHead,
    excluded: Option<&str>,
    worker: &'a Worker,
) -> Option<AttemptGuard<'a>> {
    match select_endpoint(request, excluded, worker) {
        Selection::Attempt(attempt) => return Some(attempt),
        Selection::NoEndpoint => return None,
        Selection::Saturated => {}
    }
    if worker.queued_requests.get() >= worker.config.max_queued_requests {
        return None;
    }
    let _queued = CountGuard::new(&worker.queued_requests);
    wait_for_capacity(request, excluded, worker).await
}

/// Waits until an endpoint has capacity, at most until the queue timeout or the client timeout ends.
async fn wait_for_capacity<'a>(
    request: &RequestHead,
    excluded: Option<&str>,
    worker: &'a Worker,
) -> Option<AttemptGuard<'a>> {
    let wait_deadline = (worker.now() + worker.config.queue_timeout).min(request.deadline);
    loop {
        let time_left = wait_deadline.saturating_sub(worker.now());
        // Each release of capacity wakes all waiting requests: if it woke one only, the capacity would stay
        // unused whenever that request was dropped.
        if time_left.is_zero() || timeout(time_left, worker.capacity_changed.notified()).await.is_err() {
            return None;
        }
        match select_endpoint(request, excluded, worker) {
            Selection::Attempt(attempt) => return Some(attempt),
            Selection::NoEndpoint => return None,
            Selection::Saturated => {}
        }
    }
}

fn select_endpoint<'a>(request: &RequestHead, excluded: Option<&str>, worker: &'a Worker) -> Selection<'a> {
    let choice = worker.state().choose(worker.now(), &request.class, excluded);
    match choice {
        Choice::Endpoint(endpoint) => Selection::Attempt(AttemptGuard::new(worker, endpoint)),
        Choice::Saturated => Selection::Saturated,
        Choice::NoEndpoint => Selection::NoEndpoint,
    }
}

/// Returns a number in 0..1 that decides about admission. It is a hash of the client's id, so that retrying
/// does not get a shed client admitted. Without a client's id the request's id is used.
fn admission_draw(request: &RequestHead) -> f64 {
    /// Parameters of the 64-bit FNV-1a hash.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    /// Multiplier of Fibonacci hashing, which mixes the low bits of the hash into the high bits.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

    let client = header_text(&request.headers, CLIENT_ID).unwrap_or(&request.id);
    let hash = client.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // The significand of an f64 holds 53 bits.
    (hash.wrapping_mul(MULTIPLIER) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns a 503 response with `Retry-After`, for a request that was shed or for which no endpoint was
/// available.
fn rejection(worker: &Worker) -> Response<Body> {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = worker.config.retry_after.as_secs_f64().ceil() as u64;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}
