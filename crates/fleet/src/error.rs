//! The failures of this crate, one enum for each audience. Their texts are shown by the runtime API.

use lockcroft_table_store::Epoch;
use thiserror::Error;

/// Why the connection to a proxy is given up. The text is the reason that `show proxies` gives.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The proxy answered although no command was outstanding.
    #[error("an answer to nothing")]
    UnexpectedResponse,
    /// The proxy answered more often than the message has commands.
    #[error("an answer too many")]
    TooManyResponses,
    /// A controller with a later epoch has taken over; the proxy's own words.
    #[error("{0}")]
    Superseded(String),
    /// The table that the proxy sent cannot be read.
    #[error("{0}")]
    MalformedTable(String),
    /// The proxy did not carry out a command, so what it holds has to be read again.
    #[error("{command:?} was answered with {response:?}")]
    CommandFailed {
        /// The command as it was written.
        command: String,
        /// What the proxy answered.
        response: String,
    },
    /// The oldest outstanding command was not answered in time.
    #[error("a command was left unanswered")]
    ResponseTimeout,
}

/// Why a snapshot of table files did not go out.
#[derive(Debug, Error)]
pub enum PublishError {
    /// Another controller holds the folder under this epoch; nothing more is written.
    #[error("superseded: a pilot of epoch {0} has taken over the folder; nothing is written any more")]
    Fenced(Epoch),
    /// The snapshot could not be written; the last one stands and writing is retried.
    #[error("no generation was written, the last one stands: {0}")]
    Failed(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// A result came while no snapshot was being written.
    #[error("a generation that nobody asked for")]
    Unexpected,
}

/// Why an operator's command is refused, in the words of HAProxy's Management Guide where it has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OperatorError {
    /// No table has this name.
    #[error("Can't find backend.")]
    UnknownBackend,
    /// The argument does not name an endpoint as `backend/server`.
    #[error("Require 'backend/server'.")]
    MissingEndpoint,
    /// The part before the slash names no table.
    #[error("No such backend.")]
    NoSuchBackend,
    /// The part behind the slash names no endpoint of the list.
    #[error("No such server.")]
    NoSuchEndpoint,
    /// The weight is no number, or is out of range.
    #[error("Require <weight> or <weight%>.")]
    MalformedWeight,
}
