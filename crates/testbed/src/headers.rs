//! The HTTP headers that load generator, proxy and fake endpoint exchange.

use std::str::FromStr;

use hyper::HeaderMap;

/// The id of a request; a client's retry has an id of its own.
pub const REQUEST_ID: &str = "x-visit";
/// What is left of the client's timeout, in milliseconds.
pub const REMAINING_TIMEOUT_MS: &str = "x-patience-ms";
/// The proxy that forwarded the request.
pub const PROXY: &str = "x-relay";
/// The table in force at the proxy with its version, as `t0@17`.
pub const TABLE: &str = "x-table";
/// On a response: proof that the request was rejected before any of it was executed.
pub const NOT_EXECUTED: &str = "x-unread";

/// A header's value, where it has one that reads as this type.
pub fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
