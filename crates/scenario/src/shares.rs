//! Whether proxies kept to the weights: in each state of a table, each line had its share of the visits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lockcroft_testbed::{TrafficEvent, TrafficRecord};

use crate::rules::CheckResult;
use crate::seen::ObservedState;

/// Groups of fewer visits tell nothing.
const LEAST: usize = 50;
/// A failure may make a proxy shun an endpoint: what it does so long after is its own affair.
const CALM: Duration = Duration::from_secs(6);

/// The visits of one proxy by one state of a table.
#[derive(Default)]
struct Group {
    by_endpoint: BTreeMap<String, usize>,
    first: Duration,
    last: Duration,
}

/// When some endpoint was down: to be refused a connection leaves no trace at it.
fn outages(records: &[TrafficRecord]) -> Vec<(Duration, Duration)> {
    let (mut down, mut outages) = (BTreeMap::new(), Vec::new());
    for record in records {
        match &record.what {
            TrafficEvent::Stopped { endpoint } => drop(down.insert(endpoint, record.at)),
            TrafficEvent::Started { endpoint, .. } => {
                outages.extend(down.remove(endpoint).map(|from| (from, record.at)))
            }
            _ => {}
        }
    }
    outages.extend(down.into_values().map(|from| (from, Duration::MAX - CALM)));
    outages
}

/// Lines that are due by their weights are at most half a visit for each other line from their share;
/// a state begins and ends in the middle of a round, so two more.
pub fn shares<'a>(
    records: &[TrafficRecord],
    seen: impl Fn(&str) -> Option<&'a ObservedState>,
) -> CheckResult {
    let mut verdict = CheckResult::new("shares by weight", "visits past the bound", 0.0);
    let ran: BTreeSet<(u64, &str)> = records
        .iter()
        .filter_map(|record| match &record.what {
            TrafficEvent::Ran { visit, endpoint, .. } => Some((*visit, endpoint.as_str())),
            _ => None,
        })
        .collect();
    let outages = outages(records);
    let mut groups: BTreeMap<(&str, &str), Group> = BTreeMap::new();
    let mut failures: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for record in records {
        let TrafficEvent::Arrived { endpoint, relay, table, visit, .. } = &record.what else { continue };
        let group =
            groups.entry((relay, table)).or_insert_with(|| Group { first: record.at, ..Group::default() });
        *group.by_endpoint.entry(endpoint.clone()).or_default() += 1;
        group.last = record.at;
        if !ran.contains(&(*visit, endpoint)) {
            failures.entry(relay).or_default().push(record.at);
        }
    }
    for ((relay, table), group) in &groups {
        let total: usize = group.by_endpoint.values().sum();
        let troubled = failures.get(relay).into_iter().flatten();
        let troubled = troubled.filter(|at| **at + CALM >= group.first && **at <= group.last).count();
        let Some(weights) = seen(relay).and_then(|seen| seen.weights(table)) else { continue };
        let out = outages.iter().any(|(from, to)| *from <= group.last && *to + CALM >= group.first);
        if total < LEAST || troubled > 0 || out {
            continue;
        }
        let all: f64 = weights.values().map(|weight| f64::from(*weight)).sum();
        for (endpoint, weight) in &weights {
            let count = group.by_endpoint.get(endpoint).copied().unwrap_or(0) as f64;
            let off = (count - total as f64 * f64::from(*weight) / all).abs();
            let past = off - weights.len() as f64 / 2.0 - 2.0;
            verdict.met(past, || format!("{relay} to {endpoint} by {table}: {count} of {total}"));
        }
    }
    verdict
}
