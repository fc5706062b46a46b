//! The controller process on the users' platform. It connects [`lockcroft::Controller`] to proxy streams, collectors,
//! service discovery and health checks.
//!
//! [`ControlPlane`] does no I/O and reads no clock: it takes inputs and returns the [`Effect`]s to carry out. Sockets,
//! signals and the clock are in [`io`]. The field names of the protocol appear in three modules only: `inbound`
//! (messages from proxies and collectors), `list_message` (messages from discovery) and `outbound` (messages to
//! proxies).

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
mod message_fields;
mod outbound;
mod proxy_stream;

pub use config::{Config, ConfigError};
pub use connection_admission::{AcceptDecision, ConnectionId};
pub use control_plane::{ControlPlane, Counters, Effect};
pub use list_message::{EntryError, ListError};
pub use load_report::parse_load_report;
