//! Access levels of connections.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// The access levels of HAProxy. Each includes the levels before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessLevel {
    /// May read non-confidential data.
    User,
    /// May read all data.
    Operator,
    /// May read and change all data.
    Admin,
}

/// The error for a text that is not the name of an access level. It holds the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} is none of user, operator, admin")]
pub struct UnknownLevel(pub String);

impl FromStr for AccessLevel {
    type Err = UnknownLevel;

    fn from_str(text: &str) -> Result<Self, UnknownLevel> {
        match text {
            "user" => Ok(AccessLevel::User),
            "operator" => Ok(AccessLevel::Operator),
            "admin" => Ok(AccessLevel::Admin),
            _ => Err(UnknownLevel(text.to_string())),
        }
    }
}

impl fmt::Display for AccessLevel {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            AccessLevel::User => "user",
            AccessLevel::Operator => "operator",
            AccessLevel::Admin => "admin",
        })
    }
}
