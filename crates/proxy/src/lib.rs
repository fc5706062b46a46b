//! An HTTP proxy that routes requests by the tables of a controller, which it receives over the runtime API or
//! reads from files.
//!
//! The routing state ([`RoutingState`]), load balancing ([`Chooser`]), the commands of the runtime API
//! ([`ControlSession`]) and retries ([`may_retry`], [`RetryBudget`]) are in modules that use neither I/O nor a
//! clock; the module `io` has the sockets and files.
#![warn(missing_docs)]

mod attempts;
mod choose;
mod commands;
mod config;
mod control_session;
mod framing_validator;
mod io;
mod retry_budget;
mod routing;
mod snapshot_commands;
mod table_transaction;

pub use attempts::{AttemptOutcome, may_retry};
pub use choose::{Chooser, LoadBalancingPolicy, SmoothWeightedRoundRobin, UnknownPolicy, WeightedRandom};
pub use commands::{
    CommandError, MAX_BACKENDS, MAX_MAP_ENTRIES, MAX_PREPARED_MAPS, MAX_SERVERS, MAX_VARIABLES, changes_state,
};
pub use config::{ProxyConfig, SCHEMA, TableFilesConfig};
pub use control_session::ControlSession;
pub use framing_validator::{FramingError, FramingValidator};
pub use io::{DRAIN_TIMEOUT, Proxy, serve};
pub use retry_budget::RetryBudget;
pub use routing::{
    Backend, Choice, ChosenEndpoint, ClassCounters, DEFAULT_TABLE, LoadBalancingLimits, MAX_WEIGHT,
    RoutingState, TableEntry, TableSet,
};
pub use snapshot_commands::SnapshotCommands;
pub use table_transaction::TableTransaction;
