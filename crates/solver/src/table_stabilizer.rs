//! Tables of their own for classes and zones, as fractions of the planned weights.
//!
//! A plan places the work of each class in each zone. Classes that share a table share the sum of their work. A table
//! stays in force until its fractions change by more than a fluctuation of demand.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan_stabilizer::FLUCTUATION;
use crate::problem::Problem;
use crate::solution::Solution;

/// A table that proxies of one zone use for some classes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableScope {
    /// Index of the proxies' zone.
    pub zone: usize,
    /// Indices of the classes.
    pub classes: Vec<usize>,
}

/// The fraction of its weight that each endpoint has in a table, above 0 and up to 1. Others are not in the table.
pub type WeightFractions = BTreeMap<usize, f64>;

/// A smaller fraction rounds to nothing in a table, whose fractions have steps of a twentieth.
const MIN_FRACTION: f64 = 1.0 / 40.0;

/// The tables in force. Endpoints have the host's own numbers.
#[derive(Clone, Debug, Default)]
pub struct TableStabilizer {
    current: Vec<WeightFractions>,
    known_endpoints: BTreeSet<usize>,
}

impl TableStabilizer {
    /// Applies an answer to the tables of these scopes, and returns the changed ones by index of the scope. `numbers` are
    /// the numbers of the problem's endpoints and `weights` the weights in force by number. With `weights_changed` every
    /// table is computed anew, as its fractions rest on the weights.
    pub fn update(
        &mut self,
        problem: &Problem,
        numbers: &[usize],
        answer: &Solution,
        scopes: &[TableScope],
        weights: &BTreeMap<usize, u32>,
        weights_changed: bool,
    ) -> Vec<(usize, WeightFractions)> {
        self.current.resize(scopes.len(), WeightFractions::new());
        let endpoints: BTreeSet<usize> = numbers.iter().copied().collect();
        let mut changed = Vec::new();
        for (index, scope) in scopes.iter().enumerate() {
            let planned = planned_fractions(problem, numbers, answer, scope, weights);
            let current = &mut self.current[index];
            let has_new_endpoint = planned.keys().any(|endpoint| !self.known_endpoints.contains(endpoint));
            let must_change = weights_changed
                || has_new_endpoint
                || moved_fraction(current, &planned, weights) > FLUCTUATION;
            if *current != planned && must_change {
                current.clone_from(&planned);
                changed.push((index, planned));
            }
        }
        self.known_endpoints = endpoints;
        changed
    }
}

/// The fractions of a table by its planned work. Endpoints in slow start get what they would have after it: the decisions
/// reduce their weight themselves.
fn planned_fractions(
    problem: &Problem,
    numbers: &[usize],
    answer: &Solution,
    scope: &TableScope,
    weights: &BTreeMap<usize, u32>,
) -> WeightFractions {
    let mut parts: BTreeMap<usize, f64> = BTreeMap::new();
    for planned in scope.classes.iter().flat_map(|class| &answer.planned_work[*class][scope.zone]) {
        let number = numbers[planned.endpoint];
        let warmth = problem.endpoints[planned.endpoint].slow_start_factor;
        let weight = weights.get(&number).copied().unwrap_or(0);
        if warmth > 0.0 && weight > 0 {
            *parts.entry(number).or_default() += planned.work / warmth / f64::from(weight);
        }
    }
    let max = parts.values().copied().fold(0.0, f64::max);
    let fractions = parts.into_iter().map(|(number, part)| (number, part / max));
    fractions.filter(|(_, fraction)| *fraction >= MIN_FRACTION).collect()
}

/// The fraction of a table's requests that would go to other endpoints.
fn moved_fraction(
    current: &WeightFractions,
    planned: &WeightFractions,
    weights: &BTreeMap<usize, u32>,
) -> f64 {
    let current = request_fractions(current, weights);
    let planned = request_fractions(planned, weights);
    let endpoints: BTreeSet<usize> = current.keys().chain(planned.keys()).copied().collect();
    let fraction =
        |fractions: &WeightFractions, endpoint: usize| fractions.get(&endpoint).copied().unwrap_or(0.0);
    let differences = endpoints
        .into_iter()
        .map(|endpoint| (fraction(&current, endpoint) - fraction(&planned, endpoint)).abs());
    differences.sum::<f64>() / 2.0
}

/// The fraction of a table's requests that each endpoint gets.
fn request_fractions(fractions: &WeightFractions, weights: &BTreeMap<usize, u32>) -> WeightFractions {
    let weight = |endpoint: &usize| f64::from(weights.get(endpoint).copied().unwrap_or(0));
    let total: f64 = fractions.iter().map(|(endpoint, fraction)| weight(endpoint) * fraction).sum();
    let requests =
        |(endpoint, fraction): (&usize, &f64)| (*endpoint, weight(endpoint) * fraction / total.max(1e-9));
    fractions.iter().map(requests).collect()
}
