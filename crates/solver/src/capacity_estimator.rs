//! Estimates the capacities of endpoints from load reports.
//!
//! Work that is completed within the latency objective is a lower bound of an endpoint's capacity, and work that is
//! completed while requests are late is an upper bound. Both bounds decay exponentially, so that one overload does not
//! lower an estimate permanently. Without evidence the prior applies: an idle endpoint does not get a high estimate,
//! and neither does one that reports a low utilization while its requests are late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::queueing::utilization_from_slowdown;

/// Measurements of one endpoint over one report period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Work of its successful requests, in cores.
    pub completed_work: f64,
    /// True if its attempts missed their latency objective or failed.
    pub is_late: bool,
    /// Mean duration of a request divided by its work; 0 if no request succeeded.
    pub slowdown: f64,
    /// The fraction of its capacity in use, from 0 to 1, if the endpoint reports it.
    pub reported_utilization: Option<f64>,
}

/// An estimated capacity with its bounds, in cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// Estimated capacity, from `min` to `max`.
    pub capacity: f64,
    /// Lower bound of the capacity.
    pub min: f64,
    /// Upper bound of the capacity.
    pub max: f64,
    /// Time since the last sample; `None` if there was none.
    pub age: Option<Duration>,
}

/// The capacity that an endpoint is assumed to have without samples, and the greatest deviation of estimates from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPrior {
    /// Assumed capacity, in cores.
    pub cores: f64,
    /// Estimates stay between `cores` divided by and multiplied by this factor.
    pub factor: f64,
}

/// The factor of a default for all machine types.
const ASSUMED_FACTOR: f64 = 4.0;
/// The factor of a capacity that was estimated from other endpoints of the machine type.
const MACHINE_TYPE_FACTOR: f64 = 4.0 / 3.0;
/// The factor of a configured capacity. The deviation equals two of the sixteen segments by which a plan divides a
/// capacity.
const CONFIGURED_FACTOR: f64 = 9.0 / 8.0;
/// A machine type has a capacity estimate only with at least this many measured endpoints.
const MIN_MEASURED_ENDPOINTS: usize = 3;
/// Below this utilization, dividing work by utilization is too imprecise to estimate a capacity.
const MIN_UTILIZATION: f64 = 1.0 / 8.0;
/// The weight of a new measurement in the exponential moving average.
const SMOOTHING: f64 = 1.0 / 8.0;

impl CapacityPrior {
    /// Returns the prior for a default capacity, in cores, that applies to all machine types.
    #[must_use]
    pub fn assumed(cores: f64) -> Self {
        CapacityPrior { cores, factor: ASSUMED_FACTOR }
    }

    /// Returns the prior for a capacity, in cores, that was estimated from other endpoints of the machine type.
    #[must_use]
    pub fn from_machine_type(cores: f64) -> Self {
        CapacityPrior { cores, factor: MACHINE_TYPE_FACTOR }
    }

    /// Returns the prior for the capacity, in cores, that the configuration states for the machine type. It allows only
    /// small deviations: an endpoint that completes less is temporarily slow, which is handled by load-based weight
    /// reduction within a report period and not by planned weights.
    #[must_use]
    pub fn configured(cores: f64) -> Self {
        CapacityPrior { cores, factor: CONFIGURED_FACTOR }
    }

    /// Returns the least estimate, in cores.
    fn min(self) -> f64 {
        self.cores / self.factor
    }

    /// Returns the greatest estimate, in cores.
    fn max(self) -> f64 {
        self.cores * self.factor
    }
}

/// Bounds and average derived from the samples of an endpoint, in cores, as of the last sample.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    min: f64,
    max: f64,
    /// Exponential moving average of work divided by utilization over samples that were not late; `None` if no sample
    /// had a usable utilization.
    measured: Option<f64>,
    last_sample_at: Duration,
}

/// Estimates the capacities of endpoints, which are identified by numbers that the caller chooses.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    half_life: Duration,
    evidence: BTreeMap<usize, Evidence>,
}

