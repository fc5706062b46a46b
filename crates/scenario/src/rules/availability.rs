//! The rule that each class has a usable endpoint at each proxy with a control stream.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;
use crate::rules::limits::Limits;

/// Measures how long a class has no usable endpoint at a proxy.
pub struct Availability {
    result: CheckResult,
    /// The time since which some class has had no endpoint that can be picked, by proxy.
    without_endpoint_since: BTreeMap<String, Duration>,
}

impl Availability {
    pub fn new(limits: &Limits) -> Self {
        let limit = limits.max_time_without_endpoints.as_secs_f64();
        Availability {
            result: CheckResult::new("endpoint for all", "s without a line", limit),
            without_endpoint_since: BTreeMap::new(),
        }
    }

    /// Evaluates one proxy; to be called after each change of its state. Time counts only while the proxy is attached
    /// and the list has a ready endpoint that is not warming up.
    pub fn evaluate(&mut self, at: Duration, proxy: &str, fleet: &FleetHistory) {
        let state = fleet.proxy(proxy);
        let lacks_endpoint =
            state.is_some_and(|state| state.attached_since.is_some() && state.lacks_endpoint());
        let since = self.without_endpoint_since.get(proxy).copied();
        if let Some(since) = since {
            let duration_s = (at - since).as_secs_f64();
            self.result.observe(duration_s, || format!("{proxy} until {:.1} s", at.as_secs_f64()));
        }
        if lacks_endpoint && fleet.has_warm_endpoint(at) {
            self.without_endpoint_since.insert(proxy.into(), since.unwrap_or(at));
        } else {
            self.without_endpoint_since.remove(proxy);
        }
    }

    /// Evaluates all proxies; to be called before each change of the list and at the end of the record.
    pub fn evaluate_all(&mut self, at: Duration, fleet: &FleetHistory) {
        fleet.proxy_names().for_each(|proxy| self.evaluate(at, proxy, fleet));
    }

    pub fn finish(self) -> CheckResult {
        self.result
    }
}
