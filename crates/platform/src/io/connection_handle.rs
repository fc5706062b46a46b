//! The handle by which other tasks queue output for a connection's task and close it.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use tokio::sync::Notify;

/// The maximum size of pending output to which more may be added. A proxy gets its next update only after the last one
/// was written, so larger pending output consists of replies to a peer that does not read.
const MAX_PENDING_BYTES: usize = 1 << 18;

/// The state that a connection's task shares with other tasks.
#[derive(Default)]
pub struct ConnectionHandle {
    /// Output that the task has not taken yet.
    pub(super) pending: RefCell<BytesMut>,
    pub(super) shutdown: Cell<Option<Shutdown>>,
    /// True if a final read was requested and has not started.
    pub(super) final_read: Cell<bool>,
    /// The number of bytes that the task took from the pending output and is writing.
    pub(super) writing_bytes: Cell<usize>,
    /// Wakes the task after another task has changed this state.
    pub(super) wake: Notify,
}

/// A way of closing a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Shutdown {
    /// Close after the pending output was written.
    AfterWrites,
    /// Close immediately and discard the pending output.
    Now,
}

impl ConnectionHandle {
    /// Queues output. If too much is pending already, also requests an immediate close.
    pub fn write(&self, text: &str) {
        let mut pending = self.pending.borrow_mut();
        // The limit is checked before adding, as a single message may exceed it.
        if pending.len() > MAX_PENDING_BYTES {
            self.shutdown.set(Some(Shutdown::Now));
        }
        pending.extend_from_slice(text.as_bytes());
        self.wake.notify_one();
    }

    /// Requests the connection to be closed.
    pub fn shut_down(&self, shutdown: Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.wake.notify_one();
    }

    /// Requests a final read: the task handles the bytes that have arrived, then notifies the control plane.
    pub fn request_final_read(&self) {
        self.final_read.set(true);
        self.wake.notify_one();
    }

    /// Returns true if all output was written.
    pub fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty() && self.writing_bytes.get() == 0
    }
}
