//! Thresholds that several mechanisms share, so that they agree on what counts as slow, failing, saturated or
//! weak.

use std::time::Duration;

/// Time between two regular plans of updates.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Latency ratio (mean latency over the latency objective) above which endpoints count as too slow.
pub const HIGH_LATENCY_RATIO: f64 = 0.4;

/// Latency ratio below which endpoints have headroom for more requests.
pub const LOW_LATENCY_RATIO: f64 = 0.28;

/// Failure ratio (failed over all attempts) up to which endpoints count as healthy.
pub const HEALTHY_FAILURE_RATIO: f64 = 0.2;

/// Fraction of its cores in use above which an endpoint counts as saturated and soon misses the latency
/// objective.
pub const SATURATED_LOAD: f64 = 0.95;

/// Fraction of its cores in use up to which an endpoint has headroom.
pub const COMFORTABLE_LOAD: f64 = 0.7;

/// Fraction of its full weight below which a subset or table is too weak to serve its requests alone.
pub const WEAK_FRACTION: f64 = 0.4;

/// Lowest admission rate, and lowest unreserved fraction of a weight, that load shedding sets.
pub const MIN_ADMISSION: f64 = 0.4;

/// Increase of a reduced weight factor by one evaluation.
pub const WEIGHT_RECOVERY_STEP: f64 = 0.04;

/// Number of steps in which weights and admission rates are published.
const PUBLISHED_STEPS: f64 = 20.0;

/// Rounds a fraction to the next published step, as a smaller change is not worth an update.
pub fn round_to_step(fraction: f64) -> f64 {
    (fraction * PUBLISHED_STEPS).round() / PUBLISHED_STEPS
}
