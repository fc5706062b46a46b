//! Why a command of the runtime API was not carried out. The texts go out on the wire, most of them in
//! HAProxy's words; controllers compare them.

use thiserror::Error;

/// The text of an answer; empty where there is nothing to report.
pub(super) type CommandOutput = Result<String, CommandError>;

/// A command that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The command has too few or too many words.
    #[error("Missing or surplus arguments; 'help' lists the commands.")]
    Arguments,
    /// A server must be named together with its backend.
    #[error("Require 'backend/server'.")]
    BackendAndServerRequired,
    /// The named backend does not exist, or can't be added to.
    #[error("No such backend.")]
    NoSuchBackend,
    /// The backend to show does not exist.
    #[error("Can't find backend.")]
    CannotFindBackend,
    /// The backend has no such server.
    #[error("No such server.")]
    NoSuchServer,
    /// The backend has a server of this name already.
    #[error("Already exists a server with the same name in backend.")]
    ServerExists,
    /// A server must be in maintenance before it is deleted.
    #[error("Only servers in maintenance mode can be deleted.")]
    NotInMaintenance,
    /// The address is not an IP address, or has no port.
    #[error("Invalid address.")]
    InvalidAddress,
    /// The port is not a number from 0 to 65535.
    #[error("Invalid port.")]
    InvalidPort,
    /// The words behind `addr` are not an address and a port.
    #[error("set server <b>/<s> addr <ip> [port <port>]")]
    SetAddressUsage,
    /// An option of `add server` other than `weight`.
    #[error("Keyword '{0}' is not known for a server added here.")]
    UnknownKeyword(String),
    /// The weight is not a number in range.
    #[error("Absolute weight can only be between 0 and 256 inclusive.")]
    InvalidWeight,
    /// The state is none of the three.
    #[error("'set server <srv> state' expects 'ready', 'drain' and 'maint'.")]
    InvalidState,
    /// A map command names no map.
    #[error("Missing map identifier.")]
    MissingMap,
    /// The map is not `classes`.
    #[error("Unknown map identifier. Please use #<id> or <file>.")]
    UnknownMap,
    /// A map command has too few or too many words.
    #[error("Missing or surplus arguments.")]
    MapArguments,
    /// `commit map` names no version.
    #[error("Missing version number.")]
    MissingVersion,
    /// The version was not prepared, or is older than one that was committed.
    #[error("Version number out of range.")]
    VersionOutOfRange,
    /// The map has no entry of this key.
    #[error("Entry not found.")]
    EntryNotFound,
    /// `add map` has neither words nor a payload.
    #[error("Missing key and value.")]
    MissingKeyAndValue,
    /// A line of the payload has a key only.
    #[error("Missing value.")]
    MissingValue,
    /// Variables of other scopes than the process are not known.
    #[error("Only variables of the scope 'proc' can be set here.")]
    VariableScope,
    /// The value of a variable is no `int(…)`.
    #[error("Only int(<n>) is known here.")]
    VariableExpression,
    /// A controller of a later epoch has named itself.
    #[error("Superseded: a pilot of epoch {epoch} has taken over.")]
    Superseded {
        /// The greatest epoch that was named.
        epoch: i64,
    },
    /// Another command of the same batch was refused, so none of them took effect.
    #[error("Not done, as an order of its set was refused: {0}")]
    BatchRejected(#[source] Box<CommandError>),
}

impl CommandError {
    /// The error that all commands of a batch answer if one of them is refused for `self`.
    #[must_use]
    pub fn for_batch(self) -> Self {
        CommandError::BatchRejected(Box::new(self))
    }
}
