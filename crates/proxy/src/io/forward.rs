//! One request, from the client's head to the final response: admission, the wait for an endpoint with
//! capacity, attempts, and the decision on a retry.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::attempt::{AttemptResult, RequestHead, attempt, status_response};
use super::bodies::{Body, RequestBody};
use super::guards::{AttemptGuard, CountGuard, RetryReservation};
use super::headers::{CLIENT_ID, CLIENT_TIMEOUT, REQUEST_ID, header_text};
use super::worker::Worker;
use crate::attempts::may_retry;
use crate::routing::Choice;

/// The final response to a request.
struct FinalResponse {
    response: Response<Body>,
    attempts: u32,
}

impl FinalResponse {
    fn without_attempt(response: Response<Body>) -> Self {
        FinalResponse { response, attempts: 0 }
    }
}

/// Answers a client's request.
///
/// # Errors
/// None; the type is the HTTP library's.
pub async fn forward(request: Request<Incoming>, worker: Rc<Worker>) -> Result<Response<Body>, hyper::Error> {
    let mut response = route(request, &worker).await;
    if worker.is_draining() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Routes a request by its class, and logs how it ended.
async fn route(request: Request<Incoming>, worker: &Worker) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(head) = request_head(head, worker) else {
        return status_response(StatusCode::NOT_FOUND);
    };
    let started_at = worker.now();
    let FinalResponse { response, attempts } = respond(&head, body, worker).await;
    tracing::debug!(
        target: "lockcroft::request",
        request = head.id,
        class = head.class,
        attempts,
        status = response.status().as_u16(),
        duration_us = (worker.now() - started_at).as_micros() as u64,
        "ended"
    );
    response
}

/// The request with its class, the first part of its path; `None` if there is no such class.
fn request_head(head: Parts, worker: &Worker) -> Option<RequestHead> {
    let class = head.uri.path().split('/').nth(1).unwrap_or_default().to_string();
    let (_, default_timeout) = worker.config.classes.iter().find(|(name, _)| *name == class)?;
    let stated = header_text(&head.headers, CLIENT_TIMEOUT).and_then(|text| text.parse().ok());
    let client_timeout = stated.map_or(*default_timeout, Duration::from_millis);
    Some(RequestHead {
        id: header_text(&head.headers, REQUEST_ID).unwrap_or("-").into(),
        class,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        deadline: worker.now() + client_timeout,
    })
}

async fn respond(request: &RequestHead, body: Incoming, worker: &Worker) -> FinalResponse {
    if !worker.state().admit(&request.class, client_draw(request)) {
        return FinalResponse::without_attempt(rejection(worker));
    }
    let time_left = request.deadline.saturating_sub(worker.now());
    let body = RequestBody::receive(body, worker.config.max_buffered_body_bytes, time_left).await;
    let Some(body) = body else {
        return FinalResponse::without_attempt(status_response(StatusCode::REQUEST_TIMEOUT));
    };
    attempt_until_final(request, body, worker).await
}

async fn attempt_until_final(request: &RequestHead, mut body: RequestBody, worker: &Worker) -> FinalResponse {
    worker.retry_budget.borrow_mut().record_first_attempt();
    let mut attempts = 0;
    let mut previous: Option<String> = None;
    let mut retry: Option<RetryReservation<'_>> = None;
    loop {
        let Some(attempt) = wait_for_endpoint(request, previous.as_deref(), worker).await else {
            return FinalResponse { response: rejection(worker), attempts };
        };
        if let Some(retry) = retry.take() {
            retry.spend();
        }
        let Attempted { result, endpoint } = timed_attempt(request, attempt, &mut body, worker).await;
        attempts += 1;
        let retries_enabled = worker.state().retries_enabled(&request.class);
        let may_retry = may_retry(attempts, result.outcome, retries_enabled)
            && body.is_buffered()
            && worker.now() < request.deadline;
        retry = if may_retry { RetryReservation::try_reserve(worker) } else { None };
        if retry.is_none() {
            return FinalResponse { response: result.response, attempts };
        }
        previous = Some(endpoint);
    }
}

/// An attempt that ended.
struct Attempted {
    result: AttemptResult,
    /// The name of its endpoint.
    endpoint: String,
}

/// Makes one attempt and records its outcome and latency.
async fn timed_attempt(
    request: &RequestHead,
    in_flight: AttemptGuard<'_>,
    body: &mut RequestBody,
    worker: &Worker,
) -> Attempted {
    let started_at = worker.now();
    let time_limit = request.deadline.saturating_sub(started_at).min(worker.config.attempt_timeout);
    let result = attempt(request, in_flight.endpoint(), body, time_limit, worker).await;
    let latency = worker.now() - started_at;
    let endpoint = in_flight.end(result.outcome, latency);
    if !result.outcome.is_failure() {
        worker.latencies.borrow_mut().record(&endpoint, &request.class, latency);
    }
    Attempted { result, endpoint }
}

/// The result of choosing an endpoint for an attempt, which counts as in flight from then on.
enum Selection<'a> {
    Attempt(AttemptGuard<'a>),
    Saturated,
    NoEndpoint,
}

/// An attempt at an endpoint with capacity. Waits a bounded time for one, beside a bounded number of other
/// requests.
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

async fn wait_for_capacity<'a>(
    request: &RequestHead,
    excluded: Option<&str>,
    worker: &'a Worker,
) -> Option<AttemptGuard<'a>> {
    let wait_until = (worker.now() + worker.config.queue_timeout).min(request.deadline);
    loop {
        let time_left = wait_until.saturating_sub(worker.now());
        // Each release of capacity wakes all that wait, so that none is lost with one that is dropped.
        if time_left.is_zero() || timeout(time_left, worker.capacity.notified()).await.is_err() {
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

/// A number from 0 up to 1 by which admission is decided; the same whenever a client comes again.
fn client_draw(request: &RequestHead) -> f64 {
    /// FNV-1a, 64 bits.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    /// Spreads the hash over the high bits (Fibonacci hashing).
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

    let client = header_text(&request.headers, CLIENT_ID).unwrap_or(&request.id);
    let hash = client.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME));
    // The upper 53 bits are what the fraction of an f64 holds.
    (hash.wrapping_mul(MULTIPLIER) >> 11) as f64 / (1_u64 << 53) as f64
}

/// 503 with `Retry-After`: shed, or no endpoint could take the request.
fn rejection(worker: &Worker) -> Response<Body> {
    let mut response = status_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = worker.config.retry_after.as_secs_f64().ceil() as u64;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}
