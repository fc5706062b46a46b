//! Times with their unit, as attributes have them.

use std::num::ParseFloatError;
use std::time::{Duration, TryFromFloatSecsError};

/// Microseconds in a second; times are rounded to microseconds.
const MICROS_PER_SEC: f64 = 1e6;

/// Why a text is no time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DurationError {
    /// The unit is missing or unknown.
    #[error("{text:?} is not a time with its unit (us, ms, s, min, h)")]
    UnknownUnit {
        /// The text.
        text: String,
    },
    /// What stands before the unit is no number.
    #[error("{text:?} is not a time with its unit")]
    InvalidNumber {
        /// The text.
        text: String,
        /// Why it is no number.
        source: ParseFloatError,
    },
    /// The time is too long.
    #[error("{text:?}: {source}")]
    OutOfRange {
        /// The text.
        text: String,
        /// What is wrong with it.
        source: TryFromFloatSecsError,
    },
}

/// Parses a time with its unit, as `500ms` or `1.5s`.
///
/// # Errors
/// The text is no time; the error's text quotes it.
pub fn parse_duration(text: &str) -> Result<Duration, DurationError> {
    let unit_start = text.find(|char: char| !char.is_ascii_digit() && char != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let seconds_per_unit = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return Err(DurationError::UnknownUnit { text: text.into() }),
    };
    let number: f64 =
        number.parse().map_err(|source| DurationError::InvalidNumber { text: text.into(), source })?;
    let seconds = (number * seconds_per_unit * MICROS_PER_SEC).round() / MICROS_PER_SEC;
    Duration::try_from_secs_f64(seconds)
        .map_err(|source| DurationError::OutOfRange { text: text.into(), source })
}
