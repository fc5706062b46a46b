//! A plain HTTP proxy that routes by the tables a controller publishes, over the runtime API or as files.
//!
//! What it routes by ([`RoutingState`]), how it chooses an endpoint ([`Chooser`]), which commands it knows
//! ([`ControlSession`]) and when it retries ([`may_retry`], [`RetryBudget`]) are modules without I/O and clock;
//! the sockets are in `io`.
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
pub use commands::{CommandError, MAX_BACKENDS, changes_state};
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
