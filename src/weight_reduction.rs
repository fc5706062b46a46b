//! Load-based weight reduction: an endpoint that is slower than its subset gets less weight.
//!
//! Decides, from reported latencies once an evaluation, a factor on the listed weight of each endpoint. It
//! falls by the ratio of the bearable latency to the measured one, and comes back by small steps while there
//! is headroom.

use crate::attempt_stats::AttemptStats;
use crate::health_state::FALL;
use crate::state::EndpointState;
use crate::thresholds::{HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO, SATURATED_LOAD, WEIGHT_RECOVERY_STEP};

/// An endpoint is slow on its own account only from this multiple of its subset's latency on.
const SLOWER_THAN_SUBSET: f64 = 1.6;
/// One evaluation leaves at least this fraction of the weight.
const MAX_REDUCTION_STEP: f64 = 0.7;
/// The lowest factor on a listed weight.
pub const MIN_WEIGHT_FACTOR: f64 = 0.3;

impl EndpointState {
    /// Recent latency over the objective; a saturated endpoint counts as slow before its requests are late.
    pub(crate) fn latency_ratio(&self, latency_objective: f64) -> f64 {
        let saturated = self.load.is_some_and(|load| load > SATURATED_LOAD);
        let at_least = if saturated { SLOWER_THAN_SUBSET * HIGH_LATENCY_RATIO } else { 0.0 };
        self.recent_attempts.latency_ratio(latency_objective).max(at_least)
    }

    /// Moves the weight factor by what the endpoint and its subset showed.
    pub(crate) fn adjust_weight_factor(&mut self, subset: AttemptStats, latency_objective: f64) {
        let bearable = HIGH_LATENCY_RATIO.max(SLOWER_THAN_SUBSET * subset.latency_ratio(latency_objective));
        let measured = self.latency_ratio(latency_objective);
        let has_reports = self.recent_attempts.attempts >= f64::from(FALL);
        if has_reports && measured > bearable {
            let step = (bearable / measured).max(MAX_REDUCTION_STEP);
            self.weight_factor = (self.weight_factor * step).max(MIN_WEIGHT_FACTOR);
        } else if has_reports && measured < LOW_LATENCY_RATIO {
            self.weight_factor = (self.weight_factor + WEIGHT_RECOVERY_STEP).min(1.0);
        }
    }
}
