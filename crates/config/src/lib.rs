//! The operator's XML files, checked by their schema, as terms of the decisions and what else a
//! daemon is told at its start. A wrong file is refused as a whole, with the place, what is wrong
//! there and what is allowed.

mod document;
mod post;
mod roster;
mod schema;
mod values;

pub use document::{Document, Fault, Faults};
pub use post::{Door, FilesAt, LogTerms, Post, ProxyAt, RosterAt};
pub use roster::{Entry, Roster};
pub use values::span;

/// The schema of the settings and of rosters, as published with the program.
pub const SCHEMA: &str = include_str!("../lockcroft.xsd");
