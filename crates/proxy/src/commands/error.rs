//! Reasons for which a command of the runtime API is refused. The texts are the answers on the wire, most of
//! them the same as HAProxy's; controllers compare them.

use lockcroft_runtime_api::MAX_RESPONSE_BYTES;
use thiserror::Error;

/// The text of the answer to a command, which is empty if there is nothing to report, or the reason for its refusal.
pub(super) type CommandOutput = Result<String, CommandError>;

/// The reason for which a command was refused. The message is the answer on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The command has too few or too many words.
    #[error("Missing or surplus arguments; 'help' lists the commands.")]
    Arguments,
    /// A server was named without its backend.
    #[error("Require 'backend/server'.")]
    BackendAndServerRequired,
    /// The named backend does not exist, or servers can't be added to it.
    #[error("No such backend.")]
    NoSuchBackend,
    /// The backend to show does not exist.
    #[error("Can't find backend.")]
    CannotFindBackend,
    /// The backend has no such server.
    #[error("No such server.")]
    NoSuchServer,
    /// The backend already has a server of this name.
    #[error("Already exists a server with the same name in backend.")]
    ServerExists,
    /// The server to delete is not in maintenance.
    #[error("Only servers in maintenance mode can be deleted.")]
    NotInMaintenance,
    /// The address is not an IP address, or lacks a port where one is needed.
    #[error("Invalid address.")]
    InvalidAddress,
    /// The port is not a number from 0 to 65535.
    #[error("Invalid port.")]
    InvalidPort,
    /// The words after `addr` are not an address with an optional port.
    #[error("set server <b>/<s> addr <ip> [port <port>]")]
    SetAddressUsage,
    /// `add server` has an option other than `weight`.
    #[error("Keyword '{0}' is not known for a server added here.")]
    UnknownKeyword(String),
    /// The weight is not a number from 0 to 256, or the percentage results in a weight out of this range.
    #[error("Absolute weight can only be between 0 and 256 inclusive.")]
    InvalidWeight,
    /// The state is none of `ready`, `drain` and `maint`.
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
    /// The version was not prepared, or is not newer than the one that was committed last.
    #[error("Version number out of range.")]
    VersionOutOfRange,
    /// The map has no entry with this key.
    #[error("Entry not found.")]
    EntryNotFound,
    /// `add map` has neither a key and value nor a payload.
    #[error("Missing key and value.")]
    MissingKeyAndValue,
    /// A line of the payload has a key but no value.
    #[error("Missing value.")]
    MissingValue,
    /// The variable is not of the scope `proc`, the only one that is supported.
    #[error("Only variables of the scope 'proc' can be set here.")]
    VariableScope,
    /// The value of the variable is not of the form `int(N)`.
    #[error("Only int(<n>) is known here.")]
    VariableExpression,
    /// There are as many variables, map entries, servers or prepared commands as allowed.
    #[error("Too many {what}, at most {allowed}.")]
    TooMany {
        /// What there are too many of.
        what: &'static str,
        /// The greatest number.
        allowed: usize,
    },
    /// The answers to the commands of a line are too long.
    #[error("The answers to this line are too long, at most {MAX_RESPONSE_BYTES} bytes.")]
    AnswersTooLong,
    /// Another controller has set a later epoch (fencing token).
    #[error("Superseded: a pilot of epoch {epoch} has taken over.")]
    Superseded {
        /// The greatest epoch that was set.
        epoch: i64,
    },
    /// Another command of the same batch was refused, so none of them took effect.
    #[error("Not done, as an order of its set was refused: {0}")]
    BatchRejected(#[source] Box<CommandError>),
}

impl CommandError {
    /// Returns the error with which all commands of a batch answer if one of them is refused with this one.
    #[must_use]
    pub fn for_batch(self) -> Self {
        CommandError::BatchRejected(Box::new(self))
    }
}
