//! When a visit may be tried a second time.

/// How a try at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Answered with this status.
    Answered(u16),
    /// No connection came about: not a byte of the visit was written.
    Refused,
    /// The server said that it turned the visit away unread.
    TurnedAway,
    /// The connection broke after the first byte, or half an answer came.
    Broken,
    /// Nothing came in time: it may be running still.
    Late,
}

impl Ending {
    /// Whether it is sure that the visit never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Refused | Ending::TurnedAway)
    }

    pub fn failed(self) -> bool {
        !matches!(self, Ending::Answered(status) if status < 500)
    }
}

/// Once, after proof, if it is ordered; whatever the class's effect, since nothing was done yet.
pub fn may_try_again(tries: u32, ending: Ending, ordered: bool) -> bool {
    ordered && tries == 1 && ending.never_ran()
}
