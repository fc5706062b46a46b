//! Everything by which a proxy routes requests, free of I/O and clock: its tables, the map from classes to
//! tables, its variables, and what its own attempts showed. Times are measured from the proxy's start.

mod attempt_counter;
mod backend;
mod digest;
mod entry;
mod limits;
mod requests;
mod state;

pub use backend::Backend;
pub use entry::TableEntry;
pub use limits::{DEFAULT_TABLE, LoadBalancingLimits, MAX_WEIGHT};
pub(crate) use requests::{ADMISSION_VARIABLE, RETRY_VARIABLE};
pub use requests::{Choice, ChosenEndpoint};
pub use state::{ClassCounters, RoutingState, TableSet};
