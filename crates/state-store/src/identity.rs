//! Identity of the controller and fleet to which a persisted state belongs.

/// The controller and the fleet to which a persisted state belongs. A state of another identity is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreIdentity {
    /// Name of the controller.
    pub controller: String,
    /// CRC-32 of the names of zones, machine types and classes, each followed by a zero byte.
    pub fleet_digest: u64,
}

impl StoreIdentity {
    /// Returns the identity of a controller whose fleet has these names, in the order zones, machine types, classes.
    pub fn from_names<'a>(controller: &str, fleet_names: impl Iterator<Item = &'a str>) -> Self {
        let mut checksum = crc32fast::Hasher::new();
        for name in fleet_names {
            checksum.update(name.as_bytes());
            checksum.update(&[0]);
        }
        StoreIdentity { controller: controller.into(), fleet_digest: u64::from(checksum.finalize()) }
    }
}
