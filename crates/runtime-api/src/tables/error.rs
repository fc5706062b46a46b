//! Errors of parsing a table.

use std::num::TryFromIntError;

use thiserror::Error;

/// The error for a malformed table. Rows are counted from 1, without the header.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// `show stat` does not begin with its header.
    #[error("no header of show stat")]
    MissingStatHeader,
    /// A value is not an integer.
    #[error("row {row}: not a whole number: {value:?}")]
    NotANumber {
        /// The number of the row.
        row: usize,
        /// The invalid value.
        value: String,
    },
    /// A row has too few columns, or no name of a table or a server.
    #[error("row {row}: {found} of {expected} columns")]
    IncompleteRow {
        /// The number of the row.
        row: usize,
        /// The number of columns in the row.
        found: usize,
        /// The number of columns in the header.
        expected: usize,
    },
    /// The format version of `show servers state` is not 1. Holds the first line, if any.
    #[error("show servers state: version 1 expected, not {0:?}")]
    UnknownVersion(Option<String>),
    /// `show servers state` has no header.
    #[error("no header")]
    MissingHeader,
    /// The header lacks a required column.
    #[error("no column {0}")]
    MissingColumn(&'static str),
    /// A row ends before a required column.
    #[error("row {row}: {found} columns")]
    ShortRow {
        /// The number of the row.
        row: usize,
        /// The number of columns in the row.
        found: usize,
    },
    /// The value of a column is not an integer.
    #[error("row {row}: {column}: {value:?}")]
    InvalidColumn {
        /// The number of the row.
        row: usize,
        /// The column's name.
        column: &'static str,
        /// The invalid value.
        value: String,
    },
    /// A port number is greater than 65535.
    #[error("{0}")]
    PortOutOfRange(#[from] TryFromIntError),
}
