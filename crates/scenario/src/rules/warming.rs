//! The rule that a warming endpoint is not overloaded.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::limits::Limits;

/// The load that is recorded for an endpoint that went down because of overload, as a multiple of the limit. It
/// exceeds the limit, so that the rule is broken whatever load was measured.
const OVER_LIMIT_FACTOR: f64 = 1.001;

/// Work that arrived at an endpoint.
struct WorkArrival {
    at: Duration,
    /// The work, in seconds of one core at speed 1.
    work: f64,
}

struct WarmingEndpoint {
    /// When its process started.
    started: Duration,
    /// The capacity of the warm process, in cores at speed 1.
    capacity: f64,
    /// The work that arrived within the overload window.
    recent_work: VecDeque<WorkArrival>,
}

/// Measures the work that arrives at warming endpoints within the overload window, as a multiple of their current
/// capacity.
pub fn check_warming_load(records: &[TrafficRecord], limits: &Limits) -> CheckResult {
    let limit = limits.slow_start.overload_factor;
    let mut result = CheckResult::new("no cold pushed over", "times capacity", limit);
    let mut warming: BTreeMap<&str, WarmingEndpoint> = BTreeMap::new();
    for record in records {
        let at = record.at;
        match &record.event {
            TrafficEvent::EndpointStarted { endpoint, capacity } => {
                let recent_work = VecDeque::new();
                warming.insert(endpoint, WarmingEndpoint { started: at, capacity: *capacity, recent_work });
            }
            TrafficEvent::EndpointOverloaded { endpoint } => {
                result.observe(limit * OVER_LIMIT_FACTOR, || {
                    format!("{endpoint} fell at {:.1} s", at.as_secs_f64())
                });
            }
            TrafficEvent::RequestArrived { endpoint, work, .. } => {
                let Some(state) = warming.get_mut(endpoint.as_str()) else { continue };
                match state.add_work(at, *work, limits) {
                    Some(load) => result.observe(load, || format!("{endpoint} at {:.1} s", at.as_secs_f64())),
                    None => drop(warming.remove(endpoint.as_str())),
                }
            }
            _ => {}
        }
    }
    result
}

impl WarmingEndpoint {
    /// Adds work and returns the load over the overload window as a multiple of the current capacity. Returns `None`
    /// once the endpoint is warm.
    fn add_work(&mut self, at: Duration, work: f64, limits: &Limits) -> Option<f64> {
        let window = limits.slow_start.overload_window;
        let fraction = limits.slow_start.fraction_at(at - self.started);
        if fraction >= 1.0 {
            return None;
        }
        self.recent_work.push_back(WorkArrival { at, work });
        while self.recent_work.front().is_some_and(|first| first.at + window < at) {
            self.recent_work.pop_front();
        }
        let arrived: f64 = self.recent_work.iter().map(|arrival| arrival.work).sum();
        Some(arrived / (fraction * self.capacity * window.as_secs_f64()))
    }
}
