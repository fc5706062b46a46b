//! Reads the XML files that operators write: the configuration of a daemon, and endpoint lists.
//!
//! A file is validated against its schema first, and then against constraints that a schema can't express. A file with
//! errors is rejected as a whole; each error states the line, the element, what was found and what is allowed there.
//! The names of elements and attributes are an interface with operators; only this crate maps them to the names of the
//! settings.

#![warn(missing_docs)]

mod daemon_config;
mod daemon_reader;
mod document;
mod duration;
mod endpoint_list;
mod error;
mod schema;
mod settings_reader;
mod xml;

pub use daemon_config::{
    BackoffRange, DaemonConfig, EndpointListSource, ListenerConfig, LogConfig, ProxyConfig, TableFilesConfig,
};
pub use document::Document;
pub use duration::{DurationError, parse_duration};
pub use endpoint_list::{EndpointEntry, EndpointListConfig};
pub use error::{ConfigError, ConfigErrors};
pub use xml::{attribute_text, child_elements};

/// The XML schema of configurations and endpoint lists. It is published with the program.
pub const SCHEMA: &str = include_str!("../lockcroft.xsd");
