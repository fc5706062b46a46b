//! What the controller knows of each endpoint and holds of each table. Nothing is decided here.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::attempt_stats::AttemptStats;
use crate::health_state::{HealthCheckTimer, HealthCounter};
use crate::{EndpointId, EndpointRecord, EndpointStatus, MachineTypeId, ZoneId};

/// What is known of an endpoint.
pub struct EndpointState {
    /// What the endpoint list says of it.
    pub record: EndpointRecord,
    /// The subset of the fleet that it belongs to.
    pub subset: usize,
    /// Whether it is up, by health checks and reports.
    pub health: HealthCounter,
    /// Its current and next health check.
    pub health_check: HealthCheckTimer,
    /// When its process started.
    pub started_at: Duration,
    /// When its process can do all of its weight.
    pub warmed_up_at: Duration,
    /// The fraction of its listed weight that it has by its measured latency.
    pub weight_factor: f64,
    /// Reports before this time describe the process before, or the time before a recovery.
    pub reports_valid_from: Duration,
    /// Detected as an outlier: passed health checks do not count before this time.
    pub outlier_until: Duration,
    /// What reports told since the last evaluation.
    pub unevaluated_attempts: AttemptStats,
    /// What reports told of late, fading.
    pub recent_attempts: AttemptStats,
    /// The fraction of its cores in use, where it reports one.
    pub load: Option<f64>,
    /// When the endpoint list last said that it drains, is removed or was started, if it ever did: from then on its
    /// grace runs.
    pub list_changed_at: Option<Duration>,
    /// Whether proxies were told not to use it, whatever their tables say.
    pub ejected: bool,
    /// The ejection reached the proxies up to this attachment generation.
    pub ejected_up_to_generation: u64,
}

impl EndpointState {
    /// An endpoint of which nothing but its record is known.
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

    /// Forgets what was known of an earlier process. Reports count from `reports_valid_from` on.
    pub(crate) fn reset_health(&mut self, reports_valid_from: Duration, assume_healthy: bool) {
        self.health = if assume_healthy { HealthCounter::saturated() } else { HealthCounter::default() };
        self.unevaluated_attempts = AttemptStats::default();
        self.recent_attempts = AttemptStats::default();
        self.reports_valid_from = reports_valid_from;
        self.outlier_until = Duration::ZERO;
    }

    /// Whether it is draining or removed.
    #[must_use]
    pub fn is_not_ready(&self) -> bool {
        self.record.status != EndpointStatus::Ready
    }

    /// Whether its process started so recently that it cannot do all of its weight yet.
    #[must_use]
    pub fn is_warming_up(&self, now: Duration) -> bool {
        now < self.warmed_up_at
    }

    /// Whether proxies must not use it, whatever tables they hold. Tables of an earlier controller give an
    /// endpoint that is warming up all of its weight, so it is kept out while some proxy may hold one.
    #[must_use]
    pub fn must_be_ejected(&self, now: Duration, start_up_hold: bool) -> bool {
        self.is_not_ready() || start_up_hold && self.is_warming_up(now)
    }
}

/// The zones and machine types that a table's classes are bound to; `None` is any.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restriction {
    /// The only zones allowed.
    pub zones: Option<Vec<ZoneId>>,
    /// The only machine types allowed.
    pub machine_types: Option<Vec<MachineTypeId>>,
}

impl Restriction {
    /// Whether an endpoint may be used.
    #[must_use]
    pub fn allows(&self, record: &EndpointRecord) -> bool {
        let zone_allowed = self.zones.as_ref().is_none_or(|zones| zones.contains(&record.zone));
        let allows_type = |types: &Vec<MachineTypeId>| types.contains(&record.machine_type);
        zone_allowed && self.machine_types.as_ref().is_none_or(allows_type)
    }

    /// Whether anything is excluded.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.zones.is_some() || self.machine_types.is_some()
    }
}

/// A table of endpoints and weights that proxies share.
pub struct RoutingTable {
    /// The subset whose proxies use it.
    pub subset: usize,
    /// Where its classes may be served.
    pub restriction: Restriction,
    /// Whether its start-up hold is over.
    pub released: bool,
    /// Weights as they should be by the last plan.
    pub desired: BTreeMap<EndpointId, f64>,
    /// Weights as they were published.
    pub published: BTreeMap<EndpointId, f64>,
    /// Mean latency over the latency objective, weighted by the published weights.
    pub latency_ratio: f64,
    /// Failed over all attempts, weighted in the same way, where reports told of any.
    pub failure_ratio: Option<f64>,
    /// The fraction of each endpoint's listed weight by a plan made ahead; empty: all endpoints of the
    /// subset.
    pub planned_weights: BTreeMap<EndpointId, f64>,
    /// The fraction of its weight that an unrestricted table keeps at endpoints that restricted classes need.
    pub unreserved_fraction: f64,
}

impl RoutingTable {
    /// An empty table before its release.
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

    /// The weight that an endpoint should have; 0 where it has no entry.
    #[must_use]
    pub fn desired_weight(&self, endpoint: EndpointId) -> f64 {
        self.desired.get(&endpoint).copied().unwrap_or(0.0)
    }

    /// The weight that an endpoint has at the proxies; 0 where it has no entry.
    #[must_use]
    pub fn published_weight(&self, endpoint: EndpointId) -> f64 {
        self.published.get(&endpoint).copied().unwrap_or(0.0)
    }

    /// How many entries a proxy gets with the whole table.
    #[must_use]
    pub fn published_entries(&self) -> usize {
        self.published.values().filter(|weight| **weight > 0.0).count()
    }
}
