//! A plain proxy that follows published tables exactly. What it holds, how it chooses and when it
//! tries again stand in modules without I/O and clock; the sockets are in `io`.

mod budget;
mod choose;
mod desk;
mod files;
mod held;
mod io;
mod orders;
mod post;
mod tries;

pub use budget::RetryBudget;
pub use choose::{Chooser, LoadBalancingPolicy, SmoothWeightedRoundRobin, WeightedRandom};
pub use desk::MAX_BACKENDS;
pub use files::FileCommands;
pub use held::{Backend, Choice, ChosenEndpoint, Limits, RoutingState, STANDING, TableEntry, TableSet};
pub use io::{Proxy, serve};
pub use orders::{CommandQueue, changes};
pub use post::{ProxyConfig, SCHEMA, TableFilesConfig};
pub use tries::{AttemptOutcome, may_try_again};
