//! A digest of a proxy's tables.

use std::fmt::Write;
use std::net::SocketAddr;

/// What two sides hold, as one number that they can compare (`get var proc.digest`).
///
/// Added are: the entries by backend and endpoint, then the class map by class, then variables by name, each
/// in the order of their names. The text and the hash, XXH3 with 64 bits, are part of the protocol.
#[derive(Clone, Debug, Default)]
pub struct Digest(String);

impl Digest {
    /// Adds an entry of a table. `not_ready`: it takes no requests, whatever its weight.
    pub fn add_entry(
        &mut self,
        backend: &str,
        endpoint: &str,
        address: SocketAddr,
        weight: u32,
        not_ready: bool,
    ) {
        // Writing to a String cannot fail, here and below.
        let _ = writeln!(self.0, "{backend} {endpoint} {address} {weight} {not_ready}");
    }

    /// Adds an entry of the class map.
    pub fn add_class(&mut self, class: &str, backend: &str) {
        let _ = writeln!(self.0, "{class} {backend}");
    }

    /// Adds a variable.
    pub fn add_variable(&mut self, name: &str, value: i64) {
        let _ = writeln!(self.0, "{name} {value}");
    }

    /// The digest of all that was added; not negative, as it takes half of the hash's range.
    #[must_use]
    pub fn value(&self) -> i64 {
        (xxhash_rust::xxh3::xxh3_64(self.0.as_bytes()) >> 1) as i64
    }
}
