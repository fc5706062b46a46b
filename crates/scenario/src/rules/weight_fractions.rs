//! The rule that proxies balance by weight: under each table version, each entry gets its fraction of the requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;
use crate::rules::limits::Limits;

/// Groups with fewer requests are too small to be checked.
const MIN_REQUESTS: usize = 50;
/// The time after a failure for which a proxy may eject an endpoint without the controller, and so deviate from the
/// weights.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// The requests that a proxy sent by one table version.
struct RequestGroup {
    /// The number of requests by endpoint.
    by_endpoint: BTreeMap<String, usize>,
    first: Duration,
    last: Duration,
}

impl RequestGroup {
    fn new(at: Duration) -> Self {
        RequestGroup { by_endpoint: BTreeMap::new(), first: at, last: at }
    }

    fn total(&self) -> usize {
        self.by_endpoint.values().sum()
    }
}

/// The requests of a record and the events that may make proxies deviate from the weights.
#[derive(Default)]
struct Requests<'a> {
    /// Requests by proxy and table version.
    groups: BTreeMap<(&'a str, &'a str), RequestGroup>,
    /// The times of attempts that were not executed, by proxy.
    failures: BTreeMap<&'a str, Vec<Duration>>,
    /// The times when some endpoint was down. Refused connections are not recorded as attempts.
    outages: Vec<Outage>,
}

struct Outage {
    from: Duration,
    to: Duration,
}

/// Measures by how many requests an entry deviates from its fraction beyond the allowed deviation. Smooth weighted
/// round robin deviates by at most half a request per entry of the table. Two more requests are allowed because a
/// table version begins and ends within a round.
pub fn check_weight_fractions(
    records: &[TrafficRecord],
    fleet: &FleetHistory,
    limits: &Limits,
) -> CheckResult {
    let limit = if limits.even_balancing { 0.0 } else { f64::INFINITY };
    let mut result = CheckResult::new("shares by weight", "visits past the bound", limit);
    let requests = Requests::new(records);
    for ((proxy, table), group) in &requests.groups {
        let Some(weights) = fleet.proxy(proxy).and_then(|state| state.weights(table)) else { continue };
        let total = group.total();
        if total < MIN_REQUESTS || requests.is_disturbed(proxy, group) {
            continue;
        }
        let weight_sum: f64 = weights.values().map(|weight| f64::from(*weight)).sum();
        for (endpoint, weight) in weights {
            let count = group.by_endpoint.get(endpoint).copied().unwrap_or(0) as f64;
            let deviation = (count - total as f64 * f64::from(*weight) / weight_sum).abs();
            let excess = deviation - weights.len() as f64 / 2.0 - 2.0;
            result.observe(excess, || format!("{proxy} to {endpoint} by {table}: {count} of {total}"));
        }
    }
    result
}

impl<'a> Requests<'a> {
    fn new(records: &'a [TrafficRecord]) -> Self {
        let executed: BTreeSet<(u64, &str)> = records.iter().filter_map(execution).collect();
        let mut requests = Requests { outages: outages(records), ..Requests::default() };
        for record in records {
            let TrafficEvent::RequestArrived { endpoint, proxy, table, request, .. } = &record.event else {
                continue;
            };
            let group = requests.groups.entry((proxy, table)).or_insert_with(|| RequestGroup::new(record.at));
            *group.by_endpoint.entry(endpoint.clone()).or_default() += 1;
            group.last = record.at;
            if !executed.contains(&(*request, endpoint)) {
                requests.failures.entry(proxy).or_default().push(record.at);
            }
        }
        requests
    }

    /// Returns true if failures or outages may have made the proxy deviate from the weights.
    fn is_disturbed(&self, proxy: &str, group: &RequestGroup) -> bool {
        let mut failures = self.failures.get(proxy).into_iter().flatten();
        failures.any(|at| *at + SETTLING_TIME >= group.first && *at <= group.last)
            || self
                .outages
                .iter()
                .any(|outage| outage.from <= group.last && outage.to + SETTLING_TIME >= group.first)
    }
}

/// Returns the request and the endpoint of an execution.
fn execution(record: &TrafficRecord) -> Option<(u64, &str)> {
    match &record.event {
        TrafficEvent::RequestExecuted { request, endpoint, .. } => Some((*request, endpoint.as_str())),
        _ => None,
    }
}

/// Returns the times between the end of an endpoint's process and its next start.
fn outages(records: &[TrafficRecord]) -> Vec<Outage> {
    let mut down = BTreeMap::new();
    let mut outages = Vec::new();
    for record in records {
        match &record.event {
            TrafficEvent::EndpointStopped { endpoint } => {
                down.insert(endpoint, record.at);
            }
            TrafficEvent::EndpointStarted { endpoint, .. } => {
                outages.extend(down.remove(endpoint).map(|from| Outage { from, to: record.at }));
            }
            _ => {}
        }
    }
    // The settling time is added to this later, which must not overflow.
    let max_end = Duration::MAX - SETTLING_TIME;
    outages.extend(down.into_values().map(|from| Outage { from, to: max_end }));
    outages
}
