//! Errors of proxy sessions, of snapshots and of operator commands. The runtime API shows their texts.

use lockcroft_table_store::Epoch;
use thiserror::Error;

/// The reason for which the connection to a proxy is closed. `show proxies` shows the text.
#[derive(Debug, Error)]
pub enum SessionError {
    /// The proxy sent a response although no command was outstanding.
    #[error("unexpected response: no command is outstanding")]
    UnexpectedResponse,
    /// The proxy sent more responses than the update has commands.
    #[error("unexpected response: all commands of the update are answered")]
    TooManyResponses,
    /// A controller with a later epoch has taken over. Holds the proxy's response.
    #[error("{0}")]
    Superseded(String),
    /// The proxy sent a table that cannot be parsed. Holds the parser's error.
    #[error("{0}")]
    MalformedTable(String),
    /// The proxy did not carry out a command, so its state has to be read again.
    #[error("command {command:?} failed: the proxy answered {response:?}")]
    CommandFailed {
        /// The command as it was sent.
        command: String,
        /// The proxy's response.
        response: String,
    },
    /// The proxy did not respond to the oldest outstanding command in time.
    #[error("timed out waiting for the response to a command")]
    ResponseTimeout,
}

/// The reason for which a snapshot of table files was not written.
#[derive(Debug, Error)]
pub enum PublishError {
    /// Another controller with this later epoch has taken over the folder. Nothing is written from then on.
    #[error("superseded: a controller of epoch {0} has taken over the folder; writing has stopped")]
    Fenced(Epoch),
    /// The snapshot could not be written. The previous one stays in use, and writing is retried.
    #[error("failed to write a snapshot, the previous one stays in use: {0}")]
    Failed(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// A result arrived although no snapshot was being written.
    #[error("received the result of a snapshot that was not requested")]
    Unexpected,
}

/// The reason for which an operator's command is refused, worded as in HAProxy's Management Guide where it covers the
/// case.
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
    /// The part after the slash names no listed endpoint.
    #[error("No such server.")]
    NoSuchEndpoint,
    /// The weight is not a number, or is out of range.
    #[error("Require <weight> or <weight%>.")]
    MalformedWeight,
}
