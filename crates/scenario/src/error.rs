//! Errors of preparing and running a scenario.

use std::io;
use std::path::PathBuf;

use lockcroft_config::ConfigErrors;
use thiserror::Error;

/// An error of preparing or running a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// A socket or file of the run can't be opened, read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The scenario's settings are not a valid configuration of a controller.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The program of the controller can't be started.
    #[error("{}: {source}", .path.display())]
    Program {
        /// The path of the program.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A proxy can't be restarted.
    #[error("{proxy}: {source}")]
    Proxy {
        /// The name of the proxy.
        proxy: String,
        /// The cause, such as a socket that can't be bound.
        source: io::Error,
    },
    /// A fault names an endpoint that the scenario doesn't have.
    #[error("unknown endpoint {name:?}; known endpoints: {known}")]
    UnknownEndpoint {
        /// The name in the scenario's file.
        name: String,
        /// The names of all endpoints, separated by commas.
        known: String,
    },
    /// A fault names a proxy that the scenario doesn't have.
    #[error("unknown proxy {0:?}")]
    UnknownProxy(String),
}

/// A variant can't be applied to its scenario.
#[derive(Debug, Error)]
pub enum VariantError {
    /// The scenario has no endpoints of a machine type that the variant names.
    #[error("variant {variant:?}: no endpoints of kind {machine_type:?}")]
    UnknownMachineType {
        /// The name of the variant.
        variant: String,
        /// The machine type.
        machine_type: String,
    },
    /// The settings don't have an element that the variant names.
    #[error("variant {variant:?}: the settings have no element {element} {child}")]
    UnknownElement {
        /// The name of the variant.
        variant: String,
        /// The name of the element.
        element: String,
        /// The value of the attribute `name` of the child element to change; empty for the element itself.
        child: String,
    },
    /// The settings are not well-formed XML, before or after a change.
    #[error("invalid XML in the settings: {0}")]
    InvalidSettings(#[from] roxmltree::Error),
}
