//! Keeps the current weights until a new plan gains more than its changes cost.
//!
//! This prevents weights from following every fluctuation of demand, each time with a batch of updates to all proxies.
//! Of a new plan only as many changes are applied as are worth their cost, starting with the endpoints that move most
//! work.

use std::collections::BTreeMap;

use crate::load_distribution::LoadDistribution;
use crate::problem::Problem;
use crate::solution::{MAX_WEIGHT, Solution};

/// The cost of changing weights, and the limit on changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeCost {
    /// Cost of changing a table entry at all proxies that have it, in units of value.
    pub per_entry: f64,
    /// The most weights that one update may change.
    pub max_entries: usize,
    /// Expected time in seconds until the next plan, over which a change yields its gain.
    pub horizon_secs: f64,
}

/// Relative changes up to this are within the precision of demand and are ignored.
pub(crate) const FLUCTUATION: f64 = 1.0 / 16.0;

/// The current weights and admission rates. Endpoints are identified by numbers that the caller chooses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanStabilizer {
    weights: BTreeMap<usize, u32>,
    admission_rates: Vec<f64>,
}

/// Planned and current weights, by index of the endpoint.
struct Candidate<'a> {
    distribution: LoadDistribution<'a>,
    current: Vec<u32>,
    planned: Vec<u32>,
    /// Indices of the endpoints whose weights differ by more than a fluctuation, in descending order of the work that
    /// their change moves.
    changes: Vec<usize>,
}

impl PlanStabilizer {
    /// Returns the current weights by number of the endpoint, from 0 to [`MAX_WEIGHT`].
    #[must_use]
    pub fn weights(&self) -> &BTreeMap<usize, u32> {
        &self.weights
    }

    /// Returns the current admission rate of each class, from 0 to 1; empty before the first update.
    #[must_use]
    pub fn admission_rates(&self) -> &[f64] {
        &self.admission_rates
    }

    /// Applies those changes of a solution that gain more than they cost, and returns the numbers and new weights of
    /// the changed endpoints. New endpoints always get their planned weight. `numbers` are the numbers of the problem's
    /// endpoints by index; other endpoints are removed.
    ///
    /// # Panics
    /// Panics if `numbers` or the solution do not belong to the problem.
    pub fn update(
        &mut self,
        problem: &Problem,
        numbers: &[usize],
        solution: &Solution,
        cost: ChangeCost,
    ) -> Vec<(usize, u32)> {
        self.update_admission_rates(&solution.admission_rates);
        let before: Vec<Option<u32>> =
            numbers.iter().map(|number| self.weights.get(number).copied()).collect();
        let candidate = self.candidate(problem, &before, self.rescale(numbers, &solution.weights));
        let applied = self.most_valuable_changes(&candidate, cost);
        let mut weights = candidate.current;
        for endpoint in &candidate.changes[..applied] {
            weights[*endpoint] = candidate.planned[*endpoint];
        }
        let is_changed = |endpoint: &usize| before[*endpoint] != Some(weights[*endpoint]);
        let changed = (0..weights.len()).filter(is_changed);
        let changed = changed.map(|endpoint| (numbers[endpoint], weights[endpoint])).collect();
        self.weights = numbers.iter().copied().zip(weights).collect();
        changed
    }

    /// Compares planned with current weights. `before` has `None` for new endpoints, which count as already having
    /// their planned weight, as they need one whatever the change costs.
    fn candidate<'a>(
        &self,
        problem: &'a Problem,
        before: &[Option<u32>],
        planned: Vec<u32>,
    ) -> Candidate<'a> {
        let current: Vec<u32> =
            before.iter().zip(&planned).map(|(before, planned)| before.unwrap_or(*planned)).collect();
        let distribution = LoadDistribution::new(problem);
        let current_loads = distribution.loads(&current, &self.admission_rates);
        let planned_loads = distribution.loads(&planned, &self.admission_rates);
        let moved_work = |endpoint: &usize| (planned_loads[*endpoint] - current_loads[*endpoint]).abs();
        let differs = |endpoint: &usize| is_significant_change(current[*endpoint], planned[*endpoint]);
        let mut changes: Vec<usize> = (0..current.len()).filter(differs).collect();
        changes.sort_by(|a, b| moved_work(b).total_cmp(&moved_work(a)).then(a.cmp(b)));
        Candidate { distribution, current, planned, changes }
    }

    /// Returns the number of changes, from the first, with the greatest gain less cost; 0 if no number gains more than
    /// it costs. To limit the computation, tries only powers of two and the greatest number that is allowed.
    fn most_valuable_changes(&self, candidate: &Candidate, cost: ChangeCost) -> usize {
        let max_changes = candidate.changes.len().min(cost.max_entries);
        let value_now = candidate.distribution.value(&candidate.current, &self.admission_rates);
        let powers = (0..).map(|power| 1_usize << power).take_while(|count| *count < max_changes);
        let mut best_gain = 0.0;
        let mut best_count = 0;
        for count in powers.chain([max_changes]).filter(|count| *count > 0) {
            let mut weights = candidate.current.clone();
            for endpoint in &candidate.changes[..count] {
                weights[*endpoint] = candidate.planned[*endpoint];
            }
            let value = candidate.distribution.value(&weights, &self.admission_rates);
            let gain = (value - value_now) * cost.horizon_secs - cost.per_entry * count as f64;
            if gain > best_gain {
                best_gain = gain;
                best_count = count;
            }
        }
        best_count
    }

    /// Replaces admission rates that changed by more than a fluctuation. Rates of 0 and 1 are always applied.
    fn update_admission_rates(&mut self, planned: &[f64]) {
        if self.admission_rates.len() != planned.len() {
            self.admission_rates = planned.to_vec();
        }
        for (current, planned) in self.admission_rates.iter_mut().zip(planned) {
            let is_beyond_fluctuation = (*current - planned).abs() > FLUCTUATION * planned.max(*current);
            if is_beyond_fluctuation || *planned == 0.0 || *planned == 1.0 {
                *current = *planned;
            }
        }
    }

    /// Scales planned weights by the median ratio of current to planned weight, so that demand that grows uniformly
    /// changes no weight. The result does not exceed [`MAX_WEIGHT`].
    fn rescale(&self, numbers: &[usize], planned: &[u32]) -> Vec<u32> {
        let ratio = |endpoint: usize| {
            let current = self.weights.get(&numbers[endpoint]).copied().filter(|weight| *weight > 0)?;
            Some(f64::from(current) / f64::from(planned[endpoint]))
        };
        let weighted = (0..planned.len()).filter(|endpoint| planned[*endpoint] > 0);
        let mut ratios: Vec<f64> = weighted.filter_map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let Some(median) = ratios.get(ratios.len() / 2) else { return planned.to_vec() };
        let max_planned = planned.iter().copied().max().unwrap_or(0);
        let scale = median.min(f64::from(MAX_WEIGHT) / f64::from(max_planned.max(1)));
        planned.iter().map(|weight| (f64::from(*weight) * scale).round() as u32).collect()
    }
}

/// Returns true if weights differ by more than a fluctuation and by more than 1, or if exactly one of them is 0.
fn is_significant_change(current: u32, planned: u32) -> bool {
    let difference = f64::from(current.abs_diff(planned));
    let max_fluctuation = (FLUCTUATION * f64::from(current.max(planned))).max(1.0);
    difference > max_fluctuation || (current == 0) != (planned == 0)
}
