//! The daemon: one controller instance on loopback sockets. Sockets, files, threads and clocks stand here and nothing
//! else: what happens there becomes calls of [`lockcroft_fleet::FleetController`], and its effects are carried out.
//!
//! Start reading at `event_loop`.

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

/// Runs a controller until it is told to end by a signal. Proxies keep their tables then.
///
/// # Errors
/// A socket, a thread or the keys of table files can't be had, or the logs can't be set up.
pub fn serve(config: &DaemonConfig, runtime: &Runtime, signals: Signals) -> Result<(), DaemonError> {
    let logging = start_logging(&config.log)?;
    LocalSet::new().block_on(runtime, event_loop::run(config, logging, signals))
}

/// Warns of something that concerns people rather than decisions.
fn warn_operators(text: &str) {
    warn!(target: "lockcroft::daemon", "{text}");
}
