//! When a visit may be tried a second time.

/// How a try at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
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

impl AttemptOutcome {
    /// Whether it is sure that the visit never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Refused | AttemptOutcome::TurnedAway)
    }

    pub fn failed(self) -> bool {
        !matches!(self, AttemptOutcome::Answered(status) if status < 500)
    }
}

/// Once, after proof, if it is ordered; whatever the class's effect, since nothing was done yet.
pub fn may_try_again(tries: u32, ending: AttemptOutcome, ordered: bool) -> bool {
    ordered && tries == 1 && ending.never_ran()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ending() -> impl Strategy<Value = AttemptOutcome> {
        prop_oneof![
            (100..600_u16).prop_map(AttemptOutcome::Answered),
            Just(AttemptOutcome::Refused),
            Just(AttemptOutcome::TurnedAway),
            Just(AttemptOutcome::Broken),
            Just(AttemptOutcome::Late),
        ]
    }

    proptest! {
        /// Whatever would happen to a visit at each endpoint: it is tried twice at most, and it runs
        /// at one endpoint at most, or may have.
        #[test]
        fn no_history_runs_a_visit_twice(history in proptest::collection::vec(ending(), 1..6), ordered: bool) {
            let (mut tries, mut may_have_run) = (0, 0);
            for ending in history {
                tries += 1;
                may_have_run += u32::from(!ending.never_ran());
                if !may_try_again(tries, ending, ordered) {
                    break;
                }
            }
            prop_assert!(tries <= 1 + u32::from(ordered));
            prop_assert!(may_have_run <= 1);
        }
    }
}
