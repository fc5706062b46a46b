//! Errors of decoding untrusted bytes and of parsing key files.

use crate::{FORMAT_VERSION, MAX_KEYS, MIN_KEY_BYTES};

/// The reason why the bytes of a file are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// The file is longer than the limit for its type.
    #[error("{file}: {bytes} bytes, expected at most {max_bytes}")]
    TooLong {
        /// Name of the file.
        file: String,
        /// Length of the file.
        bytes: u64,
        /// Maximum length.
        max_bytes: u64,
    },
    /// The bytes are not a message of the expected type, or not in its canonical encoding.
    #[error("{file}: malformed: {reason}")]
    Malformed {
        /// Name of the file.
        file: String,
        /// Description of the fault.
        reason: String,
    },
    /// No known key seals the manifest, or the seal of a known key does not verify.
    // Proxies reload their keys on a rejection whose text contains "no seal".
    #[error("manifest: no seal by a known key that verifies")]
    NoValidSeal,
    /// The manifest states a format that this version does not read.
    #[error("manifest: unsupported format {0}, expected {FORMAT_VERSION}")]
    UnsupportedFormat(u32),
    /// The member's name is not allowed, or the manifest lists it twice or not at all.
    #[error("manifest: member {0:?}: invalid name, or not listed exactly once")]
    InvalidMemberName(String),
    /// The file's length, digest or checksum differs from the recorded one, or the recorded digest has a wrong length.
    #[error("{0}: does not match its recorded digest")]
    DigestMismatch(String),
    /// A value is outside of its allowed range.
    #[error("{location}: {value}, expected {limit}")]
    OutOfRange {
        /// Name of the file, and of the entry in it.
        location: String,
        /// Description of the value.
        value: String,
        /// Description of the allowed range.
        limit: String,
    },
}

/// The reason why a line of a key file is not a valid key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The line has a name but no secret.
    #[error("expected a name and a secret in hex digits")]
    MissingSecret,
    /// An earlier line defines a key of the same name.
    #[error("duplicate key name {0}")]
    Duplicate(String),
    /// The secret is not an even number of hex digits.
    #[error("the secret is not in hex, expected an even number of hex digits")]
    NotHex,
    /// The secret is shorter than [`MIN_KEY_BYTES`].
    #[error("key {name}: secret of {bytes} bytes, expected at least {MIN_KEY_BYTES}")]
    TooShort {
        /// Name of the key.
        name: String,
        /// Length of the secret in bytes.
        bytes: usize,
    },
}

/// The reason why the text of a key file is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyRingError {
    /// A line is not a valid key.
    #[error("line {line}: {error}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// The error in this line.
        #[source]
        error: KeyError,
    },
    /// The file defines no key.
    #[error("no key found, expected one line per key: a name and at least 64 hex digits")]
    Empty,
    /// The file defines more than [`MAX_KEYS`] keys.
    #[error("{0} keys, expected at most {MAX_KEYS}")]
    TooMany(usize),
}
