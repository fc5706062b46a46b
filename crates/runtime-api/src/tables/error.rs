//! Why a table could not be read.

use std::num::TryFromIntError;

use thiserror::Error;

/// A table that is malformed. Rows are counted from 1, behind the header.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// `show stat` doesn't begin with its header.
    #[error("no header of show stat")]
    MissingStatHeader,
    /// A value is not a whole number.
    #[error("row {row}: not a whole number: {value:?}")]
    NotANumber {
        /// The row.
        row: usize,
        /// What stands in place of the number.
        value: String,
    },
    /// A row is too short, or names neither table nor server.
    #[error("row {row}: {found} of {expected} columns")]
    IncompleteRow {
        /// The row.
        row: usize,
        /// Columns that the row has.
        found: usize,
        /// Columns that the header has.
        expected: usize,
    },
    /// `show servers state` is of another version than 1.
    #[error("show servers state: version 1 expected, not {0:?}")]
    UnknownVersion(Option<String>),
    /// `show servers state` has no header.
    #[error("no header")]
    MissingHeader,
    /// The header lacks a column.
    #[error("no column {0}")]
    MissingColumn(&'static str),
    /// A row ends before a column that is needed.
    #[error("row {row}: {found} columns")]
    ShortRow {
        /// The row.
        row: usize,
        /// Columns that the row has.
        found: usize,
    },
    /// The value of a column is not a whole number.
    #[error("row {row}: {column}: {value:?}")]
    InvalidColumn {
        /// The row.
        row: usize,
        /// The column's name.
        column: &'static str,
        /// What stands in place of the number.
        value: String,
    },
    /// A port is greater than 65535.
    #[error("{0}")]
    PortOutOfRange(#[from] TryFromIntError),
}
