//! A single attempt: sends a request to one endpoint and classifies the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use tokio::time::timeout;

use super::bodies::{Body, RequestBody, buffered_response, empty_body};
use super::connection_pool::{Connection, SendResult, connect, send};
use super::headers::{
    CLIENT_TIMEOUT, PROXY_NAME, REJECTED_UNREAD, TABLE_VERSION, header_value, remove_hop_by_hop,
};
use super::worker::Worker;
use crate::attempts::AttemptOutcome;
use crate::routing::ChosenEndpoint;

const VIA: HeaderValue = HeaderValue::from_static("1.1 lockcroft");

/// A client's request without its body.
pub struct RequestHead {
    pub id: String,
    pub class: String,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// End of the client timeout, as time since the start of the proxy.
    pub deadline: Duration,
}

/// The outcome of an attempt, and the response for the client if no retry follows.
pub struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub response: Response<Body>,
}

impl AttemptResult {
    fn failed(outcome: AttemptOutcome, status: StatusCode) -> Self {
        AttemptResult { outcome, response: status_response(status) }
    }

    fn bad_gateway(outcome: AttemptOutcome) -> Self {
        AttemptResult::failed(outcome, StatusCode::BAD_GATEWAY)
    }
}

/// Returns a response with this status code and an empty body.
pub fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

/// Sends a request to an endpoint and receives the response, within a time limit.
///
/// The limit covers the head of the response and the body if it is buffered, but not a streamed body. If the
/// limit is exceeded, the result is `TimedOut` with status 504 and the connection is closed. A future that is
/// dropped closes the connection too.
pub async fn make_attempt(
    request: &RequestHead,
    endpoint: &ChosenEndpoint,
    body: &mut RequestBody,
    time_limit: Duration,
    worker: &Worker,
) -> AttemptResult {
    timeout(time_limit, exchange(request, endpoint, body, worker))
        .await
        .unwrap_or_else(|_| AttemptResult::failed(AttemptOutcome::TimedOut, StatusCode::GATEWAY_TIMEOUT))
}

/// Sends a request over an idle connection. Uses a new connection if none is idle, or if the idle one turns
/// out to be closed before a byte was written: the endpoint can't have seen the request then.
async fn exchange(
    request: &RequestHead,
    endpoint: &ChosenEndpoint,
    body: &mut RequestBody,
    worker: &Worker,
) -> AttemptResult {
    let Some(mut message) = endpoint_request(request, endpoint, body, worker) else {
        return AttemptResult::bad_gateway(AttemptOutcome::ConnectFailed);
    };
    let idle = worker.connection_pool.borrow_mut().take(endpoint.address);
    if let Some(connection) = idle {
        match send(connection, message).await {
            SendResult::Response(response, connection) => {
                return receive_response(response, connection, endpoint.address, worker).await;
            }
            SendResult::NotSent(unsent) => message = unsent,
            SendResult::ConnectionBroken => {
                return AttemptResult::bad_gateway(AttemptOutcome::ConnectionBroken);
            }
        }
    }
    let Some(connection) = connect(endpoint.address, worker.config.connect_timeout).await else {
        return AttemptResult::bad_gateway(AttemptOutcome::ConnectFailed);
    };
    match send(connection, message).await {
        SendResult::Response(response, connection) => {
            receive_response(response, connection, endpoint.address, worker).await
        }
        SendResult::NotSent(_) => AttemptResult::bad_gateway(AttemptOutcome::ConnectFailed),
        SendResult::ConnectionBroken => AttemptResult::bad_gateway(AttemptOutcome::ConnectionBroken),
    }
}

/// Builds the request that is sent to the endpoint. Returns `None` if the client's URI has no path.
fn endpoint_request(
    request: &RequestHead,
    endpoint: &ChosenEndpoint,
    body: &mut RequestBody,
    worker: &Worker,
) -> Option<Request<Body>> {
    let mut message = Request::new(body.for_attempt());
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.path_and_query()?.as_str().parse().ok()?;
    *message.version_mut() = Version::HTTP_11;
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    remove_hop_by_hop(headers);
    if !headers.contains_key(HOST) {
        headers.insert(HOST, header_value(&endpoint.address.to_string()));
    }
    let time_left = request.deadline.saturating_sub(worker.now());
    headers.insert(CLIENT_TIMEOUT, header_value(&time_left.as_millis().to_string()));
    headers.insert(PROXY_NAME, header_value(&worker.config.name));
    let version = worker.state().table_version(&endpoint.backend);
    headers.insert(TABLE_VERSION, header_value(&format!("{}@{version}", endpoint.backend)));
    headers.append("via", VIA);
    Some(message)
}

/// Receives the body of a response from an endpoint. A body of a known size up to `max_buffered_body_bytes`
/// is buffered before any byte is sent to the client: if it is incomplete, the client gets status 502 instead
/// of a truncated response. Larger bodies, those of unknown size and those for which the budget has no bytes
/// left are streamed, and their connection is not reused.
async fn receive_response(
    response: Response<Incoming>,
    connection: Connection,
    address: SocketAddr,
    worker: &Worker,
) -> AttemptResult {
    let (mut head, body) = response.into_parts();
    let outcome = classify_response(head.status, &head.headers);
    remove_hop_by_hop(&mut head.headers);
    let max_bytes = worker.config.max_buffered_body_bytes;
    let mut reservation = worker.buffered_bytes.reservation();
    let small_size = body.size_hint().upper().filter(|upper| *upper <= max_bytes as u64);
    let is_buffered = small_size.is_some_and(|size| reservation.try_resize(size as usize).is_ok());
    if !is_buffered {
        return AttemptResult { outcome, response: Response::from_parts(head, body.boxed_unsync()) };
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => {
            worker.connection_pool.borrow_mut().put(address, connection);
            let body = buffered_response(collected.to_bytes(), reservation);
            AttemptResult { outcome, response: Response::from_parts(head, body) }
        }
        Err(_) => AttemptResult::bad_gateway(AttemptOutcome::ConnectionBroken),
    }
}

fn classify_response(status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
    if status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(REJECTED_UNREAD) {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Answered(status.as_u16())
    }
}
