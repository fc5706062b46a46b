//! The rule that an endpoint that drains or is gone gets no request once the grace is over.

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;
use crate::rules::limits::Limits;

pub struct Draining {
    result: CheckResult,
}

impl Draining {
    pub fn new(limits: &Limits) -> Self {
        let limit = limits.drain_grace.as_secs_f64();
        Draining { result: CheckResult::new("drains kept", "s after told", limit) }
    }

    /// The time runs from the report of the list, or from when the proxy attached if that is later.
    pub fn observe(&mut self, record: &TrafficRecord, fleet: &FleetHistory) {
        let TrafficEvent::RequestArrived { endpoint, proxy, .. } = &record.event else { return };
        let Some(out_since) = fleet.out_since(endpoint) else { return };
        let Some(attached_since) = fleet.proxy(proxy).and_then(|state| state.attached_since) else { return };
        let late = (record.at - out_since.max(attached_since)).as_secs_f64();
        let at = record.at.as_secs_f64();
        self.result.observe(late, || format!("{proxy} to {endpoint} at {at:.1} s"));
    }

    pub fn finish(self) -> CheckResult {
        self.result
    }
}
