//! The state of each endpoint and of each table. Decisions are made in other modules.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::attempt_stats::AttemptStats;
use crate::health_state::{HealthCheckTimer, HealthCounter};
use crate::{EndpointId, EndpointRecord, EndpointStatus, MachineTypeId, ZoneId};

/// The state of an endpoint.
pub struct EndpointState {
    /// Its last record in the endpoint list.
    pub record: EndpointRecord,
    /// The index of its subset of the fleet.
    pub subset: usize,
    /// Its rise/fall counter, updated by health checks and by reported attempts.
    pub health: HealthCounter,
    /// The timer of its health check.
    pub health_check: HealthCheckTimer,
    /// The time at which its process started.
    pub started_at: Duration,
    /// The time at which its slow start ends: from then on it can serve its full weight.
    pub warmed_up_at: Duration,
    /// The factor on its listed weight that follows from measured latency; at most 1.
    pub weight_factor: f64,
    /// Reports before this time are ignored: they describe an earlier process, or the time before a recovery.
    pub reports_valid_from: Duration,
    /// The end of its minimum time as an outlier: passed health checks before it do not count.
    pub outlier_until: Duration,
    /// The attempts reported since the last evaluation.
    pub unevaluated_attempts: AttemptStats,
    /// The reported attempts, exponentially decayed at each evaluation.
    pub recent_attempts: AttemptStats,
    /// The fraction of its cores in use, if it reports one.
    pub load: Option<f64>,
    /// The time at which the endpoint list last reported it as draining, removed or started, if it ever did.
    /// Its drain grace period starts then.
    pub list_changed_at: Option<Duration>,
    /// True if an ejection was sent: proxies must not use it, whatever the weights in their tables.
    pub ejected: bool,
    /// The newest attachment generation to which its ejection was sent; 0 if it is not ejected.
    pub ejected_up_to_generation: u64,
}

impl EndpointState {
    /// Returns the state of a newly listed endpoint in this subset.
    #[must_use]
    pub fn new(record: EndpointRecord, subset: usize) -> Self {
        EndpointState {
            record,
            subset,
            health: HealthCounter::default(),
            health_check: HealthCheckTimer::default(),
            started_at: Duration::ZERO,
            warmed_up_at: Duration::ZERO,
            weight_factor: 1.0,
            reports_valid_from: Duration::ZERO,
            outlier_until: Duration::ZERO,
            unevaluated_attempts: AttemptStats::default(),
            recent_attempts: AttemptStats::default(),
            load: None,
            list_changed_at: None,
            ejected: false,
            ejected_up_to_generation: 0,
        }
    }

    /// Resets the health, which described an earlier process. Reports count from `reports_valid_from` on.
    pub(crate) fn reset_health(&mut self, reports_valid_from: Duration, assume_healthy: bool) {
        self.health = if assume_healthy { HealthCounter::saturated() } else { HealthCounter::default() };
        self.unevaluated_attempts = AttemptStats::default();
        self.recent_attempts = AttemptStats::default();
        self.reports_valid_from = reports_valid_from;
        self.outlier_until = Duration::ZERO;
    }

    /// Returns true if it is draining or removed.
    #[must_use]
    pub fn is_not_ready(&self) -> bool {
        self.record.status != EndpointStatus::Ready
    }

    /// Returns true if its slow start is in progress.
    #[must_use]
    pub fn is_warming_up(&self, now: Duration) -> bool {
        now < self.warmed_up_at
    }

    /// Returns true if proxies must not use it, whatever their tables. During the start-up hold this includes
    /// an endpoint that is warming up, as tables of an earlier controller may give it its full weight.
    #[must_use]
    pub fn must_be_ejected(&self, now: Duration, startup_hold: bool) -> bool {
        self.is_not_ready() || startup_hold && self.is_warming_up(now)
    }
}

/// The zones and machine types that the classes of a table are restricted to; `None` allows any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restriction {
    /// The only zones allowed.
    pub zones: Option<Vec<ZoneId>>,
    /// The only machine types allowed.
    pub machine_types: Option<Vec<MachineTypeId>>,
}

impl Restriction {
    /// Returns true if the restriction allows an endpoint.
    #[must_use]
    pub fn allows(&self, record: &EndpointRecord) -> bool {
        let zone_allowed = self.zones.as_ref().is_none_or(|zones| zones.contains(&record.zone));
        let allows_type = |types: &Vec<MachineTypeId>| types.contains(&record.machine_type);
        zone_allowed && self.machine_types.as_ref().is_none_or(allows_type)
    }

    /// Returns true if zones or machine types are restricted.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.zones.is_some() || self.machine_types.is_some()
    }
}

/// A table of endpoints and weights that proxies share.
pub struct RoutingTable {
    /// The subset whose proxies use it.
    pub subset: usize,
    /// The zones and machine types that may serve its classes.
    pub restriction: Restriction,
    /// True once its start-up hold is over.
    pub released: bool,
    /// The desired weights, as of the last plan.
    pub desired: BTreeMap<EndpointId, f64>,
    /// The published weights.
    pub published: BTreeMap<EndpointId, f64>,
    /// The latency ratio (mean latency over the latency objective), weighted by the published weights.
    pub latency_ratio: f64,
    /// The failure ratio (failed over all attempts), weighted likewise; `None` without reported attempts.
    pub failure_ratio: Option<f64>,
    /// The planned fraction of each endpoint's listed weight. If empty, the table uses all endpoints of its
    /// subset.
    pub planned_weights: BTreeMap<EndpointId, f64>,
    /// The fraction of their weight that an unrestricted table keeps at endpoints that restricted classes may
    /// use; the rest is reserved for those classes.
    pub unreserved_fraction: f64,
}

impl RoutingTable {
    /// Returns an empty table that is not released yet.
    #[must_use]
    pub fn new(subset: usize, restriction: Restriction) -> Self {
        RoutingTable {
            subset,
            restriction,
            released: false,
            desired: BTreeMap::new(),
            published: BTreeMap::new(),
            latency_ratio: 0.0,
            failure_ratio: None,
            planned_weights: BTreeMap::new(),
            unreserved_fraction: 1.0,
        }
    }

    /// Returns the desired weight of an endpoint; 0 if it has no entry.
    #[must_use]
    pub fn desired_weight(&self, endpoint: EndpointId) -> f64 {
        self.desired.get(&endpoint).copied().unwrap_or(0.0)
    }

    /// Returns the published weight of an endpoint; 0 if it has no entry.
    #[must_use]
    pub fn published_weight(&self, endpoint: EndpointId) -> f64 {
        self.published.get(&endpoint).copied().unwrap_or(0.0)
    }

    /// Returns the number of entries that a proxy gets with the complete table.
    #[must_use]
    pub fn published_entries(&self) -> usize {
        self.published.values().filter(|weight| **weight > 0.0).count()
    }
}
