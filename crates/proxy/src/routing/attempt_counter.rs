//! The counter of attempts in flight at one entry. It is separate from the routing state, so that an attempt that
//! is dropped at any time can decrement it without access to the routing state.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug, Default)]
struct Counts {
    in_flight: Cell<usize>,
    abandoned: Cell<u64>,
}

/// The counter of attempts at one entry of a table. All copies of the entry share it; an entry that is removed
/// and added again gets a new one, so that an attempt is never counted at a later entry of the same name.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptCounter(Rc<Counts>);

impl AttemptCounter {
    /// Returns the number of attempts that have not ended.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// Returns the number of attempts that ended without an outcome because their client had disconnected.
    pub fn abandoned(&self) -> u64 {
        self.0.abandoned.get()
    }

    /// Counts an attempt as in flight.
    pub fn begin(&self) {
        self.0.in_flight.set(self.in_flight() + 1);
    }

    /// Counts an attempt with an outcome as ended.
    pub fn end(&self) {
        self.0.in_flight.set(self.in_flight().saturating_sub(1));
    }

    /// Counts an attempt as ended and abandoned.
    pub fn abandon(&self) {
        self.end();
        self.0.abandoned.set(self.abandoned() + 1);
    }
}

/// Counters are equal if they are copies of the same counter, whatever they count.
impl PartialEq for AttemptCounter {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for AttemptCounter {}
