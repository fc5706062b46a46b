//! Load-based weight reduction: an endpoint that is slower than its subset gets less weight.
//!
//! Decides a factor on the listed weight of each endpoint, from reported latencies, once per evaluation. The
//! factor falls by the ratio of the acceptable to the measured latency, and recovers in small steps while
//! there is headroom.

use crate::attempt_stats::AttemptStats;
use crate::health_state::FALL;
use crate::state::EndpointState;
use crate::thresholds::{HIGH_LATENCY_RATIO, LOW_LATENCY_RATIO, SATURATED_LOAD, WEIGHT_RECOVERY_STEP};

/// Multiple of its subset's latency ratio above which an endpoint counts as slower than its subset.
const SLOWER_THAN_SUBSET: f64 = 1.6;
/// Lowest ratio of a weight factor after an evaluation to the one before.
const MIN_REDUCTION_RATIO: f64 = 0.7;
/// Lowest factor on a listed weight.
pub const MIN_WEIGHT_FACTOR: f64 = 0.3;

impl EndpointState {
    /// Returns the recent latency ratio. A saturated endpoint counts as slow before its requests are late.
    pub(crate) fn latency_ratio(&self, latency_objective: f64) -> f64 {
        let saturated = self.load.is_some_and(|load| load > SATURATED_LOAD);
        let lower_bound = if saturated { SLOWER_THAN_SUBSET * HIGH_LATENCY_RATIO } else { 0.0 };
        self.recent_attempts.latency_ratio(latency_objective).max(lower_bound)
    }

    /// Updates the weight factor by the latency of the endpoint and of its subset.
    pub(crate) fn adjust_weight_factor(&mut self, subset: AttemptStats, latency_objective: f64) {
        let acceptable = HIGH_LATENCY_RATIO.max(SLOWER_THAN_SUBSET * subset.latency_ratio(latency_objective));
        let measured = self.latency_ratio(latency_objective);
        let has_reports = self.recent_attempts.attempts >= f64::from(FALL);
        if has_reports && measured > acceptable {
            let step = (acceptable / measured).max(MIN_REDUCTION_RATIO);
            self.weight_factor = (self.weight_factor * step).max(MIN_WEIGHT_FACTOR);
        } else if has_reports && measured < LOW_LATENCY_RATIO {
            self.weight_factor = (self.weight_factor + WEIGHT_RECOVERY_STEP).min(1.0);
        }
    }
}
