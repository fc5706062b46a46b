//! The rules on executions: no request with effects is executed twice, and no attempt follows an execution.

use std::collections::BTreeMap;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::limits::Limits;

/// Counts repeated executions of requests of classes with effects.
pub fn check_single_execution(records: &[TrafficRecord], limits: &Limits) -> CheckResult {
    let mut result = CheckResult::new("no effect twice", "visits run twice", 0.0);
    let mut executions: BTreeMap<u64, u32> = BTreeMap::new();
    for record in records {
        let TrafficEvent::RequestExecuted { request, class, endpoint } = &record.event else { continue };
        let count = executions.entry(*request).or_default();
        *count += 1;
        if *count > 1 && limits.execute_once.contains(class) {
            let at = record.at.as_secs_f64();
            result.count_violation(|| format!("visit {request} at {endpoint} at {at:.1} s"));
        }
    }
    result
}

/// Counts attempts of requests that were already executed. Clients send each retry under a new id, so that a later
/// arrival of the same id is a proxy's retry.
pub fn check_retries(records: &[TrafficRecord]) -> CheckResult {
    let mut result = CheckResult::new("second tries", "tries after one that ran", 0.0);
    let mut executed_at = BTreeMap::new();
    for record in records {
        match &record.event {
            TrafficEvent::RequestExecuted { request, endpoint, .. } => {
                executed_at.insert(*request, endpoint);
            }
            TrafficEvent::RequestArrived { request, endpoint, .. } => {
                if let Some(first) = executed_at.get(request) {
                    result.count_violation(|| format!("visit {request} at {endpoint} after {first}"));
                }
            }
            _ => {}
        }
    }
    result
}
