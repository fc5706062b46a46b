//! Durations with a unit, such as `500ms`, in attribute values.

use std::num::ParseFloatError;
use std::time::{Duration, TryFromFloatSecsError};

/// The number of microseconds in a second; durations are rounded to microseconds.
const MICROS_PER_SEC: f64 = 1e6;

/// An error while parsing a duration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DurationError {
    /// The unit is missing or unknown.
    #[error("{text:?} is not a time with its unit (us, ms, s, min, h)")]
    UnknownUnit {
        /// The text that was parsed.
        text: String,
    },
    /// The text before the unit is not a number.
    #[error("{text:?} has no valid number before its unit")]
    InvalidNumber {
        /// The text that was parsed.
        text: String,
        /// The error of the number.
        source: ParseFloatError,
    },
    /// The duration is longer than a [`Duration`] can represent.
    #[error("{text:?}: {source}")]
    OutOfRange {
        /// The text that was parsed.
        text: String,
        /// The error of the conversion.
        source: TryFromFloatSecsError,
    },
}

/// Parses a number with a unit (`us`, `ms`, `s`, `min` or `h`), such as `500ms` or `1.5s`, and rounds it to
/// microseconds.
///
/// # Errors
/// Returns an error that quotes the text if the number or the unit is invalid, or the duration is too long.
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
