//! The start-up hold: after a start nothing is published until health checks have converged.
//!
//! Decides for each table, from the time since the start and from what is known of its endpoints, when the
//! hold ends. An empty or half-known table would take endpoints from proxies that still work on the tables of
//! an earlier controller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::EndpointId;
use crate::state::EndpointState;

/// The hold lasts at least this long, unless something below forces its end.
pub const MIN_HOLD: Duration = Duration::from_secs(5);
const MAX_HOLD: Duration = Duration::from_secs(10);
/// The fraction of the drain grace after which the hold gives way to it.
const HOLD_WITHIN_GRACE: f64 = 0.3;
/// A proxy's default table may be drawn from this few endpoints: with as many ejected, it may have no other.
const MIN_DEFAULT_TABLE: usize = 3;

/// The state that decides about the end of holds.
pub struct HoldConditions {
    now: Duration,
    max_hold: Duration,
    /// Endpoints that proxies must not use.
    unusable: usize,
}

impl HoldConditions {
    /// `drain_grace` is given where the endpoint list changed before this start: endpoints were removed that
    /// proxies may still use and that cannot be named, so all proxies have to be on new tables within the
    /// grace.
    pub fn new(
        now: Duration,
        drain_grace: Option<Duration>,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
    ) -> Self {
        let by_grace = drain_grace.map(|grace| grace.mul_f64(HOLD_WITHIN_GRACE));
        let unusable = endpoints.values().filter(|state| state.must_be_ejected(now, true)).count();
        HoldConditions { now, max_hold: by_grace.map_or(MAX_HOLD, |grace| MAX_HOLD.min(grace)), unusable }
    }

    /// Why the hold of a table with these endpoints ends now, if it does.
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
