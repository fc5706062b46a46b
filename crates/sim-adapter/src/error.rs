//! Errors that end the adapter: invalid input from the simulator, or failures to read or write.

use std::io;

use lockcroft_host::{SettingsError, UnknownName};
use thiserror::Error;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input can't be read.
    #[error("line {line}: failed to read the input: {source}")]
    Read { line: usize, source: io::Error },
    /// The input ends inside a line.
    #[error("line {0}: input cut off inside the line")]
    TruncatedLine(usize),
    /// The input ends inside a batch.
    #[error("line {0}: input cut off inside a batch")]
    TruncatedBatch(usize),
    /// A line is invalid.
    #[error("line {line}: {tag:?}: {source}")]
    Event { line: usize, tag: String, source: EventError },
    /// The reply can't be written.
    #[error("failed to write the reply: {0}")]
    Write(#[source] io::Error),
}

/// The reason why a line is invalid.
#[derive(Debug, Error)]
pub enum EventError {
    /// The first line of a batch is not CLOCK.
    #[error("expected CLOCK as the first line of a batch")]
    MissingClock,
    /// The protocol has no message with this tag.
    #[error("unknown message")]
    UnknownTag,
    /// The line is for an instance that is not running.
    #[error("instance {0} is not running")]
    UnknownInstance(u32),
    /// A line that is not a list entry was received before the endpoint list was complete.
    #[error("expected {0} more entries of the endpoint list")]
    MissingEntries(usize),
    /// A field is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings do not define a name in the line.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The reason why a field of a line is invalid.
#[derive(Debug, Error)]
pub enum FieldError {
    /// The line ends before the field.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The field has no characters.
    #[error("{0} is empty")]
    Empty(&'static str),
    /// The field is not a number, or out of the range of its type.
    #[error("{field} is not a valid number: {found:?}")]
    InvalidNumber { field: &'static str, found: String },
    /// The number is negative or not finite.
    #[error("{field} is out of range: {found}")]
    OutOfRange { field: &'static str, found: f64 },
    /// The field is not a flag, 1 or 0.
    #[error("{field} is neither 1 nor 0: {found:?}")]
    InvalidFlag { field: &'static str, found: String },
    /// The load in a load report is not a number.
    #[error("{field} is malformed: {found:?}")]
    MalformedLoad { field: &'static str, found: String },
    /// The field has none of its defined values.
    #[error("unknown {field} {found:?}")]
    UnknownValue { field: &'static str, found: String },
    /// The line continues after its last field.
    #[error("unexpected text after the last field: {0:?}")]
    TrailingText(String),
}
