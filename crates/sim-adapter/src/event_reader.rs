//! Parses the fields of a line of the simulator's protocol, which are separated by single spaces.

use std::str::FromStr;
use std::time::Duration;

use crate::error::FieldError;

/// Reads the fields of a line in order. Each method reads the next field, and returns an error if it is missing or
/// invalid. Its argument is the name of the field in errors.
pub struct EventReader<'a> {
    tag: &'a str,
    /// The unread part of the line; `None` after the last field.
    rest: Option<&'a str>,
}

/// Returns the first word of a text and the rest after the space; `None` if there is no space.
fn split_word(text: &str) -> (&str, Option<&str>) {
    match text.split_once(' ') {
        Some((word, rest)) => (word, Some(rest)),
        None => (text, None),
    }
}

impl<'a> EventReader<'a> {
    /// Returns a reader of a line, which is given without its line feed.
    pub fn new(line: &'a str) -> Self {
        let (tag, rest) = split_word(line);
        EventReader { tag, rest }
    }

    /// Returns the first word of the line, which identifies the kind of message.
    pub fn tag(&self) -> &'a str {
        self.tag
    }

    /// Reads a field as text.
    pub fn word(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        let (word, rest) = split_word(self.rest.ok_or(FieldError::Missing(field))?);
        self.rest = rest;
        if word.is_empty() { Err(FieldError::Empty(field)) } else { Ok(word) }
    }

    /// Reads the rest of the line, with its spaces, as one field.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, FieldError> {
        self.rest.take().ok_or(FieldError::Missing(field))
    }

    /// Reads a number.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, FieldError> {
        let word = self.word(field)?;
        word.parse().map_err(|_| FieldError::InvalidNumber { field, found: word.into() })
    }

    /// Reads a finite number of 0 or more, which may have decimals.
    pub fn amount(&mut self, field: &'static str) -> Result<f64, FieldError> {
        let amount: f64 = self.number(field)?;
        if amount.is_finite() && amount >= 0.0 {
            Ok(amount)
        } else {
            Err(FieldError::OutOfRange { field, found: amount })
        }
    }

    /// Reads a flag, which is 1 or 0 in the protocol.
    pub fn flag(&mut self, field: &'static str) -> Result<bool, FieldError> {
        match self.word(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(FieldError::InvalidFlag { field, found: other.into() }),
        }
    }

    /// Reads a time, which is in microseconds in the protocol.
    pub fn time(&mut self, field: &'static str) -> Result<Duration, FieldError> {
        Ok(Duration::from_micros(self.number(field)?))
    }

    /// Reads a time, or `-` as `None`.
    pub fn optional_time(&mut self, field: &'static str) -> Result<Option<Duration>, FieldError> {
        if self.rest.is_some_and(|rest| split_word(rest).0 == "-") {
            self.word(field)?;
            return Ok(None);
        }
        self.time(field).map(Some)
    }

    /// Reads a load report, and returns the fraction of cores in use if the report has it.
    pub fn load(&mut self, field: &'static str) -> Result<Option<f64>, FieldError> {
        let Some(load) = self.word(field)?.split(',').find_map(|pair| pair.strip_prefix("busy:")) else {
            return Ok(None);
        };
        let parsed = load.parse().map_err(|_| FieldError::MalformedLoad { field, found: load.into() });
        parsed.map(Some)
    }

    /// Checks that the line has no further fields.
    pub fn end(&self) -> Result<(), FieldError> {
        match self.rest {
            Some(rest) => Err(FieldError::TrailingText(rest.into())),
            None => Ok(()),
        }
    }
}
