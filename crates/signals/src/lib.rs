//! Handling of the signals that operators send to a long-lived program: SIGTERM and SIGINT shut it down, and
//! SIGHUP makes it reload its files. The handlers are installed before any other work, because the default
//! action of each of these signals would end the program without an orderly shutdown.

#![warn(missing_docs)]

use std::io;

use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// An error while starting the runtime.
#[derive(Debug, Error)]
pub enum StartError {
    /// The async runtime can't be built.
    #[error("failed to start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers can't be installed.
    #[error("failed to install signal handlers: {0}")]
    Signals(#[source] io::Error),
}

/// Builds a runtime of one thread and installs the signal handlers. Call it before any other work: a signal
/// that is received earlier ends the program.
///
/// # Errors
/// Returns an error if the operating system refuses the resources of the runtime or a signal handler.
pub fn start_runtime() -> Result<(Runtime, Signals), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    let signals = {
        let _context = runtime.enter();
        Signals::new().map_err(StartError::Signals)?
    };
    Ok((runtime, signals))
}

/// The installed signal handlers, which replace the default actions of the signals. A signal that is received
/// while no method waits for it stays pending; several signals of one kind may be reported as one.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// The operation that a received signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedSignal {
    /// SIGTERM or SIGINT: shut down.
    Terminate,
    /// SIGHUP: reload files.
    Hangup,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal. No signal is lost if the future is dropped.
    pub async fn recv(&mut self) -> ReceivedSignal {
        tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal::Terminate,
            _ = self.interrupt.recv() => ReceivedSignal::Terminate,
            _ = self.hangup.recv() => ReceivedSignal::Hangup,
        }
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP stays pending for [`Signals::recv`]. No signal is lost if the
    /// future is dropped.
    pub async fn recv_termination(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
