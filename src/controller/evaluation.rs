//! The evaluation of reports, once per report period: calls the mechanisms in the order in which they depend
//! on each other.

use std::time::Duration;

use super::Controller;
use crate::Action;
use crate::attempt_stats::AttemptStats;
use crate::load_shedding::{adjust_admission, mean_latency_objective, update_table_latency};
use crate::outlier::OutlierCriteria;
use crate::subsets::update_spillover;
use crate::thresholds::{HEALTHY_FAILURE_RATIO, HIGH_LATENCY_RATIO};

/// Factor by which the recent attempts decay at each evaluation.
const ATTEMPT_DECAY_FACTOR: f64 = 0.3;
/// Factor by which the demand of a class decays at each evaluation.
const DEMAND_DECAY_FACTOR: f64 = 0.9;
/// Number of report periods, beside the message delay, after which reports reflect a change.
const SETTLE_PERIODS: f64 = 1.5;

impl Controller {
    /// Evaluates the reports since the last evaluation: health, weight factors, spillover and admission
    /// rates.
    pub(super) fn evaluate_reports(&mut self, now: Duration) {
        let subsets = self.evaluate_endpoints(now);
        let admission_may_change = now >= self.next_admission_change;
        let initial_fraction = self.settings.rules.initial_weight_fraction;
        update_spillover(&mut self.spillover, &self.layout, &self.endpoints, now, initial_fraction);
        let objective = mean_latency_objective(&self.admissions);
        update_table_latency(&mut self.tables, &self.endpoints, objective);
        for (subset, evaluated) in subsets.into_iter().enumerate() {
            if admission_may_change {
                let tables = self.layout.tables_of(subset);
                adjust_admission(&mut self.admissions, &mut self.tables, tables);
            }
            let is_shedding = self.sheds_load(subset);
            if is_shedding && admission_may_change {
                self.next_admission_change = now + self.settle_time();
            }
            if is_shedding || !evaluated.is_healthy() {
                self.mark_unstable(now, subset);
            }
        }
    }

    /// Updates the health and the weight factor of each endpoint; returns the evaluation of each subset.
    fn evaluate_endpoints(&mut self, now: Duration) -> Vec<EvaluatedSubset> {
        let latency_objective = mean_latency_objective(&self.admissions);
        let criteria = OutlierCriteria {
            now,
            settle_time: self.settle_time(),
            health_checks_allowed: self.settings.health_checks_allowed,
        };
        let subsets = self.unevaluated_by_subset();
        self.admissions.iter_mut().for_each(|admission| admission.demand *= DEMAND_DECAY_FACTOR);
        for (endpoint, state) in &mut self.endpoints {
            let reported = std::mem::take(&mut state.unevaluated_attempts);
            state.recent_attempts = reported.add_scaled(state.recent_attempts, ATTEMPT_DECAY_FACTOR);
            let subset = subsets[state.subset];
            if let Some(text) = state.evaluate_attempts(reported, subset, &criteria) {
                self.ready_actions.push_back(Action::RaiseEvent { endpoint: Some(*endpoint), text });
            }
            state.adjust_weight_factor(subset, latency_objective);
        }
        subsets.into_iter().map(|attempts| EvaluatedSubset { attempts, latency_objective }).collect()
    }

    /// Returns the attempts since the last evaluation at endpoints that are up, by subset.
    fn unevaluated_by_subset(&self) -> Vec<AttemptStats> {
        let mut subsets = vec![AttemptStats::default(); self.layout.subsets];
        for state in self.endpoints.values().filter(|state| state.is_up()) {
            subsets[state.subset] = state.unevaluated_attempts.add_scaled(subsets[state.subset], 1.0);
        }
        subsets
    }

    /// Returns true if a class has a reduced admission rate at a table of the subset.
    fn sheds_load(&self, subset: usize) -> bool {
        self.admissions
            .iter()
            .any(|admission| admission.rate < 1.0 && self.tables[admission.table].subset == subset)
    }

    /// Marks a subset as unstable, so that its endpoints that are warming up count as at risk.
    pub(super) fn mark_unstable(&mut self, now: Duration, subset: usize) {
        self.stability.mark_unstable(now, subset, self.settings.rules.slow_start_window);
    }

    /// Returns the time after which reports reflect a change.
    pub(super) fn settle_time(&self) -> Duration {
        let fleet = &self.settings.fleet;
        fleet.report_period.mul_f64(SETTLE_PERIODS) + fleet.message_delay
    }
}

/// The attempts at the endpoints of a subset since the last evaluation.
struct EvaluatedSubset {
    attempts: AttemptStats,
    latency_objective: f64,
}

impl EvaluatedSubset {
    fn is_healthy(&self) -> bool {
        self.attempts.attempts >= 1.0
            && self.attempts.failure_ratio() <= HEALTHY_FAILURE_RATIO
            && self.attempts.latency_ratio(self.latency_objective) <= HIGH_LATENCY_RATIO
    }
}
