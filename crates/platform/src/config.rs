//! The configuration file that the platform writes for a controller, read at its start and at each reload.

use std::net::SocketAddr;

use lockcroft::Settings;
use lockcroft_host::{SettingsError, setting_values};
use serde_json::Value;
use thiserror::Error;

/// What the platform states for one controller.
pub struct Config {
    /// The name of this controller.
    pub name: String,
    /// Where proxies and collectors connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The seed of all that is drawn at random.
    pub seed: u64,
    /// How many descriptors this process may hold.
    pub max_descriptors: usize,
    /// The endpoint list as this controller last held it, in the form of discovery's messages.
    pub last_known_endpoint_list: Option<Value>,
    /// The settings of the decisions.
    pub settings: Settings,
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is missing, or its value can't be used.
    #[error("{field}: {found}; allowed: {allowed}")]
    InvalidField {
        /// The path of the field.
        field: &'static str,
        /// The value that stands there.
        found: String,
        /// What may stand there.
        allowed: &'static str,
    },
    /// The settings can't be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl Config {
    /// Reads the configuration out of its JSON text.
    ///
    /// # Errors
    /// The text is not JSON, or a field can't be used.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let value: Value = serde_json::from_str(text)?;
        let seed = seed(&value)?;
        let max_descriptors = max_descriptors(&value)?;
        let mut settings = setting_values(&value["settings"])?.to_settings();
        // On this wire, a proxy keeps its ejections over a change of streams.
        settings.fleet.keeps_ejections = true;
        Ok(Config {
            name: text_field(&value, "name")?.to_string(),
            listen: address(&value, "listen")?,
            discovery: address(&value, "discovery")?,
            seed,
            max_descriptors,
            last_known_endpoint_list: value.get("known").filter(|known| !known.is_null()).cloned(),
            settings,
        })
    }
}

fn text_field<'a>(value: &'a Value, field: &'static str) -> Result<&'a str, ConfigError> {
    let found = &value[field];
    found.as_str().ok_or_else(|| ConfigError::InvalidField {
        field,
        found: found.to_string(),
        allowed: "a text",
    })
}

fn address(value: &Value, field: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = text_field(value, field)?;
    text.parse().map_err(|_| ConfigError::InvalidField {
        field,
        found: format!("{text:?}"),
        allowed: "an address and a port",
    })
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    let text = text_field(value, "seed")?;
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidField {
        field: "seed",
        found: format!("{text:?}"),
        allowed: "up to 16 hexadecimal digits",
    })
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
