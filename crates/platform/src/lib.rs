//! The controller on the users' platform: streams of proxies, collectors, discovery and health checks as one more way
//! in and out of the decisions of [`lockcroft::Controller`].
//!
//! The core is free of I/O and clock: [`ControlPlane`] takes what arrives and returns the [`Effect`]s to carry out.
//! Sockets, signals and the clock are in [`io`]. The names of the protocol's fields stand in three modules only:
//! `inbound` (messages of proxies and collectors), `list_message` (discovery) and `outbound` (messages to proxies).

#![warn(missing_docs)]

mod assigned_table;
mod config;
mod connection_admission;
mod control_plane;
mod ejections;
mod endpoint_list;
mod inbound;
pub mod io;
mod list_message;
mod load_report;
mod outbound;
mod proxy_stream;

pub use config::{Config, ConfigError};
pub use connection_admission::{AcceptDecision, ConnectionId};
pub use control_plane::{ControlPlane, Counters, Effect};
pub use list_message::{EntryError, ListError};
pub use load_report::parse_load_report;
