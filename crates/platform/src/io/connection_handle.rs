//! How other tasks reach the task of a connection: what it is to write, and how it is to end.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use tokio::sync::Notify;

/// The most bytes that may wait for one connection before a message is added: messages wait in the core, so these are
/// answers that nobody reads.
const MAX_PENDING_BYTES: usize = 1 << 18;

/// How other tasks reach the task of a connection.
#[derive(Default)]
pub struct ConnectionHandle {
    pub(super) pending: RefCell<BytesMut>,
    pub(super) shutdown: Cell<Option<Shutdown>>,
    pub(super) final_read: Cell<bool>,
    /// Bytes that the task took off what is pending and has not written yet.
    pub(super) writing_bytes: Cell<usize>,
    pub(super) wake: Notify,
}

/// How a connection is to be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// After what is pending is written.
    AfterWrites,
    /// As it is.
    Now,
}

impl ConnectionHandle {
    /// Adds this to what is pending.
    pub fn write(&self, text: &str) {
        let mut pending = self.pending.borrow_mut();
        // Checked before it is added, as a single message may be longer.
        if pending.len() > MAX_PENDING_BYTES {
            self.shutdown.set(Some(Shutdown::Now));
        }
        pending.extend_from_slice(text.as_bytes());
        self.wake.notify_one();
    }

    /// Has the connection closed.
    pub fn shut_down(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.wake.notify_one();
    }

    /// Has what came on the connection by now read, and the control plane notified.
    pub fn final_read(&self) {
        self.final_read.set(true);
        self.wake.notify_one();
    }

    /// Whether all that was to be written is out.
    pub fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty() && self.writing_bytes.get() == 0
    }
}
