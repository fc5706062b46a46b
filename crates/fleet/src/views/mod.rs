//! What a controller shows to operators through the runtime API: tables in the form of HAProxy's Management Guide
//! where it has one. The words shown are the runtime API's and stay as they are, whatever the code calls a thing.
//!
//! Writing to a `String` cannot fail, so what `writeln!` gives back is passed over in these modules.

mod arguments;
mod endpoints;
mod fleet;
mod info;
mod plan;

use crate::fleet_controller::FleetController;

impl FleetController {
    /// The events from a position on, as far as they are still there; the position moves behind them.
    pub fn events_since(&self, position: &mut u64) -> String {
        self.events.since(position)
    }
}
