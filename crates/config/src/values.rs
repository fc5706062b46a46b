//! Values that stand in attributes.

use std::time::Duration;

/// A time with its unit, `500ms` or `1.5s`.
///
/// # Errors
/// Says what is wrong with the text.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let seconds = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return Err(format!("{text:?} is not a time with its unit (us, ms, s, min, h)")),
    };
    let number: f64 = number.parse().map_err(|_| format!("{text:?} is not a time with its unit"))?;
    Duration::try_from_secs_f64((number * seconds * 1e6).round() / 1e6).map_err(|e| format!("{text:?}: {e}"))
}
