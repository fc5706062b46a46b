//! The errors of opening and reading a store.

use std::io;

use crate::frame::FORMAT_VERSION;

/// Why a stored state is refused and left untouched.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// A later program wrote the file.
    #[error("{file}: format {format}, up to {FORMAT_VERSION} is read here")]
    UnsupportedFormat {
        /// Name of the file.
        file: String,
        /// The format that its header states.
        format: u32,
    },
    /// The file belongs to another controller.
    #[error("{file}: the memory of pilot {controller:?}")]
    OtherController {
        /// Name of the file.
        file: String,
        /// The controller that its header names.
        controller: String,
    },
    /// The file belongs to a fleet with other zones, machine types or classes.
    #[error("{file}: of a fleet with other zones, kinds or classes")]
    OtherFleet {
        /// Name of the file.
        file: String,
    },
}

/// Why a stored state could not be recovered.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryError {
    /// The state is not this controller's, or not of a known format.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// The storage failed. This says nothing about the state: the storage may work again later.
    #[error(transparent)]
    Io(#[from] io::Error),
}
