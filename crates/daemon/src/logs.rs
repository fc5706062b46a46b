//! Structured logs to standard error, as text or JSON lines; levels can be changed while it runs.

use lockcroft_config::LogConfig;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry, fmt, reload};

/// The levels that are in force, and a way to change them.
pub struct Logging {
    handle: reload::Handle<EnvFilter, Registry>,
    pub levels: String,
}

/// # Errors
/// The levels are malformed, or logs were started before.
pub fn start(terms: &LogConfig) -> Result<Logging, String> {
    let levels = terms.levels.clone().unwrap_or_else(|| "info".into());
    let (filter, handle) = reload::Layer::new(read(&levels)?);
    let lines = fmt::layer().with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter);
    let done = match terms.json {
        true => registry.with(lines.json().flatten_event(true)).try_init(),
        false => registry.with(lines.with_ansi(false)).try_init(),
    };
    done.map_err(|e| format!("logs: {e}"))?;
    Ok(Logging { handle, levels })
}

impl Logging {
    /// # Errors
    /// Says what is wrong with the levels; those before stay in force.
    pub fn set(&mut self, levels: &str) -> Result<(), String> {
        self.handle.reload(read(levels)?).map_err(|e| e.to_string())?;
        self.levels = levels.into();
        Ok(())
    }
}

fn read(levels: &str) -> Result<EnvFilter, String> {
    EnvFilter::try_new(levels)
        .map_err(|e| format!("{levels:?}: {e}; allowed: LEVEL or TARGET=LEVEL, by commas"))
}
