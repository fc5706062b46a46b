//! Loads the configuration file at startup, and reloads it on SIGHUP.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use tracing::{info, warn};

use super::error::ConfigFileError;
use crate::config::Config;

/// The number of attempts to reload the file after SIGHUP, and the delay between them.
const RELOAD_ATTEMPTS: usize = 10;
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reads and parses the configuration file.
///
/// # Errors
/// Returns an error if the file can't be read or its content is invalid.
pub fn read_config(path: &Path) -> Result<Config, ConfigFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigFileError::Read { path: path.to_path_buf(), source })?;
    Config::parse(&text).map_err(|source| ConfigFileError::Invalid { path: path.to_path_buf(), source })
}

/// Reloads the configuration file. Only a change of the address of discovery takes effect; all other settings apply
/// from startup. An invalid file changes nothing; as it may be incomplete while it is being written, it is read a few
/// more times.
pub async fn reload(path: PathBuf, discovery_address: watch::Sender<SocketAddr>) {
    for _ in 0..RELOAD_ATTEMPTS {
        match read_config(&path) {
            Ok(config) => {
                let new = config.discovery;
                let changed =
                    discovery_address.send_if_modified(|current| std::mem::replace(current, new) != new);
                info!(target: "lockcroft::platform", discovery = %new, changed, "reloaded the configuration");
                return;
            }
            Err(error) => {
                warn!(
                    target: "lockcroft::platform",
                    %error, "cannot reload the configuration, keeping the current one"
                );
            }
        }
        sleep(RELOAD_RETRY_INTERVAL).await;
    }
}
