//! Demand by class and zone, estimated from the requests that proxies counted: an exponentially weighted moving
//! average that takes a step at once if chance does not explain it.

use std::time::Duration;

use lockcroft::{ClassId, ZoneId};

/// Each plan moves the known demand by this fraction towards what was counted since.
const SMOOTHING: f64 = 0.5;
/// Counts that are off by more than so many of their own square roots did not come about by chance.
const STEP_DEVIATIONS: f64 = 4.0;
/// The shortest span that counts are divided by, in seconds.
const MIN_SPAN_S: f64 = 1e-3;

/// Requests a second by class and zone.
pub struct DemandEstimate {
    rates: Vec<Vec<f64>>,
    /// Requests counted since the last update.
    counted: Vec<Vec<f64>>,
    since: Duration,
}

impl DemandEstimate {
    pub fn new(classes: usize, zones: usize) -> Self {
        let none = vec![vec![0.0; zones]; classes];
        DemandEstimate { rates: none.clone(), counted: none, since: Duration::ZERO }
    }

    /// Requests of a class that came to a proxy of a zone.
    pub fn count(&mut self, zone: ZoneId, class: ClassId, requests: u32) {
        self.counted[class][zone] += f64::from(requests);
    }

    /// Takes in what was counted since the last update.
    pub fn update(&mut self, now: Duration) {
        let span = now.saturating_sub(self.since).as_secs_f64().max(MIN_SPAN_S);
        self.since = now;
        for (known, counted) in self.rates.iter_mut().flatten().zip(self.counted.iter_mut().flatten()) {
            let rate = *counted / span;
            let expected = *known * span;
            // A step that chance does not explain is taken at once: a plan that is late sheds late.
            let is_step = (*counted - expected).abs() > STEP_DEVIATIONS * expected.sqrt();
            *known += (rate - *known) * if is_step { 1.0 } else { SMOOTHING };
            *counted = 0.0;
        }
    }

    /// Requests a second, by class and then by zone.
    pub fn rates(&self) -> &[Vec<f64>] {
        &self.rates
    }

    /// Whether any demand is known.
    pub fn is_known(&self) -> bool {
        self.rates.iter().flatten().sum::<f64>() > 0.0
    }
}
