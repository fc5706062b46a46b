//! Estimates capacities from load reports.
//!
//! Reports bound a capacity from below (work done in time) and from above (work done while late). Evidence decays, so that
//! an endpoint that was overloaded once does not look small for ever. What was never shown is not believed: an idle
//! endpoint does not look large, nor one that reports a low load while it is late.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::queueing::utilization_from_slowdown;

/// One endpoint over one report period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSample {
    /// Work of its successful requests, in cores.
    pub completed_work: f64,
    /// Its attempts missed their latency objective or failed.
    pub is_late: bool,
    /// Duration of a request over its work; 0 if none was successful.
    pub slowdown: f64,
    /// Its utilization, from 0 to 1, if it reports one.
    pub reported_utilization: Option<f64>,
}

/// A capacity with its bounds, in cores.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityEstimate {
    /// The estimate.
    pub capacity: f64,
    /// It has at least this much.
    pub min: f64,
    /// It has at most this much.
    pub max: f64,
    /// Age of the last sample.
    pub age: Option<Duration>,
}

/// The capacity that an endpoint is assumed to have before any sample, and how far samples may lead from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityPrior {
    /// In cores.
    pub cores: f64,
    /// Estimates stay within this factor of it.
    pub factor: f64,
}

/// The factor of an assumption for machines of any type.
const GUESS_FACTOR: f64 = 4.0;
/// The factor of what other endpoints of the machine type showed.
const MACHINE_TYPE_FACTOR: f64 = 4.0 / 3.0;
/// The factor of a configured capacity: two of the sixteen segments by which a plan tells loads apart.
const STATED_FACTOR: f64 = 9.0 / 8.0;
/// The fewest endpoints of a machine type that show what the type has.
const MIN_MACHINE_TYPE_SAMPLES: usize = 3;
/// Below this utilization, work over utilization says too little of the capacity.
const MIN_UTILIZATION: f64 = 1.0 / 8.0;
/// The weight of a new measurement in the exponential moving average.
const SMOOTHING: f64 = 1.0 / 8.0;

impl CapacityPrior {
    /// One assumption for machines of any type.
    #[must_use]
    pub fn assumed(cores: f64) -> Self {
        CapacityPrior { cores, factor: GUESS_FACTOR }
    }

    /// What other endpoints of its machine type turned out to have.
    #[must_use]
    pub fn from_machine_type(cores: f64) -> Self {
        CapacityPrior { cores, factor: MACHINE_TYPE_FACTOR }
    }

    /// What the configuration states of its machine type. An endpoint that does less is slow for a while, which is not
    /// a matter of planned weights: load-based weight reduction reacts within a report period.
    #[must_use]
    pub fn configured(cores: f64) -> Self {
        CapacityPrior { cores, factor: STATED_FACTOR }
    }

    fn min(self) -> f64 {
        self.cores / self.factor
    }

    fn max(self) -> f64 {
        self.cores * self.factor
    }
}

/// What the samples of an endpoint show, in cores.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    min: f64,
    max: f64,
    /// Moving average of work over utilization, while not late.
    measured: Option<f64>,
    last_sample_at: Duration,
}

/// The evidence of all endpoints, by the host's own numbers.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    half_life: Duration,
    evidence: BTreeMap<usize, Evidence>,
}

impl CapacityEstimator {
    /// An estimator whose evidence loses half of its force in this time, which should be some report periods.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        CapacityEstimator { half_life, evidence: BTreeMap::new() }
    }

    /// Adds a sample of an endpoint.
    pub fn observe(&mut self, now: Duration, endpoint: usize, prior: CapacityPrior, sample: LoadSample) {
        let mut evidence = self.decayed(now, endpoint, prior);
        if sample.is_late {
            // It could do no more than this. What it did lately still counts, and failures for other reasons, with ever
            // fewer requests admitted, must not make it small without end.
            let max = sample.completed_work.max(evidence.min).max(prior.min());
            evidence.max = evidence.max.min(max);
        } else {
            evidence.min = evidence.min.max(sample.completed_work.min(prior.max()));
            evidence.max = evidence.max.max(evidence.min);
            if let Some(utilization) = utilization(sample) {
                let capacity = (sample.completed_work / utilization).clamp(prior.min(), prior.max());
                // A measurement that is repeated counts from the average before its decay.
                let last = self.evidence.get(&endpoint).and_then(|evidence| evidence.measured);
                let average = last.unwrap_or(capacity);
                evidence.measured = Some(average + (capacity - average) * SMOOTHING);
            }
        }
        self.evidence.insert(endpoint, Evidence { last_sample_at: now, ..evidence });
    }

    /// The estimate for an endpoint now.
    #[must_use]
    pub fn estimate(&self, now: Duration, endpoint: usize, prior: CapacityPrior) -> CapacityEstimate {
        let evidence = self.decayed(now, endpoint, prior);
        let known = self.evidence.get(&endpoint);
        CapacityEstimate {
            capacity: evidence.measured.unwrap_or(prior.cores).clamp(evidence.min, evidence.max),
            min: evidence.min,
            max: evidence.max,
            age: known.map(|known| now.saturating_sub(known.last_sample_at)),
        }
    }

    /// The median of what endpoints of one machine type showed within the half-life; `None` if they are too few. The
    /// median keeps one that is overloaded from misleading the estimates of the others.
    pub fn machine_type_capacity(
        &self,
        now: Duration,
        endpoints: impl Iterator<Item = usize>,
    ) -> Option<f64> {
        let is_recent = |evidence: &&Evidence| now.saturating_sub(evidence.last_sample_at) < self.half_life;
        let recent = endpoints.filter_map(|endpoint| self.evidence.get(&endpoint).filter(is_recent));
        let mut measured: Vec<f64> = recent.filter_map(|evidence| evidence.measured).collect();
        measured.sort_by(f64::total_cmp);
        (measured.len() >= MIN_MACHINE_TYPE_SAMPLES).then(|| measured[measured.len() / 2])
    }

    /// Forgets the endpoints that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(usize) -> bool) {
        self.evidence.retain(|endpoint, _| is_listed(*endpoint));
    }

    /// An endpoint's evidence with the force that is left of it. Its bounds move to those of no evidence.
    fn decayed(&self, now: Duration, endpoint: usize, prior: CapacityPrior) -> Evidence {
        let max_without_evidence = prior.max();
        let Some(evidence) = self.evidence.get(&endpoint) else {
            return Evidence { min: 0.0, max: max_without_evidence, measured: None, last_sample_at: now };
        };
        let half_life = self.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        let age = now.saturating_sub(evidence.last_sample_at).as_secs_f64();
        let force = 0.5_f64.powf(age / half_life);
        let min = (evidence.min * force).min(max_without_evidence);
        let max =
            if force > 0.0 { (evidence.max / force).min(max_without_evidence) } else { max_without_evidence };
        Evidence {
            min,
            max: max.max(min),
            measured: evidence.measured.map(|measured| prior.cores + (measured - prior.cores) * force),
            last_sample_at: evidence.last_sample_at,
        }
    }
}

/// The utilization that an endpoint reports, or else the one that its slowdown implies.
fn utilization(sample: LoadSample) -> Option<f64> {
    let reported = sample.reported_utilization.filter(|load| (MIN_UTILIZATION..=1.0).contains(load));
    reported.or_else(|| utilization_from_slowdown(sample.completed_work, sample.slowdown, MIN_UTILIZATION))
}
