//! The identity that ties a stored state to one controller and one fleet.

/// The controller and the fleet to which a stored state belongs. A state of any other identity is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreIdentity {
    /// Name of the controller.
    pub controller: String,
    /// Digest of the names of zones, machine types and classes.
    pub fleet_digest: u64,
}

impl StoreIdentity {
    /// The identity of a controller whose fleet has these names, in this order: zones, machine types, classes.
    pub fn from_names<'a>(controller: &str, fleet_names: impl Iterator<Item = &'a str>) -> Self {
        let mut checksum = crc32fast::Hasher::new();
        for name in fleet_names {
            checksum.update(name.as_bytes());
            checksum.update(&[0]);
        }
        StoreIdentity { controller: controller.into(), fleet_digest: u64::from(checksum.finalize()) }
    }
}
