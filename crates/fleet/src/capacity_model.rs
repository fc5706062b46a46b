//! Capacities of endpoints in cores, learned from their load reports and from the outcome of attempts.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::{EndpointId, EndpointState, MachineTypeId};
use lockcroft_solver::{CapacityEstimator, CapacityPrior, LoadSample};

/// The half-life of the weight of a sample in a capacity estimate, in plans.
const EVIDENCE_HALF_LIFE_PLANS: f64 = 12.0;
/// The smoothing factor of the exponentially weighted average of an endpoint's reported load.
const LOAD_SMOOTHING: f64 = 0.25;

/// The state of all endpoints, as the controller keeps it.
pub type Endpoints = BTreeMap<EndpointId, EndpointState>;

/// Attempts that were reported for an endpoint since the last plan.
#[derive(Clone, Copy, Default)]
struct AttemptTotals {
    attempts: f64,
    failed: f64,
    /// The sum of the latencies of attempts that did not fail, in seconds.
    latency_sum_secs: f64,
}

/// Means over the requests of all classes, against which attempts are compared.
#[derive(Clone, Copy)]
pub struct RequestMix {
    /// The work of a request, in seconds of one core.
    pub work: f64,
    /// The latency objective, in seconds.
    pub latency_objective: f64,
}

/// Learned capacities, in cores, of the machine types of which enough endpoints have an estimate.
pub type TypeCapacities = BTreeMap<MachineTypeId, f64>;

/// Learns the capacity of each endpoint in cores.
pub struct CapacityModel {
    /// The time between plans.
    interval: Duration,
    /// The assumed cores of an endpoint whose machine type is neither stated nor learned.
    default_cores: f64,
    /// Cores by machine type, from the settings.
    stated_cores: BTreeMap<MachineTypeId, f64>,
    estimator: CapacityEstimator,
    /// Cores of endpoints, recovered from before the start.
    recovered: BTreeMap<EndpointId, f64>,
    /// True if capacities were learned since the last call of `take_changed`.
    has_changed: bool,
    /// The smoothed load of each endpoint, as a fraction of its cores.
    loads: BTreeMap<EndpointId, f64>,
    /// Attempts since the last call of `learn`.
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

    /// Sets the capacities, in cores, recovered from before the start. Each is the prior of its endpoint's estimate,
    /// unless the settings state the cores of the machine type.
    pub fn recover(&mut self, capacities: impl Iterator<Item = (EndpointId, f64)>) {
        self.recovered = capacities.collect();
    }

    /// Records the fraction of its cores that an endpoint reported to be in use.
    pub fn record_load(&mut self, endpoint: EndpointId, load: f64) {
        let smoothed = self.loads.entry(endpoint).or_insert(load);
        *smoothed += (load - *smoothed) * LOAD_SMOOTHING;
    }

    /// Records attempts that ended; `mean_latency` is that of the attempts that did not fail.
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
        totals.latency_sum_secs += mean_latency.as_secs_f64() * f64::from(attempts.saturating_sub(failed));
    }

    /// Updates the estimates from the attempts recorded since the last call, and drops the estimates of endpoints
    /// that are not in `endpoints`.
    pub fn learn(&mut self, now: Duration, endpoints: &Endpoints, mix: RequestMix) {
        let type_capacities = self.type_capacities(now, endpoints);
        for (endpoint, totals) in std::mem::take(&mut self.attempts) {
            let Some(state) = endpoints.get(&endpoint) else { continue };
            // An endpoint that is warming up completes less work than its capacity allows.
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
        let latency = totals.latency_sum_secs / succeeded.max(1.0);
        LoadSample {
            completed_work: succeeded * mix.work / self.interval.as_secs_f64(),
            is_late: latency > mix.latency_objective || totals.failed * 2.0 > totals.attempts,
            slowdown: latency / mix.work,
            reported_utilization: self.loads.get(&endpoint).copied(),
        }
    }

    /// Returns the learned capacities, in cores, if any were learned since the last call; otherwise an empty list.
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

    /// Returns the learned capacity, in cores, of each machine type of which enough endpoints have an estimate.
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

    /// Returns the estimated capacity of an endpoint, in cores.
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
