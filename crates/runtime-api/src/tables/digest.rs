//! The digest of a proxy's tables.

use std::fmt::Write;
use std::net::SocketAddr;

/// Computes the digest by which a controller and a proxy check that they have the same state (`get var proc.digest`).
///
/// Both must add the same items in the same order: the table entries by backend and endpoint, then the class map by
/// class, then the variables, each sorted by name. The text that is hashed and the hash, 64-bit XXH3, are part of the
/// protocol.
#[derive(Clone, Debug, Default)]
pub struct Digest(String);

impl Digest {
    /// Adds a table entry. `not_ready` is true if the entry receives no requests, regardless of its weight.
    pub fn add_entry(
        &mut self,
        backend: &str,
        endpoint: &str,
        address: SocketAddr,
        weight: u32,
        not_ready: bool,
    ) {
        // Writing to a String can't fail, here and below.
        let _ = writeln!(self.0, "{backend} {endpoint} {address} {weight} {not_ready}");
    }

    /// Adds an entry of the class map: the backend to which requests of the class go.
    pub fn add_class(&mut self, class: &str, backend: &str) {
        let _ = writeln!(self.0, "{class} {backend}");
    }

    /// Adds a variable of the process.
    pub fn add_variable(&mut self, name: &str, value: i64) {
        let _ = writeln!(self.0, "{name} {value}");
    }

    /// Returns the digest of the added items: the upper 63 bits of the hash, so that it is not negative.
    #[must_use]
    pub fn value(&self) -> i64 {
        (xxhash_rust::xxh3::xxh3_64(self.0.as_bytes()) >> 1) as i64
    }
}
