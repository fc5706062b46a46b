//! HTTP headers exchanged by the load generator, proxies and fake endpoints.

use std::str::FromStr;

use hyper::HeaderMap;

/// The id of a request. A client's retry has a new id; a proxy's retry keeps the id.
pub const REQUEST_ID: &str = "x-visit";
/// The time left until the client's timeout, in milliseconds.
pub const REMAINING_TIMEOUT_MS: &str = "x-patience-ms";
/// The name of the proxy that forwarded the request.
pub const PROXY: &str = "x-relay";
/// The table by which the proxy chose the endpoint, with its version, such as `t0@17`.
pub const TABLE: &str = "x-table";
/// Set on a response if the request was rejected before any of it was executed.
pub const NOT_EXECUTED: &str = "x-unread";

/// Returns the value of a header, or `None` if the header is missing or can't be parsed as `T`.
pub fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
