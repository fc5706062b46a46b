//! Keeps the weights in force until another plan gains more than its changes cost.
//!
//! This guards against weights that follow every fluctuation of demand, each time with a batch of updates to all proxies.
//! A new plan is applied only as far as it pays, starting with the endpoints that move most work.

use std::collections::BTreeMap;

use crate::load_distribution::LoadDistribution;
use crate::problem::Problem;
use crate::solution::{MAX_WEIGHT, Solution};

/// What changes cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeCost {
    /// Value that a changed table entry costs, over all proxies that hold it.
    pub per_entry: f64,
    /// The most entries that may change at once.
    pub max_entries: usize,
    /// Seconds for which a plan is expected to stay in force: what it gains, it gains for this long.
    pub horizon_secs: f64,
}

/// A relative change below this is within the precision of demand and changes nothing.
pub(crate) const FLUCTUATION: f64 = 1.0 / 16.0;

/// The weights and admission rates in force. Endpoints have the host's own numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanStabilizer {
    weights: BTreeMap<usize, u32>,
    admission_rates: Vec<f64>,
}

/// A plan beside the weights in force, by index of the endpoint.
struct Candidate<'a> {
    distribution: LoadDistribution<'a>,
    current: Vec<u32>,
    planned: Vec<u32>,
    /// The endpoints whose weights differ, those that move most work first.
    changes: Vec<usize>,
}

impl PlanStabilizer {
    /// Weights by number of the endpoint, in steps.
    #[must_use]
    pub fn weights(&self) -> &BTreeMap<usize, u32> {
        &self.weights
    }

    /// Admission rate by class.
    #[must_use]
    pub fn admission_rates(&self) -> &[f64] {
        &self.admission_rates
    }

    /// Applies an answer as far as it pays, and returns the numbers and weights of the endpoints that change. `numbers`
    /// are the numbers of the problem's endpoints.
    pub fn update(
        &mut self,
        problem: &Problem,
        numbers: &[usize],
        answer: &Solution,
        price: ChangeCost,
    ) -> Vec<(usize, u32)> {
        self.update_admission_rates(&answer.admission_rates);
        let before: Vec<Option<u32>> =
            numbers.iter().map(|number| self.weights.get(number).copied()).collect();
        let candidate = self.candidate(problem, &before, self.rescale(numbers, &answer.weights));
        let applied = self.most_valuable_changes(&candidate, price);
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

    /// A new endpoint needs some weight at any price, so it counts as having its planned one already.
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
        let differs = |endpoint: &usize| is_worth_a_change(current[*endpoint], planned[*endpoint]);
        let mut changes: Vec<usize> = (0..current.len()).filter(differs).collect();
        changes.sort_by(|a, b| moved_work(b).total_cmp(&moved_work(a)).then(a.cmp(b)));
        Candidate { distribution, current, planned, changes }
    }

    /// How many of the changes, from the first, gain most beyond their cost; 0 if none do. Tries one, two, four and so
    /// on, and all that may change at once.
    fn most_valuable_changes(&self, candidate: &Candidate, price: ChangeCost) -> usize {
        let max_changes = candidate.changes.len().min(price.max_entries);
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
            let gain = (value - value_now) * price.horizon_secs - price.per_entry * count as f64;
            if gain > best_gain {
                best_gain = gain;
                best_count = count;
            }
        }
        best_count
    }

    /// Takes over admission rates that changed by more than a fluctuation. Rates of 0 and 1 are taken over at once.
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

    /// Planned weights on the scale of those in force, by the median ratio: demand that grows everywhere alike then
    /// changes no weight. The greatest weight stays within the scale.
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

/// Whether weights differ by more than a fluctuation and by more than a step, or one of them is 0.
fn is_worth_a_change(current: u32, planned: u32) -> bool {
    let difference = f64::from(current.abs_diff(planned));
    let max_fluctuation = (FLUCTUATION * f64::from(current.max(planned))).max(1.0);
    difference > max_fluctuation || (current == 0) != (planned == 0)
}
