//! Small endpoints and callers on loopback, for rehearsals and tests. All that passes on their
//! sockets goes onto a tap.

mod callers;
mod endpoint;
mod tap;

pub use callers::{ClassLoad, LoadGenerator, call_on};
pub use endpoint::{EndpointConfig, FakeEndpoint, FaultMode};
pub use tap::{TrafficEvent, TrafficRecord, TrafficRecorder};

/// A header's value, where it has one that reads as this type.
fn header<T: std::str::FromStr>(headers: &hyper::HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
