//! Structured logs to standard error, as text or JSON lines; levels can be changed while the program runs.

use lockcroft_config::LogConfig;
use thiserror::Error;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{EnvFilter, Registry, fmt, reload};

const DEFAULT_LEVELS: &str = "info";

/// Why logs are not set up, or their levels not changed.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The levels can't be read.
    #[error("{levels:?}: {source}; allowed: LEVEL or TARGET=LEVEL, by commas")]
    MalformedLevels {
        /// The levels as they were given.
        levels: String,
        /// What is wrong with them.
        source: ParseError,
    },
    /// Logs were started before.
    #[error("logs: {0}")]
    Start(#[from] TryInitError),
    /// The filter can't be replaced.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// The levels that are in force, and a way to change them.
pub struct Logging {
    handle: reload::Handle<EnvFilter, Registry>,
    /// The levels in force, as they were given.
    pub levels: String,
}

/// Starts the logs of this process.
///
/// # Errors
/// The levels are malformed, or logs were started before.
pub fn start_logging(config: &LogConfig) -> Result<Logging, LoggingError> {
    let levels = config.filter.clone().unwrap_or_else(|| DEFAULT_LEVELS.into());
    let (filter, handle) = reload::Layer::new(parse_levels(&levels)?);
    let lines = fmt::layer().with_writer(std::io::stderr);
    let registry = tracing_subscriber::registry().with(filter);
    if config.json {
        registry.with(lines.json().flatten_event(true)).try_init()?;
    } else {
        registry.with(lines.with_ansi(false)).try_init()?;
    }
    Ok(Logging { handle, levels })
}

impl Logging {
    /// Changes the levels.
    ///
    /// # Errors
    /// The levels are malformed; those before stay in force.
    pub fn set_levels(&mut self, levels: &str) -> Result<(), LoggingError> {
        self.handle.reload(parse_levels(levels)?)?;
        self.levels = levels.into();
        Ok(())
    }
}

fn parse_levels(levels: &str) -> Result<EnvFilter, LoggingError> {
    EnvFilter::try_new(levels)
        .map_err(|source| LoggingError::MalformedLevels { levels: levels.into(), source })
}
