//! Demand by class and zone, estimated from the requests that proxies counted: an exponentially weighted moving
//! average that adopts a new rate immediately when the change is too large for random variation.

use std::time::Duration;

use lockcroft::{ClassId, ZoneId};

/// The smoothing factor of the average, applied once a plan.
const SMOOTHING: f64 = 0.5;
/// A count that differs from its expected value by more than this many standard deviations (the square root of the
/// expected value, as for a Poisson distribution) is a step.
const STEP_DEVIATIONS: f64 = 4.0;
/// The lower limit of the time that counts are divided by, in seconds.
const MIN_SPAN_S: f64 = 1e-3;

/// The estimated requests per second by class and zone.
pub struct DemandEstimate {
    rates: Vec<Vec<f64>>,
    /// Requests since the last update, by class and zone.
    counted: Vec<Vec<f64>>,
    /// The time of the last update.
    updated_at: Duration,
}

impl DemandEstimate {
    pub fn new(classes: usize, zones: usize) -> Self {
        let zeros = vec![vec![0.0; zones]; classes];
        DemandEstimate { rates: zeros.clone(), counted: zeros, updated_at: Duration::ZERO }
    }

    /// Counts requests of a class that arrived at a proxy of a zone.
    pub fn count(&mut self, zone: ZoneId, class: ClassId, requests: u32) {
        self.counted[class][zone] += f64::from(requests);
    }

    /// Updates the estimate from the requests counted since the last update.
    pub fn update(&mut self, now: Duration) {
        let span = now.saturating_sub(self.updated_at).as_secs_f64().max(MIN_SPAN_S);
        self.updated_at = now;
        for (estimate, counted) in self.rates.iter_mut().flatten().zip(self.counted.iter_mut().flatten()) {
            let rate = *counted / span;
            let expected = *estimate * span;
            // A smoothed step would delay shedding by several plans.
            let is_step = (*counted - expected).abs() > STEP_DEVIATIONS * expected.sqrt();
            *estimate += (rate - *estimate) * if is_step { 1.0 } else { SMOOTHING };
            *counted = 0.0;
        }
    }

    /// Returns the requests per second, indexed by class and then by zone.
    pub fn rates(&self) -> &[Vec<f64>] {
        &self.rates
    }

    /// Returns true if the estimated demand of any class and zone is above 0.
    pub fn is_known(&self) -> bool {
        self.rates.iter().flatten().sum::<f64>() > 0.0
    }
}
