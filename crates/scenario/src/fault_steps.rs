//! The steps of a script: each fault begins, and most end.

use std::fmt;
use std::time::Duration;

use crate::faults::{FaultInjection, FaultKind};

/// One step of the script.
pub struct Step<'a> {
    /// Since the start of the scenario.
    pub at: Duration,
    pub fault: &'a FaultInjection,
    pub phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Begins,
    /// The list reports an endpoint that was lost a while ago.
    Noticed,
    Ends,
}

impl fmt::Display for Phase {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Phase::Begins => "Begins",
            Phase::Noticed => "Noticed",
            Phase::Ends => "Ends",
        })
    }
}

/// The steps of these faults in the order of their times.
pub fn steps(faults: &[FaultInjection]) -> Vec<Step<'_>> {
    let mut steps = Vec::new();
    for fault in faults {
        steps.push(Step { at: fault.at, fault, phase: Phase::Begins });
        if fault.kind == FaultKind::LoseEndpoint {
            steps.push(Step { at: fault.at + fault.notice_delay, fault, phase: Phase::Noticed });
        }
        let end = fault.duration.map(|duration| fault.at + duration);
        steps.extend(end.map(|at| Step { at, fault, phase: Phase::Ends }));
    }
    steps.sort_by_key(|step| step.at);
    steps
}
