//! Reads the operator's XML files: the configuration of a daemon and endpoint lists.
//!
//! A file is checked against its schema first and then for what no schema can express. A file with errors is refused as a
//! whole, and each error states its line, the element, what is wrong and what is allowed there. Names of elements and
//! attributes are part of the interface with operators; only this crate maps them to the names of the settings.

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

/// The schema of configurations and endpoint lists, as published with the program.
pub const SCHEMA: &str = include_str!("../lockcroft.xsd");
