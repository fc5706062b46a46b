//! Derives tables for classes and zones from a plan, as fractions of the planned weights.
//!
//! A plan assigns the work of each class and zone to endpoints. Classes that share a table are planned by the sum of
//! their work. A table is kept until a new plan moves more of its requests than a fluctuation of demand would, the
//! weights change, or the plan has a new endpoint.

use std::collections::{BTreeMap, BTreeSet};

use crate::plan_stabilizer::FLUCTUATION;
use crate::problem::Problem;
use crate::solution::Solution;

/// The proxies and classes that a table serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableScope {
    /// Index of the proxies' zone.
    pub zone: usize,
    /// Indices of the classes.
    pub classes: Vec<usize>,
}

/// The fractions of their planned weights that endpoints have in a table, above 0 and up to 1, by number of the
/// endpoint. Endpoints that are missing have no entry in the table.
pub type WeightFractions = BTreeMap<usize, f64>;

/// The least fraction in a table. Fractions are later rounded to multiples of 1/20, where smaller ones become 0.
const MIN_FRACTION: f64 = 1.0 / 40.0;

/// The current tables. Endpoints are identified by numbers that the caller chooses.
#[derive(Clone, Debug, Default)]
pub struct TableStabilizer {
    /// The current fractions of each table, by index of the scope.
    current: Vec<WeightFractions>,
    /// The endpoints of the last problem.
    known_endpoints: BTreeSet<usize>,
}

impl TableStabilizer {
    /// Applies a solution to the tables of these scopes, and returns the changed tables by index of the scope.
    /// `numbers` are the numbers of the problem's endpoints by index, and `weights` the current weights by number. If
    /// `weights_changed`, replaces every table whose fractions differ, however little, because fractions are relative
    /// to the weights.
    ///
    /// # Panics
    /// Panics if `numbers`, the solution or the scopes do not belong to the problem.
    pub fn update(
        &mut self,
        problem: &Problem,
        numbers: &[usize],
        solution: &Solution,
        scopes: &[TableScope],
        weights: &BTreeMap<usize, u32>,
        weights_changed: bool,
    ) -> Vec<(usize, WeightFractions)> {
        self.current.resize(scopes.len(), WeightFractions::new());
        let endpoints: BTreeSet<usize> = numbers.iter().copied().collect();
        let mut changed = Vec::new();
        for (index, scope) in scopes.iter().enumerate() {
            let planned = planned_fractions(problem, numbers, solution, scope, weights);
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

/// Returns the fractions of a table, proportional to planned work divided by weight. Endpoints in slow start get the
/// fraction that they would have after it, because the controller reduces weights during slow start itself.
fn planned_fractions(
    problem: &Problem,
    numbers: &[usize],
    solution: &Solution,
    scope: &TableScope,
    weights: &BTreeMap<usize, u32>,
) -> WeightFractions {
    let mut shares: BTreeMap<usize, f64> = BTreeMap::new();
    for planned in scope.classes.iter().flat_map(|class| &solution.planned_work[*class][scope.zone]) {
        let number = numbers[planned.endpoint];
        let slow_start_factor = problem.endpoints[planned.endpoint].slow_start_factor;
        let weight = weights.get(&number).copied().unwrap_or(0);
        if slow_start_factor > 0.0 && weight > 0 {
            *shares.entry(number).or_default() += planned.work / slow_start_factor / f64::from(weight);
        }
    }
    let max = shares.values().copied().fold(0.0, f64::max);
    let fractions = shares.into_iter().map(|(number, share)| (number, share / max));
    fractions.filter(|(_, fraction)| *fraction >= MIN_FRACTION).collect()
}

/// Returns the fraction of a table's requests that would move to other endpoints.
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

/// Returns the fraction of a table's requests that each endpoint gets, by number.
fn request_fractions(fractions: &WeightFractions, weights: &BTreeMap<usize, u32>) -> WeightFractions {
    let weight = |endpoint: &usize| f64::from(weights.get(endpoint).copied().unwrap_or(0));
    let total: f64 = fractions.iter().map(|(endpoint, fraction)| weight(endpoint) * fraction).sum();
    let requests =
        |(endpoint, fraction): (&usize, &f64)| (*endpoint, weight(endpoint) * fraction / total.max(1e-9));
    fractions.iter().map(requests).collect()
}
