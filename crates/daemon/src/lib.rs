//! The daemon that runs one controller. It owns the sockets, files, threads and clocks: it passes their events to
//! [`lockcroft_fleet::FleetController`] and executes the effects that the controller returns.
//!
//! `event_loop` is the entry point.

#![warn(missing_docs)]

mod endpoint_list_watcher;
mod error;
mod event;
mod event_loop;
mod health_checks;
mod logging;
mod operator_commands;
mod proxy_connections;
mod snapshot_publisher;
mod snapshot_status;
mod state_writer;
mod worker_thread;

use lockcroft_config::DaemonConfig;
use lockcroft_signals::Signals;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;
use tracing::warn;

pub use crate::error::DaemonError;
pub use crate::health_checks::{HealthCheckResult, check_health};
pub use crate::logging::{Logging, LoggingError, start_logging};

/// Runs a controller until the process receives SIGTERM or SIGINT. Blocks the calling thread meanwhile. Proxies keep
/// their tables after the shutdown.
///
/// # Errors
/// Logging could not be initialized, a listening socket of the runtime API could not be bound, the keys of the table
/// files could not be read, or a thread could not be spawned.
pub fn serve(config: &DaemonConfig, runtime: &Runtime, signals: Signals) -> Result<(), DaemonError> {
    let logging = start_logging(&config.log)?;
    LocalSet::new().block_on(runtime, event_loop::run(config, logging, signals))
}

/// Logs a warning about a condition that operators have to handle.
fn warn_operators(text: &str) {
    warn!(target: "lockcroft::daemon", "{text}");
}
