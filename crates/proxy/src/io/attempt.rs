//! One attempt: a request to one endpoint, and what came of it.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use tokio::time::timeout;

use super::bodies::{Body, RequestBody, empty_body, full_body};
use super::connection_pool::{Connection, SendResult, connect, send};
use super::headers::{
    CLIENT_TIMEOUT, PROXY_NAME, REJECTED_UNREAD, TABLE_VERSION, header_value, remove_hop_by_hop,
};
use super::worker::Worker;
use crate::attempts::AttemptOutcome;
use crate::routing::ChosenEndpoint;

const VIA: HeaderValue = HeaderValue::from_static("1.1 lockcroft");

/// A client's request, apart from its body.
pub struct RequestHead {
    pub id: String,
    pub class: String,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    /// When the client's timeout ends, as time since the proxy's start.
    pub deadline: Duration,
}

/// How an attempt ended, and the response that the client gets if it was the last.
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

/// A response without a body.
pub fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty_body());
    *response.status_mut() = status;
    response
}

/// Sends a request to an endpoint, within a time limit.
pub async fn attempt(
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

/// Sends a request over an idle connection or, where there is none or it was closed before a byte was
/// written, over a new one.
async fn exchange(
    request: &RequestHead,
    endpoint: &ChosenEndpoint,
    body: &mut RequestBody,
    worker: &Worker,
) -> AttemptResult {
    let Some(mut message) = endpoint_request(request, endpoint, body, worker) else {
        return AttemptResult::bad_gateway(AttemptOutcome::ConnectFailed);
    };
    let idle = worker.connections.borrow_mut().take(endpoint.address);
    if let Some(connection) = idle {
        match send(connection, message).await {
            SendResult::Response(response, connection) => {
                return receive(response, connection, endpoint.address, worker).await;
            }
            SendResult::NotSent(unsent) => message = unsent,
            SendResult::Broken => return AttemptResult::bad_gateway(AttemptOutcome::ConnectionBroken),
        }
    }
    let Some(connection) = connect(endpoint.address, worker.config.connect_timeout).await else {
        return AttemptResult::bad_gateway(AttemptOutcome::ConnectFailed);
    };
    match send(connection, message).await {
        SendResult::Response(response, connection) => {
            receive(response, connection, endpoint.address, worker).await
        }
        SendResult::NotSent(_) => AttemptResult::bad_gateway(AttemptOutcome::ConnectFailed),
        SendResult::Broken => AttemptResult::bad_gateway(AttemptOutcome::ConnectionBroken),
    }
}

/// The request as it goes to the endpoint; `None` if its URI has no path.
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

/// Takes a response from an endpoint. A small one is buffered before a byte goes to the client, so that an
/// incomplete one becomes an error and not half a response.
async fn receive(
    response: Response<Incoming>,
    connection: Connection,
    address: SocketAddr,
    worker: &Worker,
) -> AttemptResult {
    let (mut head, body) = response.into_parts();
    let outcome = outcome_of(head.status, &head.headers);
    remove_hop_by_hop(&mut head.headers);
    let max_bytes = worker.config.max_buffered_body_bytes;
    let is_small = body.size_hint().upper().is_some_and(|upper| upper <= max_bytes as u64);
    if !is_small {
        return AttemptResult { outcome, response: Response::from_parts(head, body.boxed_unsync()) };
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => {
            worker.connections.borrow_mut().put(address, connection);
            let body = full_body(collected.to_bytes());
            AttemptResult { outcome, response: Response::from_parts(head, body) }
        }
        Err(_) => AttemptResult::bad_gateway(AttemptOutcome::ConnectionBroken),
    }
}

fn outcome_of(status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
    if status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(REJECTED_UNREAD) {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Answered(status.as_u16())
    }
}
