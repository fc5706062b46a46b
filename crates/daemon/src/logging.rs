//! Structured logs on standard error, as text or JSON lines. The levels can be changed at run time.

use lockcroft_config::LogConfig;
use thiserror::Error;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{EnvFilter, Registry, fmt, reload};

const DEFAULT_LEVELS: &str = "info";

/// An error of initializing logging or of changing its levels.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The levels are malformed.
    #[error("{levels:?}: {source}; allowed: LEVEL or TARGET=LEVEL, by commas")]
    MalformedLevels {
        /// The levels as given.
        levels: String,
        /// The error of the parser.
        source: ParseError,
    },
    /// Logging was initialized before in this process.
    #[error("logs: {0}")]
    Start(#[from] TryInitError),
    /// The filter could not be replaced.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// The handle by which the log levels of this process are changed.
pub struct Logging {
    handle: reload::Handle<EnvFilter, Registry>,
    /// The current levels, as given.
    pub levels: String,
}

/// Initializes logging for this process. Without configured levels, `info` applies to all targets.
///
/// # Errors
/// The levels are malformed, or logging was initialized before.
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
    /// The levels are malformed. The previous levels stay in effect.
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
