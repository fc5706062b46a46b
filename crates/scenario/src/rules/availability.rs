//! The rule that each class has an endpoint at each proxy that follows a controller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;
use crate::rules::limits::Limits;

pub struct Availability {
    result: CheckResult,
    /// Since when a proxy has lacked an endpoint for a class.
    lacking_since: BTreeMap<String, Duration>,
}

impl Availability {
    pub fn new(limits: &Limits) -> Self {
        let limit = limits.max_time_without_endpoints.as_secs_f64();
        Availability {
            result: CheckResult::new("endpoint for all", "s without a line", limit),
            lacking_since: BTreeMap::new(),
        }
    }

    /// Looks at one proxy, after each change of its state.
    pub fn evaluate(&mut self, at: Duration, proxy: &str, fleet: &FleetHistory) {
        let state = fleet.proxy(proxy);
        let lacking = state.is_some_and(|state| state.attached_since.is_some() && state.lacks_endpoint());
        let since = self.lacking_since.get(proxy).copied();
        if let Some(since) = since {
            let unserved = (at - since).as_secs_f64();
            self.result.observe(unserved, || format!("{proxy} until {:.1} s", at.as_secs_f64()));
        }
        if lacking && fleet.has_warm_endpoint(at) {
            self.lacking_since.insert(proxy.into(), since.unwrap_or(at));
        } else {
            self.lacking_since.remove(proxy);
        }
    }

    /// Looks at all proxies, before the list changes and at the end of the record.
    pub fn evaluate_all(&mut self, at: Duration, fleet: &FleetHistory) {
        fleet.proxy_names().for_each(|proxy| self.evaluate(at, proxy, fleet));
    }

    pub fn finish(self) -> CheckResult {
        self.result
    }
}
