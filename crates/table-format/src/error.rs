//! The errors of reading untrusted bytes and key files.

use crate::{FORMAT_VERSION, MAX_KEYS, MIN_KEY_BYTES};

/// Why bytes are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// A file is longer than what is read.
    #[error("{what}: {bytes} bytes, {max} at most")]
    TooLong {
        /// Name of the file.
        what: String,
        /// Its length.
        bytes: u64,
        /// The longest that is read.
        max: u64,
    },
    /// The bytes are not a message of the expected type, or not in its canonical encoding.
    #[error("{what}: torn or foreign: {reason}")]
    Malformed {
        /// Name of the file.
        what: String,
        /// What is wrong.
        reason: String,
    },
    /// No seal by a known key, or one that is wrong.
    #[error("manifest: no seal of a key that is known here")]
    NoValidSeal,
    /// A format that this program does not read.
    #[error("manifest: format {0}, {FORMAT_VERSION} is read here")]
    UnsupportedFormat(u32),
    /// A name that no member may have, or that is listed twice.
    #[error("manifest: member {0:?}: no such name may stand here")]
    InvalidMemberName(String),
    /// A member whose length or digest is not what the manifest lists.
    #[error("{0}: not as the manifest has it")]
    DigestMismatch(String),
    /// A value that is out of its range.
    #[error("{location}: {value}; {limit}")]
    OutOfRange {
        /// The file, and the entry in it.
        location: String,
        /// The value.
        value: String,
        /// What is allowed.
        limit: String,
    },
}

/// What is wrong with one key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The line has a name only.
    #[error("a name and a secret in hex are wanted")]
    MissingSecret,
    /// An earlier line has a key of this name.
    #[error("key {0} stands here twice")]
    Duplicate(String),
    /// The secret is not an even number of hex digits.
    #[error("the secret is not in hex")]
    NotHex,
    /// The secret is shorter than the hash function's output.
    #[error("key {name}: {bytes} bytes, {MIN_KEY_BYTES} at least")]
    TooShort {
        /// Name of the key.
        name: String,
        /// Length of its secret.
        bytes: usize,
    },
}

/// What is wrong with the text of a key file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// A line does not hold a key.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        error: KeyError,
    },
    /// There is no key.
    #[error("no key; one line each is wanted, a name and 64 or more hex digits")]
    Empty,
    /// There are more keys than are read.
    #[error("{0} keys, {MAX_KEYS} at most")]
    TooMany(usize),
}
