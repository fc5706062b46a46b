//! The configuration file: read at the start, and again at SIGHUP.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use tracing::{info, warn};

use super::error::ConfigFileError;
use crate::config::Config;

/// How often a file that can't be used is read after SIGHUP, and the time between.
const RELOAD_ATTEMPTS: usize = 10;
const RELOAD_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the configuration file.
///
/// # Errors
/// The file can't be read or used.
pub fn read_config(path: &Path) -> Result<Config, ConfigFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigFileError::Read { path: path.to_path_buf(), source })?;
    Config::parse(&text).map_err(|source| ConfigFileError::Invalid { path: path.to_path_buf(), source })
}

/// Reads the file again. The address of discovery may change while the controller runs; the rest holds from start to
/// end. A file that can't be used changes nothing; as it may be half written, it is read a few times more.
pub async fn reload(path: PathBuf, discovery_address: watch::Sender<SocketAddr>) {
    for _ in 0..RELOAD_ATTEMPTS {
        match read_config(&path) {
            Ok(config) => {
                let new = config.discovery;
                let changed = discovery_address.send_if_modified(|held| std::mem::replace(held, new) != new);
                info!(target: "lockcroft::platform", discovery = %new, changed, "configuration reloaded");
                return;
            }
            Err(error) => {
                warn!(target: "lockcroft::platform", %error, "what was read before stays");
            }
        }
        sleep(RELOAD_RETRY_INTERVAL).await;
    }
}
