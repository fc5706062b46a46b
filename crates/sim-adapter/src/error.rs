//! Why the adapter ends: the simulator's input can't be used, or the reply can't be written.

use std::io;

use lockcroft_host::{SettingsError, UnknownName};
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input can't be read.
    #[error("line {line}: {source}")]
    Read { line: usize, source: io::Error },
    /// The input ends inside a line.
    #[error("line {0}: input cut off inside the line")]
    CutInsideLine(usize),
    /// The input ends inside a batch.
    #[error("line {0}: input cut off inside a batch")]
    CutInsideBatch(usize),
    /// A line can't be used.
    #[error("line {line}: {tag:?}: {source}")]
    Event { line: usize, tag: String, source: EventError },
    /// The reply can't be written.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
}

/// Why one line can't be used.
#[derive(Debug, Error)]
pub enum EventError {
    /// The first line of a batch is another.
    #[error("a batch begins with CLOCK")]
    NoClock,
    /// The wire has no such message.
    #[error("unknown message")]
    UnknownKind,
    /// The instance does not run.
    #[error("pilot {0} was not born")]
    UnknownInstance(u32),
    /// Another line came where an entry of a list was due.
    #[error("{0} more entries of the list were due")]
    EntriesMissing(usize),
    /// A field can't be used.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings do not state this name.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Why a field of a line can't be used.
#[derive(Debug, Error)]
pub enum FieldError {
    /// The line ends before the field.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// Nothing stands between two spaces.
    #[error("{0} is empty")]
    Empty(&'static str),
    /// The field is no number, or one out of the range of its type.
    #[error("{field} is not a number of its kind: {found:?}")]
    NotANumber { field: &'static str, found: String },
    /// The number is below 0 or not finite.
    #[error("{field} is out of range: {found}")]
    OutOfRange { field: &'static str, found: f64 },
    /// The flag is neither 1 nor 0.
    #[error("{field} is neither 1 nor 0: {found:?}")]
    NotAFlag { field: &'static str, found: String },
    /// A load report has a load that is no number.
    #[error("{field} is malformed: {found:?}")]
    MalformedLoad { field: &'static str, found: String },
    /// The field has none of the words that it may have.
    #[error("unknown {field} {found:?}")]
    UnknownWord { field: &'static str, found: String },
    /// The line goes on after its last field.
    #[error("too many parts, from {0:?}")]
    TooManyParts(String),
}
