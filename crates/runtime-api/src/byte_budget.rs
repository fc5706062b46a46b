//! A limit on the sum of the bytes that the buffers of all connections of a process hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use thiserror::Error;

/// The error for bytes that would exceed the limit of a [`ByteBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("too many bytes are buffered for all connections")]
pub struct BudgetExceeded;

/// The limit, and the number of bytes that are reserved. Clones share both.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Returns a budget of this many bytes, none of which are reserved.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        ByteBudget { limit, reserved: Arc::default() }
    }

    /// Returns a reservation of no bytes.
    #[must_use]
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }
}

/// Bytes of a [`ByteBudget`] that a connection occupies. Dropping it gives them back.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteReservation {
    /// Changes the number of reserved bytes. Fewer than before are always possible.
    ///
    /// # Errors
    /// The budget has fewer bytes left than are needed in addition. The reservation is unchanged then.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let is_growing = bytes > self.bytes;
        let resized = |reserved: usize| {
            let total = (reserved - self.bytes).saturating_add(bytes);
            (!is_growing || total <= self.budget.limit).then_some(total)
        };
        self.budget
            .reserved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, resized)
            .map_err(|_reserved| BudgetExceeded)?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
