//! The rule that proxies choose from their tables only.

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;

/// Compares every choice with the table in force: the proxy names it with its version, and what that held is known from
/// the updates. The history is that of the whole record.
pub fn choices_by_table(records: &[TrafficRecord], fleet: &FleetHistory) -> CheckResult {
    let mut result = CheckResult::new("choices by table", "choices outside it", 0.0);
    for record in records {
        let TrafficEvent::RequestArrived { endpoint, proxy, table, .. } = &record.event else { continue };
        let could_pick = fleet.proxy(proxy).is_some_and(|state| state.could_pick(table, endpoint));
        if !could_pick {
            let at = record.at.as_secs_f64();
            result.count(|| format!("{proxy} to {endpoint} by {table} at {at:.1} s"));
        }
    }
    result
}
