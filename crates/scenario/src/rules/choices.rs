//! The rule that proxies choose endpoints from their tables only.

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;

/// Counts the requests that were sent to an endpoint that could not be picked from the table at the version that the
/// proxy names in the request. `fleet` is the history of all `records`.
pub fn check_choices(records: &[TrafficRecord], fleet: &FleetHistory) -> CheckResult {
    let mut result = CheckResult::new("choices by table", "choices outside it", 0.0);
    for record in records {
        let TrafficEvent::RequestArrived { endpoint, proxy, table, .. } = &record.event else { continue };
        let could_pick = fleet.proxy(proxy).is_some_and(|state| state.could_pick(table, endpoint));
        if !could_pick {
            let at = record.at.as_secs_f64();
            result.count_violation(|| format!("{proxy} to {endpoint} by {table} at {at:.1} s"));
        }
    }
    result
}
