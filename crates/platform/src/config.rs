//! What the platform tells a pilot at its start and at each reload.

use std::net::SocketAddr;

use lockcroft::Settings;
use lockcroft_host::setting_values;
use serde_json::Value;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that this process may hold.
    pub sockets: usize,
    /// The list as this pilot last held it.
    pub known: Option<Value>,
    pub settings: Settings,
}

impl Config {
    /// # Errors
    /// Names the field, what is wrong with it and what is allowed.
    pub fn read(text: &str) -> Result<Self, String> {
        let value: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let word = |name: &str| {
            value[name].as_str().ok_or_else(|| format!("{name}: {}; allowed: a text", value[name]))
        };
        let address = |name: &str| {
            let word = word(name)?;
            word.parse().map_err(|_| format!("{name}: {word:?}; allowed: an address and a port"))
        };
        let seed = word("seed")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| format!("seed: {seed:?}; allowed: up to 16 hexadecimal digits"))?;
        let sockets = &value["limits"]["sockets"];
        let sockets = sockets
            .as_u64()
            .and_then(|sockets| usize::try_from(sockets).ok())
            .ok_or_else(|| format!("limits.sockets: {sockets}; allowed: a whole number"))?;
        let mut settings = setting_values(&value["settings"])?.to_settings();
        // On this wire, a proxy keeps over a change of streams whom it was told to shut out.
        settings.fleet.keeps_ejections = true;
        Ok(Config {
            name: word("name")?.to_string(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed,
            sockets,
            known: value.get("known").filter(|known| !known.is_null()).cloned(),
            settings,
        })
    }
}
