//! The rule that a warming endpoint is not pushed over: it gets no more than it bears.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::limits::Limits;

/// An endpoint that went down is over the limit, whatever work was counted.
const JUST_OVER: f64 = 1.001;

/// Work that reached an endpoint.
struct WorkArrival {
    at: Duration,
    /// In seconds of one core at full speed.
    work: f64,
}

struct WarmingEndpoint {
    since: Duration,
    /// Once it is warm, in cores at speed 1.
    capacity: f64,
    /// What arrived within the overload window.
    recent_work: VecDeque<WorkArrival>,
}

/// The work of each overload window against what the endpoint can do then.
pub fn warming_not_overloaded(records: &[TrafficRecord], limits: &Limits) -> CheckResult {
    let limit = limits.slow_start.overload_factor;
    let mut result = CheckResult::new("no cold pushed over", "times capacity", limit);
    let mut warming: BTreeMap<&str, WarmingEndpoint> = BTreeMap::new();
    for record in records {
        let at = record.at;
        match &record.event {
            TrafficEvent::EndpointStarted { endpoint, capacity } => {
                let recent_work = VecDeque::new();
                warming.insert(endpoint, WarmingEndpoint { since: at, capacity: *capacity, recent_work });
            }
            TrafficEvent::EndpointOverloaded { endpoint } => {
                result.observe(limit * JUST_OVER, || format!("{endpoint} fell at {:.1} s", at.as_secs_f64()));
            }
            TrafficEvent::RequestArrived { endpoint, work, .. } => {
                let Some(state) = warming.get_mut(endpoint.as_str()) else { continue };
                match state.load(at, *work, limits) {
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
    /// The work of the overload window as a multiple of what the endpoint can do; none once it is warm.
    fn load(&mut self, at: Duration, work: f64, limits: &Limits) -> Option<f64> {
        let window = limits.slow_start.overload_window;
        let fraction = limits.slow_start.fraction_at(at - self.since);
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
