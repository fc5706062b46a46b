//! The signals that operators send: SIGTERM ends the controller, SIGHUP reloads its configuration.

use tokio::signal::unix::{Signal, SignalKind, signal};

use super::error::ServeError;

/// Handlers of signals; while they stand, the signals do nothing else.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

/// A signal that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// The controller is to end.
    Terminate,
    /// The configuration is to be read again.
    Hangup,
}

impl Signals {
    /// # Errors
    /// The handlers can't be set.
    pub fn new() -> Result<Self, ServeError> {
        let terminate = signal(SignalKind::terminate()).map_err(ServeError::Signals)?;
        let hangup = signal(SignalKind::hangup()).map_err(ServeError::Signals)?;
        Ok(Signals { terminate, hangup })
    }

    /// Waits for either signal.
    pub async fn next(&mut self) -> Received {
        tokio::select! {
            _ = self.terminate.recv() => Received::Terminate,
            _ = self.hangup.recv() => Received::Hangup,
        }
    }

    /// Waits for SIGTERM.
    pub async fn terminated(&mut self) {
        self.terminate.recv().await;
    }
}
