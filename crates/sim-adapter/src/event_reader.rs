//! The fields of one line of the wire, read one after the other.

use std::str::FromStr;
use std::time::Duration;

use crate::error::FieldError;

/// Reads the fields of a line. Each method takes the next field; its argument names that field in errors.
pub struct EventReader<'a> {
    tag: &'a str,
    rest: Option<&'a str>,
}

/// Splits the first word off.
fn split_word(text: &str) -> (&str, Option<&str>) {
    match text.split_once(' ') {
        Some((word, rest)) => (word, Some(rest)),
        None => (text, None),
    }
}

impl<'a> EventReader<'a> {
    /// The fields of this line, given without its end.
    pub fn new(line: &'a str) -> Self {
        let (tag, rest) = split_word(line);
        EventReader { tag, rest }
    }

    /// The first word of the line, which names its kind.
    pub fn tag(&self) -> &'a str {
        self.tag
    }

    /// A field without spaces.
    pub fn word(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        let (word, rest) = split_word(self.rest.ok_or(FieldError::Missing(field))?);
        self.rest = rest;
        if word.is_empty() { Err(FieldError::Empty(field)) } else { Ok(word) }
    }

    /// A field that runs to the end of the line.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        self.rest.take().ok_or(FieldError::Missing(field))
    }

    /// A number of this type.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, FieldError> {
        let word = self.word(field)?;
        word.parse().map_err(|_| FieldError::NotANumber { field, found: word.into() })
    }

    /// A finite number of 0 or more, with a fraction.
    pub fn amount(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let amount: f64 = self.number(field)?;
        if amount.is_finite() && amount >= 0.0 {
            Ok(amount)
        } else {
            Err(FieldError::OutOfRange { field, found: amount })
        }
    }

    /// A flag, 1 or 0 on the wire.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, FieldError> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(FieldError::NotAFlag { field, found: other.into() }),
        }
    }

    /// A time, in microseconds on the wire.
    pub fn time(&mut self, field: &'static str) -> Result<Duration, FieldError> {
        Ok(Duration::from_micros(self.number(field)?))
    }

    /// A time that may be absent.
    pub fn optional_time(&mut self, field: &'static str) -> Result<Option<Duration>, FieldError> {
        if self.rest.is_some_and(|rest| split_word(rest).0 == "-") {
            self.word(field)?;
            return Ok(None);
        }
        self.time(field).map(Some)
    }

    /// The fraction of cores in use out of a load report, if it has one.
    pub fn load(&mut self, field: &'static str) -> Result<Option<f64>, FieldError> {
        let Some(load) = self.word(field)?.split(',').find_map(|pair| pair.strip_prefix("busy:")) else {
            return Ok(None);
        };
        let parsed = load.parse().map_err(|_| FieldError::MalformedLoad { field, found: load.into() });
        parsed.map(Some)
    }

    /// Checks that no field is left.
    pub fn end(&self) -> Result<(), FieldError> {
        match self.rest {
            Some(rest) => Err(FieldError::TooManyParts(rest.into())),
            None => Ok(()),
        }
    }
}
