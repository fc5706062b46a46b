//! Sockets, signals and the clock of the controller process on the platform. All tasks run on one thread in the
//! [`LocalSet`] of [`serve`], and those that still run when it returns are dropped.

mod connection;
mod connection_handle;
mod discovery;
mod error;
mod health_checks;
mod listener;
mod reload;
mod shared;
mod tick_loop;

use std::path::Path;

use lockcroft_signals::Signals;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::config::Config;

pub use self::error::{ConfigFileError, ServeError};
pub use self::reload::read_config;

/// Runs the controller until SIGTERM; proxies keep their tables afterwards. SIGHUP reloads the configuration file at
/// `path`. Blocks the calling thread.
///
/// # Errors
/// Returns an error if the controller can't listen on the configured address.
pub fn serve(path: &Path, config: Config, runtime: &Runtime, mut signals: Signals) -> Result<(), ServeError> {
    let tasks = LocalSet::new();
    tasks.block_on(runtime, async {
        let listener = tokio::select! {
            listener = listener::bind(&config) => listener?,
            () = signals.recv_termination() => return Ok(()),
        };
        tick_loop::run(path, config, listener, signals).await;
        Ok(())
    })
}
