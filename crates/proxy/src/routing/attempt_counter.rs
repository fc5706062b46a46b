//! Attempts in flight at one entry, counted apart from the routing state, so that an attempt that is dropped
//! at any moment gives back what it counted.

use std::cell::Cell;
use std::rc::Rc;

#[derive(Debug, Default)]
struct Counts {
    in_flight: Cell<usize>,
    abandoned: Cell<u64>,
}

/// Counts the attempts at one entry of a table. All copies of the entry share it; an entry that is removed and
/// added again has another, so that an attempt never counts at a later entry of the same name.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptCounter(Rc<Counts>);

impl AttemptCounter {
    /// Attempts that have not ended.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// Attempts that ended without an outcome, as their client had gone.
    pub fn abandoned(&self) -> u64 {
        self.0.abandoned.get()
    }

    pub fn begin(&self) {
        self.0.in_flight.set(self.in_flight() + 1);
    }

    pub fn end(&self) {
        self.0.in_flight.set(self.in_flight().saturating_sub(1));
    }

    pub fn abandon(&self) {
        self.end();
        self.0.abandoned.set(self.abandoned() + 1);
    }
}

/// Two counters are equal if they are the same one.
impl PartialEq for AttemptCounter {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for AttemptCounter {}
