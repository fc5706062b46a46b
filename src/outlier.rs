//! Outlier detection: the attempts that proxies report count for the health of an endpoint, beside its health
//! checks.
//!
//! Decides, from the attempts reported since the last evaluation, whether an endpoint is an outlier (like
//! Envoy's outlier detection by failure percentage). An endpoint is compared with the rest of its subset, so
//! that failures of the whole subset make no outlier. An outlier is down for a minimum time, whatever the
//! results of its health checks, and returns with the lowest weight factor.

use std::time::Duration;

use crate::attempt_stats::AttemptStats;
use crate::health_state::{FALL, RISE};
use crate::state::EndpointState;
use crate::thresholds::HEALTHY_FAILURE_RATIO;
use crate::weight_reduction::MIN_WEIGHT_FACTOR;

/// Failure ratio above which an endpoint is an outlier.
const OUTLIER_FAILURE_RATIO: f64 = 0.85;
/// Minimum time for which an outlier stays down.
const OUTLIER_DURATION: Duration = Duration::from_secs(5);

/// The inputs of an evaluation that are the same for all endpoints.
pub struct OutlierCriteria {
    pub now: Duration,
    /// The time after which reports reflect a change.
    pub settle_time: Duration,
    /// False if endpoints may not be health-checked; an outlier is then used again after its minimum time.
    pub health_checks_allowed: bool,
}

impl EndpointState {
    /// Updates the health by `reported`, the attempts reported since the last evaluation, and `subset`, those
    /// of the whole subset. Returns the text of an event if the endpoint is detected as an outlier.
    pub(crate) fn evaluate_attempts(
        &mut self,
        reported: AttemptStats,
        subset: AttemptStats,
        criteria: &OutlierCriteria,
    ) -> Option<String> {
        if self.is_outlier(reported, subset) {
            self.mark_outlier(criteria);
            return Some(format!(
                "detected as an outlier: {:.0} of {:.0} attempts failed",
                reported.failed, reported.attempts
            ));
        }
        let attempts_are_healthy =
            reported.attempts >= f64::from(RISE) && reported.failure_ratio() < HEALTHY_FAILURE_RATIO;
        let is_probation_due = !criteria.health_checks_allowed && criteria.now >= self.outlier_until;
        if self.health.is_known() && (attempts_are_healthy || is_probation_due) {
            self.health.record(RISE as i32);
        }
        None
    }

    fn is_outlier(&self, reported: AttemptStats, subset: AttemptStats) -> bool {
        let failure_ratio_of_others =
            (subset.failed - reported.failed) / (subset.attempts - reported.attempts).max(1.0);
        let is_failing =
            reported.failed >= f64::from(FALL) && reported.failure_ratio() > OUTLIER_FAILURE_RATIO;
        is_failing && self.is_up() && !self.is_not_ready() && failure_ratio_of_others < HEALTHY_FAILURE_RATIO
    }

    fn mark_outlier(&mut self, criteria: &OutlierCriteria) {
        self.health.record(-(FALL as i32));
        self.outlier_until = criteria.now + OUTLIER_DURATION;
        self.weight_factor = MIN_WEIGHT_FACTOR;
        self.reports_valid_from = self.outlier_until + criteria.settle_time;
    }
}
