//! What a connection may do.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// HAProxy's levels, each of which includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AccessLevel {
    /// May read what is not confidential.
    User,
    /// May read everything.
    Operator,
    /// May change everything.
    Admin,
}

/// A level's name that is none of the three.
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
