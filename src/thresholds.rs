//! Limits that several mechanisms share, so that they agree on what is slow, failing, full or weak.

use std::time::Duration;

/// The controller plans updates at most this often.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Mean latency over the latency objective from which endpoints count as too slow.
pub const HIGH_LATENCY_RATIO: f64 = 0.4;

/// Latency ratio below which endpoints have headroom for more requests.
pub const LOW_LATENCY_RATIO: f64 = 0.28;

/// Failed over all attempts up to which endpoints count as healthy.
pub const HEALTHY_FAILURE_RATIO: f64 = 0.2;

/// Fraction of its cores in use above which an endpoint is about to miss the latency objective.
pub const SATURATED_LOAD: f64 = 0.95;

/// Fraction of its cores in use up to which an endpoint has headroom.
pub const COMFORTABLE_LOAD: f64 = 0.7;

/// A subset or table with less than this fraction of its full weight is too weak to serve alone.
pub const WEAK_FRACTION: f64 = 0.4;

/// An admission rate or a weight never falls below this fraction by load shedding.
pub const MIN_ADMISSION: f64 = 0.4;

/// What one evaluation gives back of a reduced weight.
pub const WEIGHT_RECOVERY_STEP: f64 = 0.04;

/// Weights and admission rates are published in this many steps.
const STEPS: f64 = 20.0;

/// Rounds a fraction to the steps in which it is published: a smaller change is not worth an update, and
/// equal values stay equal.
pub fn round_to_step(fraction: f64) -> f64 {
    (fraction * STEPS).round() / STEPS
}