impl CapacityEstimator {
    /// Returns an estimator without samples. Evidence decays with this half-life, which should be several report
    /// periods.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        CapacityEstimator { half_life, evidence: BTreeMap::new() }
    }

    /// Adds a sample of an endpoint. `now` is the time of the caller's clock.
    pub fn observe(&mut self, now: Duration, endpoint: usize, prior: CapacityPrior, sample: LoadSample) {
        let mut evidence = self.decayed(now, endpoint, prior);
        if sample.is_late {
            // The completed work is an upper bound. The decayed lower bound and the least capacity by the prior limit
            // it: if attempts fail for reasons other than load, and ever fewer requests are admitted, the bound would
            // otherwise fall without limit.
            let max = sample.completed_work.max(evidence.min).max(prior.min());
            evidence.max = evidence.max.min(max);
        } else {
            evidence.min = evidence.min.max(sample.completed_work.min(prior.max()));
            evidence.max = evidence.max.max(evidence.min);
            if let Some(utilization) = utilization(sample) {
                let capacity = (sample.completed_work / utilization).clamp(prior.min(), prior.max());
                // The average is updated from its value before decay, so that decay does not pull repeated measurements
                // toward the prior.
                let previous = self.evidence.get(&endpoint).and_then(|evidence| evidence.measured);
                let average = previous.unwrap_or(capacity);
                evidence.measured = Some(average + (capacity - average) * SMOOTHING);
            }
        }
        self.evidence.insert(endpoint, Evidence { last_sample_at: now, ..evidence });
    }

    /// Returns the capacity estimate of an endpoint at the time `now`. Without samples it is the prior, with `age`
    /// `None`.
    #[must_use]
    pub fn estimate(&self, now: Duration, endpoint: usize, prior: CapacityPrior) -> CapacityEstimate {
        let evidence = self.decayed(now, endpoint, prior);
        let stored = self.evidence.get(&endpoint);
        CapacityEstimate {
            capacity: evidence.measured.unwrap_or(prior.cores).clamp(evidence.min, evidence.max),
            min: evidence.min,
            max: evidence.max,
            age: stored.map(|stored| now.saturating_sub(stored.last_sample_at)),
        }
    }

    /// Returns the median of the measured capacities, in cores, of the given endpoints, which should have one machine
    /// type. Counts only endpoints with a sample within the half-life, and returns `None` if there are fewer than
    /// three. The median is insensitive to a single overloaded endpoint.
    pub fn machine_type_capacity(
        &self,
        now: Duration,
        endpoints: impl Iterator<Item = usize>,
    ) -> Option<f64> {
        let is_recent = |evidence: &&Evidence| now.saturating_sub(evidence.last_sample_at) < self.half_life;
        let recent = endpoints.filter_map(|endpoint| self.evidence.get(&endpoint).filter(is_recent));
        let mut measured: Vec<f64> = recent.filter_map(|evidence| evidence.measured).collect();
        measured.sort_by(f64::total_cmp);
        (measured.len() >= MIN_MEASURED_ENDPOINTS).then(|| measured[measured.len() / 2])
    }

    /// Removes the evidence of endpoints for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(usize) -> bool) {
        self.evidence.retain(|endpoint, _| is_listed(*endpoint));
    }

    /// Returns an endpoint's evidence after decay: its bounds move to 0 and the maximum by the prior, and its average
    /// to the prior.
    fn decayed(&self, now: Duration, endpoint: usize, prior: CapacityPrior) -> Evidence {
        let prior_max = prior.max();
        let Some(evidence) = self.evidence.get(&endpoint) else {
            return Evidence { min: 0.0, max: prior_max, measured: None, last_sample_at: now };
        };
        let half_life = self.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        let age = now.saturating_sub(evidence.last_sample_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / half_life);
        let min = (evidence.min * decay).min(prior_max);
        let max = if decay > 0.0 { (evidence.max / decay).min(prior_max) } else { prior_max };
        Evidence {
            min,
            max: max.max(min),
            measured: evidence.measured.map(|measured| prior.cores + (measured - prior.cores) * decay),
            last_sample_at: evidence.last_sample_at,
        }
    }
}

/// Returns the reported utilization if it is from [`MIN_UTILIZATION`] to 1, or else an estimate from the slowdown.
fn utilization(sample: LoadSample) -> Option<f64> {
    let reported =
        sample.reported_utilization.filter(|utilization| (MIN_UTILIZATION..=1.0).contains(utilization));
    reported.or_else(|| utilization_from_slowdown(sample.completed_work, sample.slowdown, MIN_UTILIZATION))
}
