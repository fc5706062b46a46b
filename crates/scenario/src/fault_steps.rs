//! The steps of the fault injections: each fault begins, and most end.

use std::fmt;
use std::time::Duration;

use crate::faults::{FaultInjection, FaultKind};

/// A step of a fault injection.
pub struct Step<'a> {
    /// The time since the start of the scenario.
    pub at: Duration,
    pub fault: &'a FaultInjection,
    pub phase: Phase,
}

/// The phase of a fault that a step begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Begins,
    /// The endpoint list reports endpoints that were lost earlier.
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

/// Returns the steps of these faults in order of time.
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
