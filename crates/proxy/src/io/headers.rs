//! Headers that the proxy reads, adds and removes. Clients and endpoints depend on their names.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// The client timeout in milliseconds. Endpoints are sent the remaining part, so that they can drop a request
/// that nobody waits for any more.
pub const CLIENT_TIMEOUT: &str = "x-patience-ms";
/// The id of the request.
pub const REQUEST_ID: &str = "x-visit";
/// The id of the client. Admission depends on it, so that a client whose request was shed is shed again.
pub const CLIENT_ID: &str = "x-client";
/// The name and version of the table by which the endpoint was chosen, as `name@version`.
pub const TABLE_VERSION: &str = "x-table";
/// The name of the proxy.
pub const PROXY_NAME: &str = "x-relay";
/// Set by an endpoint on a 503 response if it rejected the request without reading it.
pub const REJECTED_UNREAD: &str = "x-unread";

/// Hop-by-hop headers (RFC 9110, section 7.6.1) beside those that `Connection` names.
const HOP_BY_HOP: [&str; 7] = [
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "proxy-authorization",
];

/// Removes the hop-by-hop headers, which must not be forwarded.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named_by_connection: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named_by_connection {
        headers.remove(name);
    }
    headers.remove(CONNECTION);
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns the text of a header, or `None` if it is missing or contains other than visible ASCII characters.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header value with this text, or `-` if the text contains characters that are invalid in a
/// header.
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("-"))
}
