//! The handle by which other tasks queue output for a connection's task and close it.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use lockcroft_runtime_api::{BudgetExceeded, ByteBudget, ByteReservation};
use tokio::sync::Notify;

/// The maximum size of pending output to which more may be added. A proxy gets its next update only after the last one
/// was written, so larger pending output consists of replies to a peer that does not read.
const MAX_PENDING_BYTES: usize = 1 << 18;
/// The output of a connection that does not count towards the limit on the sum for all connections, in bytes.
const UNCOUNTED_BYTES: usize = 1 << 12;

/// The state that a connection's task shares with other tasks.
pub struct ConnectionHandle {
    /// Output that the task has not taken yet.
    pub(super) pending: RefCell<BytesMut>,
    pub(super) shutdown: Cell<Option<Shutdown>>,
    /// True if a final read was requested and has not started.
    pub(super) final_read: Cell<bool>,
    /// The number of bytes that the task took from the pending output and is writing.
    writing_bytes: Cell<usize>,
    /// Wakes the task after another task has changed this state.
    pub(super) wake: Notify,
    /// The length of the longest message so far, in bytes.
    pub(super) longest_message: Cell<usize>,
    /// The unwritten bytes that count towards the limit on the sum for all connections.
    reservation: RefCell<ByteReservation>,
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
    /// Creates the state of a connection without output, whose output counts towards the budget.
    pub fn new(output_budget: &ByteBudget) -> Self {
        ConnectionHandle {
            pending: RefCell::default(),
            shutdown: Cell::default(),
            final_read: Cell::default(),
            writing_bytes: Cell::default(),
            wake: Notify::default(),
            longest_message: Cell::default(),
            reservation: RefCell::new(output_budget.reservation()),
        }
    }

    /// Queues output. If too much is pending already, for this connection or for all, also requests an immediate close.
    pub fn write(&self, text: &str) {
        // The limits are checked before adding, as a single message may exceed them.
        if self.pending.borrow().len() > MAX_PENDING_BYTES || self.count_unwritten().is_err() {
            self.shutdown.set(Some(Shutdown::Now));
        }
        self.longest_message.set(self.longest_message.get().max(text.len()));
        let mut pending = self.pending.borrow_mut();
        pending.extend_from_slice(text.as_bytes());
        self.wake.notify_one();
    }

    /// Records the number of bytes that the task took from the pending output and is writing.
    pub fn set_writing(&self, bytes: usize) {
        self.writing_bytes.set(bytes);
        // Bytes that became pending since the last call count from the next `write` on.
        let _ = self.count_unwritten();
    }

    /// Counts the unwritten bytes towards the limit on the sum for all connections.
    fn count_unwritten(&self) -> Result<(), BudgetExceeded> {
        let unwritten = self.pending.borrow().len() + self.writing_bytes.get();
        self.reservation.borrow_mut().try_resize(unwritten.saturating_sub(UNCOUNTED_BYTES))
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
