//! The signals that operators send to a long-lived program: SIGTERM and SIGINT end it, SIGHUP has it read its files
//! again. The handlers stand before anything else is done, so that no signal ends a program by default.

#![warn(missing_docs)]

use std::io;

use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Why a program can't begin.
#[derive(Debug, Error)]
pub enum StartError {
    /// The runtime of the tasks does not start.
    #[error("the runtime does not start: {0}")]
    Runtime(#[source] io::Error),
    /// Handlers of signals can't be set.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
}

/// Makes a runtime of one thread and sets the handlers of signals.
///
/// # Errors
/// The operating system gives one of them not.
pub fn start_runtime() -> Result<(Runtime, Signals), StartError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)?;
    let signals = {
        let _context = runtime.enter();
        Signals::new().map_err(StartError::Signals)?
    };
    Ok((runtime, signals))
}

/// Handlers of signals; while they stand, the signals do nothing else.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// A signal that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedSignal {
    /// The program is to end.
    Terminate,
    /// Files are to be read again.
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

    /// Waits for the next signal.
    pub async fn recv(&mut self) -> ReceivedSignal {
        tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal::Terminate,
            _ = self.interrupt.recv() => ReceivedSignal::Terminate,
            _ = self.hangup.recv() => ReceivedSignal::Hangup,
        }
    }

    /// Waits until the program is told to end. SIGHUP is left to [`Signals::recv`].
    pub async fn recv_termination(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
