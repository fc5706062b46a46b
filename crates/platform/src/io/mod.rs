//! The sockets, signals and clock of the controller on the platform. All tasks run on one thread and belong to the
//! [`LocalSet`] of [`serve`]: when it returns, those that still run end with it.

mod connection;
mod connection_handle;
mod discovery;
mod error;
mod health_checks;
mod listener;
mod reload;
mod shared;
mod signals;
mod tick_loop;

use std::path::Path;

use tokio::task::LocalSet;

use crate::config::Config;

pub use self::error::{ConfigFileError, ServeError};
pub use self::reload::open;
use self::signals::Signals;

/// Runs the controller until SIGTERM; proxies keep their tables then. SIGHUP reads the file at `path` again.
///
/// # Errors
/// The runtime, the signals or the listener's address can't be had.
pub fn serve(path: &Path, config: Config) -> Result<(), ServeError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ServeError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        // Before anything else: neither signal may end the process by default, however early it comes.
        let mut signals = Signals::new()?;
        let listener = tokio::select! {
            listener = listener::bind(&config) => listener?,
            () = signals.terminated() => return Ok(()),
        };
        tick_loop::run(path, config, listener, signals).await;
        Ok(())
    })
}
