//! The configuration file that the platform writes for a controller, read at startup and at each reload.

use std::net::SocketAddr;

use lockcroft::Settings;
use lockcroft_host::{SettingsError, setting_values};
use serde_json::Value;
use thiserror::Error;

/// The smallest memory limit of a controller on the platform, in megabytes.
const MIN_MEMORY_MB: f64 = 32.0;
const BYTES_PER_MB: f64 = 1e6;

/// The configuration of one controller.
pub struct Config {
    /// The name of this controller.
    pub name: String,
    /// The address on which the controller accepts proxies and collectors.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the controller's random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors of this process.
    pub max_descriptors: usize,
    /// The memory limit of this process, in bytes.
    pub max_memory_bytes: usize,
    /// The last endpoint list of this controller's previous run, in the form of a discovery message.
    pub last_known_endpoint_list: Option<Value>,
    /// The settings of the controller's decisions.
    pub settings: Settings,
}

/// An error of parsing a configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing, or its value is not allowed.
    #[error("{field}: {found}; allowed: {allowed}")]
    InvalidField {
        /// The path of the field.
        field: &'static str,
        /// The value that was found; `null` for a missing field.
        found: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// The settings are not an object.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl Config {
    /// Parses a configuration from its JSON text.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON, or if a field is missing or invalid.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let value: Value = serde_json::from_str(text)?;
        let seed = seed(&value)?;
        let max_descriptors = max_descriptors(&value)?;
        let mut settings = setting_values(&value["settings"])?.to_settings();
        // In this protocol, a proxy keeps its ejections when it reconnects, and a complete table carries a nonce.
        settings.fleet.keeps_ejections = true;
        settings.fleet.acknowledgement_entries = 1;
        Ok(Config {
            name: string_field(&value, "name")?.to_string(),
            listen: address(&value, "listen")?,
            discovery: address(&value, "discovery")?,
            seed,
            max_descriptors,
            max_memory_bytes: max_memory_bytes(&value),
            last_known_endpoint_list: value.get("known").filter(|known| !known.is_null()).cloned(),
            settings,
        })
    }
}

fn string_field<'a>(value: &'a Value, field: &'static str) -> Result<&'a str, ConfigError> {
    let found = &value[field];
    found.as_str().ok_or_else(|| ConfigError::InvalidField {
        field,
        found: found.to_string(),
        allowed: "a string",
    })
}

fn address(value: &Value, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = string_field(value, field)?;
    text.parse().map_err(|_| ConfigError::InvalidField {
        field,
        found: format!("{text:?}"),
        allowed: "an IP address and a port",
    })
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    let text = string_field(value, "seed")?;
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidField {
        field: "seed",
        found: format!("{text:?}"),
        allowed: "up to 16 hexadecimal digits",
    })
}

/// Returns the memory limit, or the smallest one that the platform sets if it is missing or invalid.
fn max_memory_bytes(value: &Value) -> usize {
    let megabytes = value["limits"]["memory_mb"].as_f64().filter(|megabytes| *megabytes > 0.0);
    (megabytes.unwrap_or(MIN_MEMORY_MB) * BYTES_PER_MB) as usize
}

fn max_descriptors(value: &Value) -> Result<usize, ConfigError> {
    let found = &value["limits"]["sockets"];
    let number = found.as_u64().and_then(|number| usize::try_from(number).ok());
    number.ok_or_else(|| ConfigError::InvalidField {
        field: "limits.sockets",
        found: found.to_string(),
        allowed: "a whole number",
    })
}
