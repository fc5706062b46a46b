//! The entry of an endpoint in a backend of a proxy.

use std::net::SocketAddr;

use lockcroft::TableId;

/// A backend of a proxy: a table of the controller, or another backend by its position in the list of those that the
/// proxy reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Backend {
    Table(TableId),
    Other(usize),
}

/// The entry of an endpoint in a backend, as reported or acknowledged by the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// The weight, in units of the runtime API.
    pub weight: u32,
    /// True if the proxy sends no requests to the endpoint.
    pub in_maintenance: bool,
    /// The endpoint's address; `None` if the proxy reported no valid IP address.
    pub address: Option<SocketAddr>,
}

impl AppliedEntry {
    /// Returns the address for commands and digests: `0.0.0.0:0` if the proxy reported none.
    pub fn address_or_unspecified(&self) -> SocketAddr {
        self.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }
}
