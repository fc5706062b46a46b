//! Responses to operator commands of the runtime API, in the formats of HAProxy's Management Guide where it defines
//! one. Column names, keys and values are part of the runtime API and may differ from the names in the code.
//!
//! Writing to a `String` does not fail, so these modules ignore the results of `write!` and `writeln!`.

mod arguments;
mod endpoints;
mod fleet;
mod info;
mod plan;

use crate::fleet_controller::FleetController;

impl FleetController {
    /// Returns the events from a position on, without those that were dropped, and advances the position to the end.
    /// The first position is 0.
    pub fn events_since(&self, position: &mut u64) -> String {
        self.events.since(position)
    }
}
