//! Errors of opening and reading a store.

use std::io;

use crate::frame::FORMAT_VERSION;

/// The reason why a persisted state is refused. Its files are left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The file is of a later format, which a newer version of the program wrote.
    #[error("{file}: unsupported format {format}, expected at most {FORMAT_VERSION}")]
    UnsupportedFormat {
        /// Name of the file.
        file: String,
        /// The format that its header states.
        format: u32,
    },
    /// The file belongs to another controller.
    #[error("{file}: state of another controller, {controller:?}")]
    OtherController {
        /// Name of the file.
        file: String,
        /// The controller that its header names.
        controller: String,
    },
    /// The file belongs to a fleet with other zones, machine types or classes.
    #[error("{file}: state of a fleet with other zones, machine types or classes")]
    OtherFleet {
        /// Name of the file.
        file: String,
    },
}

/// The reason why a persisted state could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// The state belongs to another controller or fleet, or is of an unsupported format.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The storage failed. The state itself may be intact and readable later.
    #[error(transparent)]
    Io(#[from] io::Error),
}
