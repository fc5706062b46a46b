//! The rule that proxies keep to the weights: in each state of a table, each entry gets its fraction of the requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::check_result::CheckResult;
use crate::rules::fleet_history::FleetHistory;
use crate::rules::limits::Limits;

/// Fewer requests by one state of a table say nothing.
const MIN_REQUESTS: usize = 50;
/// After a failure a proxy may eject an endpoint by itself for this long, and so leave the weights.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// The requests of one proxy by one state of a table.
struct Group {
    by_endpoint: BTreeMap<String, usize>,
    first: Duration,
    last: Duration,
}

impl Group {
    fn new(at: Duration) -> Self {
        Group { by_endpoint: BTreeMap::new(), first: at, last: at }
    }

    fn total(&self) -> usize {
        self.by_endpoint.values().sum()
    }
}

/// The requests of a record, by what may disturb the proxies' choices.
#[derive(Default)]
struct Requests<'a> {
    /// By proxy and state of a table.
    groups: BTreeMap<(&'a str, &'a str), Group>,
    /// Times of attempts that were not executed, by proxy.
    failures: BTreeMap<&'a str, Vec<Duration>>,
    /// When some endpoint was down: a refused connection leaves no trace at the endpoint.
    outages: Vec<Outage>,
}

struct Outage {
    from: Duration,
    to: Duration,
}

/// Smooth weighted round robin keeps an entry within half a request for each other entry of its fraction; a state of a
/// table begins and ends in the middle of a round, so two more are allowed.
pub fn fractions_by_weight(records: &[TrafficRecord], fleet: &FleetHistory, limits: &Limits) -> CheckResult {
    let limit = if limits.even_balancing { 0.0 } else { f64::INFINITY };
    let mut result = CheckResult::new("shares by weight", "visits past the bound", limit);
    let requests = Requests::new(records);
    for ((proxy, table), group) in &requests.groups {
        let Some(weights) = fleet.proxy(proxy).and_then(|state| state.weights(table)) else { continue };
        let total = group.total();
        if total < MIN_REQUESTS || requests.disturbed(proxy, group) {
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
            let group = requests.groups.entry((proxy, table)).or_insert_with(|| Group::new(record.at));
            *group.by_endpoint.entry(endpoint.clone()).or_default() += 1;
            group.last = record.at;
            if !executed.contains(&(*request, endpoint)) {
                requests.failures.entry(proxy).or_default().push(record.at);
            }
        }
        requests
    }

    /// Whether failures or outages may have kept the proxy from the weights.
    fn disturbed(&self, proxy: &str, group: &Group) -> bool {
        let mut failures = self.failures.get(proxy).into_iter().flatten();
        failures.any(|at| *at + SETTLING_TIME >= group.first && *at <= group.last)
            || self
                .outages
                .iter()
                .any(|outage| outage.from <= group.last && outage.to + SETTLING_TIME >= group.first)
    }
}

fn execution(record: &TrafficRecord) -> Option<(u64, &str)> {
    match &record.event {
        TrafficEvent::RequestExecuted { request, endpoint, .. } => Some((*request, endpoint.as_str())),
        _ => None,
    }
}

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
    // The settling time is added to the end.
    let end_of_time = Duration::MAX - SETTLING_TIME;
    outages.extend(down.into_values().map(|from| Outage { from, to: end_of_time }));
    outages
}
