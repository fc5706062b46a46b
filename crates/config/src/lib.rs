//! The operator's XML files, checked by their schema, as terms of the decisions and what else a
//! daemon is told at its start. A wrong file is refused as a whole, with the place, what is wrong
//! there and what is allowed.

mod document;
mod post;
mod roster;
mod schema;
mod values;

pub use document::{ConfigError, ConfigErrors, Document};
pub use post::{
    BackoffRange, DaemonConfig, EndpointListSource, ListenerConfig, LogConfig, ProxyConfig, TableFilesConfig,
};
pub use roster::{EndpointEntry, EndpointListConfig};
pub use values::parse_duration;

/// The schema of the settings and of rosters, as published with the program.
pub const SCHEMA: &str = include_str!("../lockcroft.xsd");
