//! An entry of a backend at a proxy.

use std::net::SocketAddr;

use lockcroft::TableId;

/// A backend at a proxy: a table of the controller, or another by its position among those met there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Backend {
    Table(TableId),
    Other(usize),
}

/// An endpoint in a backend, as the proxy reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedEntry {
    /// In units of the runtime API.
    pub weight: u32,
    /// The proxy sends no requests there.
    pub in_maintenance: bool,
    pub address: Option<SocketAddr>,
}

impl AppliedEntry {
    /// The address as commands and digests have it, also where the proxy reported none.
    pub fn address_or_unspecified(&self) -> SocketAddr {
        self.address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }
}
