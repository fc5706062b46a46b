//! The rule that a draining or removed endpoint gets no request after the drain grace period.

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;
use crate::rules::limits::Limits;

/// Measures how long after a drain or removal an endpoint still gets requests.
pub struct Draining {
    result: CheckResult,
}

impl Draining {
    pub fn new(limits: &Limits) -> Self {
        let limit = limits.drain_grace.as_secs_f64();
        Draining { result: CheckResult::new("drains kept", "s after told", limit) }
    }

    /// Measures the time from the list update, or from the attachment of the proxy if that is later, to a request.
    pub fn observe(&mut self, record: &TrafficRecord, fleet: &FleetHistory) {
        let TrafficEvent::RequestArrived { endpoint, proxy, .. } = &record.event else { return };
        let Some(excluded_since) = fleet.excluded_since(endpoint) else { return };
        let Some(attached_since) = fleet.proxy(proxy).and_then(|state| state.attached_since) else { return };
        let delay_s = (record.at - excluded_since.max(attached_since)).as_secs_f64();
        let at = record.at.as_secs_f64();
        self.result.observe(delay_s, || format!("{proxy} to {endpoint} at {at:.1} s"));
    }

    pub fn finish(self) -> CheckResult {
        self.result
    }
}
