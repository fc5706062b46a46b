//! Outlier detection: what proxies meet at an endpoint counts for its health beside its own health checks.
//!
//! Decides, from the attempts reported since the last evaluation, whether an endpoint is an outlier (Envoy's
//! outlier detection by failure percentage). Compared with the rest of its subset: a general slump makes no
//! outlier. An outlier is down and stays so for a while, whatever its health checks say; it comes back with a
//! small weight.

use std::time::Duration;

use crate::attempt_stats::AttemptStats;
use crate::health_state::{FALL, RISE};
use crate::state::EndpointState;
use crate::thresholds::HEALTHY_FAILURE_RATIO;
use crate::weight_reduction::MIN_WEIGHT_FACTOR;

/// An endpoint with more than this fraction of failed attempts is an outlier.
const OUTLIER_FAILURE_RATIO: f64 = 0.85;
/// An outlier stays down for at least this long.
const OUTLIER_DURATION: Duration = Duration::from_secs(5);

/// What an evaluation holds an endpoint against.
pub struct OutlierCriteria {
    pub now: Duration,
    /// Reports tell of a change after this time.
    pub settle_time: Duration,
    /// Without health checks an outlier is tried again after a while.
    pub health_checks_allowed: bool,
}

impl EndpointState {
    /// Counts the attempts reported since the last evaluation; gives the text of an event if they show an
    /// outlier.
    pub(crate) fn evaluate_attempts(
        &mut self,
        seen: AttemptStats,
        subset: AttemptStats,
        criteria: &OutlierCriteria,
    ) -> Option<String> {
        if self.is_outlier(seen, subset) {
            self.mark_outlier(criteria);
            return Some(format!(
                "detected as an outlier: {:.0} of {:.0} attempts failed",
                seen.failed, seen.attempts
            ));
        }
        let healthy = seen.attempts >= f64::from(RISE) && seen.failure_ratio() < HEALTHY_FAILURE_RATIO;
        let try_again = !criteria.health_checks_allowed && criteria.now >= self.outlier_until;
        if self.health.is_known() && (healthy || try_again) {
            self.health.record(RISE as i32);
        }
        None
    }

    fn is_outlier(&self, seen: AttemptStats, subset: AttemptStats) -> bool {
        let others = (subset.failed - seen.failed) / (subset.attempts - seen.attempts).max(1.0);
        let fails = seen.failed >= f64::from(FALL) && seen.failure_ratio() > OUTLIER_FAILURE_RATIO;
        fails && self.is_up() && !self.is_not_ready() && others < HEALTHY_FAILURE_RATIO
    }

    fn mark_outlier(&mut self, criteria: &OutlierCriteria) {
        self.health.record(-(FALL as i32));
        self.outlier_until = criteria.now + OUTLIER_DURATION;
        self.weight_factor = MIN_WEIGHT_FACTOR;
        self.reports_valid_from = self.outlier_until + criteria.settle_time;
    }
}
