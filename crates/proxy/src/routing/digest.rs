//! The digest of a proxy's tables, with which a controller checks at low cost that they are as it assigned them.

use lockcroft_runtime_api::tables::Digest;

use super::state::RoutingState;

impl RoutingState {
    /// Returns a number that is the same for all proxies with the same entries, class map and variables.
    #[must_use]
    pub fn digest(&self) -> i64 {
        let mut digest = Digest::default();
        for (name, backend) in &self.backends {
            for entry in backend.entries_by_name() {
                digest.add_entry(name, &entry.name, entry.address, entry.weight, entry.is_not_ready());
            }
        }
        for (class, backend) in &self.class_map {
            digest.add_class(class, backend);
        }
        for (name, value) in &self.variables {
            digest.add_variable(name, *value);
        }
        digest.value()
    }
}
