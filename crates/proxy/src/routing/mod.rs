//! The routing state of a proxy: its tables, the map from classes to tables, its variables and the results of its
//! own attempts. These modules use neither I/O nor a clock; times are passed in, as time since the proxy's start.

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
