//! What can go wrong in playing a scenario.

use std::io;
use std::path::PathBuf;

use lockcroft_config::ConfigErrors;
use thiserror::Error;

/// A scenario can't be staged or played.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// A socket or file of the stage can't be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The scenario's settings are no settings of a controller.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The controller's program can't be started.
    #[error("{}: {source}", .path.display())]
    Program {
        /// The program.
        path: PathBuf,
        /// Why it can't be started.
        source: io::Error,
    },
    /// A proxy can't be started again.
    #[error("{proxy}: {source}")]
    Proxy {
        /// The proxy's name.
        proxy: String,
        /// Which of its sockets can't be had, and why.
        source: io::Error,
    },
    /// A fault names an endpoint that the scenario does not have.
    #[error("no server {name:?}; there are {known}")]
    UnknownEndpoint {
        /// The name in the scenario's file.
        name: String,
        /// All endpoints, set apart by commas.
        known: String,
    },
    /// A fault names a proxy that the scenario does not have.
    #[error("no relay {0:?}")]
    UnknownProxy(String),
}

/// A variant names what its scenario does not have.
#[derive(Debug, Error)]
pub enum VariantError {
    /// There are no endpoints of this machine type.
    #[error("{variant}: no endpoints of kind {machine_type:?}")]
    UnknownMachineType {
        /// The variant's name.
        variant: String,
        /// As the variant has it.
        machine_type: String,
    },
    /// The settings have no such element.
    #[error("way {variant:?}: the terms have no {element} {child}")]
    UnknownElement {
        /// The variant's name.
        variant: String,
        /// The element's name.
        element: String,
        /// The name of a child of the element, or nothing.
        child: String,
    },
    /// The settings are no XML, before or after a change.
    #[error("terms: {0}")]
    InvalidSettings(#[from] roxmltree::Error),
}
