//! Estimates an endpoint's load from how much longer requests take than their work.

/// Requests of equal length wait half as long as ones of exponential length. How much lengths differ is not known; the
/// shorter wait is assumed, which rather underestimates a capacity than overestimates it.
const EQUAL_LENGTH_WAIT_FACTOR: f64 = 0.5;

/// The steps of the bisection, which is finer than loads are known.
const BISECTION_STEPS: usize = 20;

/// The utilization of an endpoint that did this work, in cores, and slowed requests by this factor.
///
/// Each utilization implies a number of cores, with which a queue slows requests by some factor; the one is found whose
/// factor is as observed. It is at least `min_utilization`. `None` if there is no work or no factor.
pub(crate) fn utilization_from_slowdown(
    completed_work: f64,
    observed_slowdown: f64,
    min_utilization: f64,
) -> Option<f64> {
    if observed_slowdown <= 0.0 || completed_work <= 0.0 {
        return None;
    }
    let mut low = min_utilization;
    let mut high = 1.0;
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if expected_slowdown(completed_work / middle, middle) < observed_slowdown {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(low)
}

/// How many times longer than their work requests take at this many cores with this utilization: Sakasegawa's estimate
/// for queues with several servers (1977). Less than one core is one slow core.
fn expected_slowdown(cores: f64, utilization: f64) -> f64 {
    if cores < 1.0 {
        return (1.0 + EQUAL_LENGTH_WAIT_FACTOR * utilization / (1.0 - utilization)) / cores;
    }
    let exponent = (2.0 * (cores + 1.0)).sqrt() - 1.0;
    1.0 + EQUAL_LENGTH_WAIT_FACTOR * utilization.powf(exponent) / (cores * (1.0 - utilization))
}
