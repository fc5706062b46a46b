//! The start-up hold: after a start nothing is published until health checks have converged.
//!
//! Decides for each table when the hold ends, from the time since the start and the health of its endpoints.
//! A table that is empty or lacks endpoints with unknown health would take working endpoints from proxies
//! that still use the tables of an earlier controller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::EndpointId;
use crate::state::EndpointState;

/// Minimum duration of the hold. The drain grace period or ejected default tables can end it earlier.
pub const MIN_HOLD: Duration = Duration::from_secs(5);
/// Maximum duration of the hold.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// Fraction of the drain grace period after which the hold ends; the rest is left to assign new tables.
const HOLD_WITHIN_GRACE: f64 = 0.3;
/// Smallest number of endpoints in a proxy's default table. If as many endpoints are ejected, the table of a
/// proxy may contain no usable endpoint.
const MIN_DEFAULT_TABLE: usize = 3;

/// The conditions that end the hold of a table.
pub struct HoldConditions {
    now: Duration,
    max_hold: Duration,
    /// The number of endpoints that proxies must not use.
    unusable: usize,
}

impl HoldConditions {
    /// Returns the conditions at `now`. `drain_grace` is `Some` if the endpoint list changed before this
    /// start: proxies may still use endpoints that were removed and cannot be ejected, as the list no longer
    /// names them, so all proxies need new tables within the drain grace period.
    pub fn new(
        now: Duration,
        drain_grace: Option<Duration>,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
    ) -> Self {
        let grace_limit = drain_grace.map(|grace| grace.mul_f64(HOLD_WITHIN_GRACE));
        let unusable = endpoints.values().filter(|state| state.must_be_ejected(now, true)).count();
        HoldConditions { now, max_hold: grace_limit.map_or(MAX_HOLD, |grace| MAX_HOLD.min(grace)), unusable }
    }

    /// Returns the reason why the hold of a table with these endpoints ends now; `None` if it continues.
    pub fn release_reason<'a>(
        &self,
        mut endpoints: impl Iterator<Item = &'a EndpointState>,
    ) -> Option<&'static str> {
        let min_hold = MIN_HOLD.min(self.max_hold);
        if self.now >= min_hold && endpoints.all(|state| state.health.is_known()) {
            Some("all endpoints have a health check result")
        } else if self.now >= self.max_hold {
            Some("the maximum start-up hold has passed")
        } else if self.unusable >= MIN_DEFAULT_TABLE {
            Some("tables in use may contain only ejected endpoints")
        } else {
            None
        }
    }
}
