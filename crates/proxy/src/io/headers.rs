//! Headers that the proxy reads, adds and removes. Their names are part of the wire.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// The client's timeout in milliseconds. What is left of it goes along to the endpoint, which may drop a
/// request that nobody waits for.
pub const CLIENT_TIMEOUT: &str = "x-patience-ms";
/// The request's own id.
pub const REQUEST_ID: &str = "x-visit";
/// The client, so that one whose request is shed is shed again.
pub const CLIENT_ID: &str = "x-client";
/// Name and version of the table by which the endpoint was chosen.
pub const TABLE_VERSION: &str = "x-table";
/// The proxy's name.
pub const PROXY_NAME: &str = "x-relay";
/// An endpoint's statement that it rejected a request without reading it.
pub const REJECTED_UNREAD: &str = "x-unread";

/// Headers of one hop only (RFC 9110, 7.6.1); `Connection` may name more.
const HOP_BY_HOP: [&str; 7] = [
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "proxy-authorization",
];

/// Removes the headers that concern one hop only.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// The text of a header, if there is one and it is text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The value of a header from text that should hold nothing but visible ASCII.
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("-"))
}
