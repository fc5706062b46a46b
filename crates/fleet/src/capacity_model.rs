//! Capacities of endpoints in cores, learned from their load reports and from how attempts at them ended.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::{EndpointId, EndpointState, MachineTypeId};
use lockcroft_solver::{CapacityEstimator, CapacityPrior, LoadSample};

/// Evidence of a capacity loses half of its force in so many plans.
const EVIDENCE_HALF_LIFE_PLANS: f64 = 12.0;
/// Each health check moves an endpoint's load by this fraction.
const LOAD_SMOOTHING: f64 = 0.25;

/// The state of all endpoints, as the decisions have it.
pub type Endpoints = BTreeMap<EndpointId, EndpointState>;

/// What was reported of an endpoint since the last plan.
#[derive(Clone, Copy, Default)]
struct AttemptTotals {
    attempts: f64,
    failed: f64,
    /// The sum of the times of those that did not fail, in seconds.
    seconds: f64,
}

/// Means over all requests that are asked for, by which attempts are judged.
#[derive(Clone, Copy)]
pub struct RequestMix {
    /// Work of a request, in seconds of one core.
    pub work: f64,
    /// The latency objective, in seconds.
    pub latency_objective: f64,
}

/// Capacities that were learned of each machine type, where enough endpoints of it showed theirs.
pub type TypeCapacities = BTreeMap<MachineTypeId, f64>;

pub struct CapacityModel {
    /// How long one plan stands.
    interval: Duration,
    /// Cores of an endpoint before anything was learned: of any machine type, or of its own.
    default_cores: f64,
    stated_cores: BTreeMap<MachineTypeId, f64>,
    estimator: CapacityEstimator,
    /// Cores that endpoints had before the start.
    recovered: BTreeMap<EndpointId, f64>,
    /// Whether capacities were learned since they were asked for.
    has_changed: bool,
    loads: BTreeMap<EndpointId, f64>,
    attempts: BTreeMap<EndpointId, AttemptTotals>,
}

impl CapacityModel {
    pub fn new(interval: Duration, default_cores: f64, stated_cores: BTreeMap<MachineTypeId, f64>) -> Self {
        CapacityModel {
            interval,
            default_cores,
            stated_cores,
            estimator: CapacityEstimator::new(interval.mul_f64(EVIDENCE_HALF_LIFE_PLANS)),
            recovered: BTreeMap::new(),
            has_changed: false,
            loads: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Takes the cores that endpoints had before the start: what they are taken for until they show more.
    pub fn recover(&mut self, capacities: impl Iterator<Item = (EndpointId, f64)>) {
        self.recovered = capacities.collect();
    }

    /// The fraction of its cores that an endpoint reported to be in use.
    pub fn record_load(&mut self, endpoint: EndpointId, load: f64) {
        let known = self.loads.entry(endpoint).or_insert(load);
        *known += (load - *known) * LOAD_SMOOTHING;
    }

    /// Attempts that ended, with the mean time of those that did not fail.
    pub fn record_attempts(
        &mut self,
        endpoint: EndpointId,
        attempts: u32,
        failed: u32,
        mean_latency: Duration,
    ) {
        let totals = self.attempts.entry(endpoint).or_default();
        totals.attempts += f64::from(attempts);
        totals.failed += f64::from(failed);
        totals.seconds += mean_latency.as_secs_f64() * f64::from(attempts.saturating_sub(failed));
    }

    /// Learns from all that was recorded since the last call.
    pub fn learn(&mut self, now: Duration, endpoints: &Endpoints, mix: RequestMix) {
        let type_capacities = self.type_capacities(now, endpoints);
        for (endpoint, totals) in std::mem::take(&mut self.attempts) {
            let Some(state) = endpoints.get(&endpoint) else { continue };
            // An endpoint that is warming up shows less than its capacity.
            if state.is_warming_up(now) || totals.attempts <= 0.0 {
                continue;
            }
            let prior = self.prior(&type_capacities, state);
            let sample = self.sample(endpoint, totals, mix);
            self.estimator.observe(now, endpoint, prior, sample);
        }
        self.has_changed = true;
        self.estimator.retain(|endpoint| endpoints.contains_key(&endpoint));
        self.loads.retain(|endpoint, _| endpoints.contains_key(endpoint));
    }

    fn sample(&self, endpoint: EndpointId, totals: AttemptTotals, mix: RequestMix) -> LoadSample {
        let succeeded = totals.attempts - totals.failed;
        let latency = totals.seconds / succeeded.max(1.0);
        LoadSample {
            completed_work: succeeded * mix.work / self.interval.as_secs_f64(),
            is_late: latency > mix.latency_objective || totals.failed * 2.0 > totals.attempts,
            slowdown: latency / mix.work,
            reported_utilization: self.loads.get(&endpoint).copied(),
        }
    }

    /// Cores by endpoint as learned, if anything was since this was asked last.
    pub fn take_changed(&mut self, now: Duration, endpoints: &Endpoints) -> Vec<(EndpointId, f64)> {
        if !std::mem::take(&mut self.has_changed) {
            return Vec::new();
        }
        let type_capacities = self.type_capacities(now, endpoints);
        let learned = |(endpoint, state): (&EndpointId, &EndpointState)| {
            let estimate = self.estimator.estimate(now, *endpoint, self.prior(&type_capacities, state));
            estimate.age.map(|_| (*endpoint, estimate.capacity))
        };
        endpoints.iter().filter_map(learned).collect()
    }

    /// What endpoints of each machine type turned out to have, where enough of them showed it.
    pub fn type_capacities(&self, now: Duration, endpoints: &Endpoints) -> TypeCapacities {
        let mut by_type: BTreeMap<MachineTypeId, Vec<EndpointId>> = BTreeMap::new();
        for (endpoint, state) in endpoints {
            by_type.entry(state.record.machine_type).or_default().push(*endpoint);
        }
        let mut capacities = TypeCapacities::new();
        for (machine_type, endpoints) in by_type {
            if let Some(cores) = self.estimator.machine_type_capacity(now, endpoints.into_iter()) {
                capacities.insert(machine_type, cores);
            }
        }
        capacities
    }

    /// The cores of an endpoint.
    pub fn capacity(&self, now: Duration, type_capacities: &TypeCapacities, state: &EndpointState) -> f64 {
        let prior = self.prior(type_capacities, state);
        self.estimator.estimate(now, state.record.endpoint, prior).capacity
    }

    fn prior(&self, type_capacities: &TypeCapacities, state: &EndpointState) -> CapacityPrior {
        let machine_type = &state.record.machine_type;
        if let Some(stated) = self.stated_cores.get(machine_type) {
            return CapacityPrior::configured(*stated);
        }
        let learned =
            self.recovered.get(&state.record.endpoint).or_else(|| type_capacities.get(machine_type));
        learned.map_or_else(
            || CapacityPrior::assumed(self.default_cores),
            |cores| CapacityPrior::from_machine_type(*cores),
        )
    }
}
