//! Estimates an endpoint's utilization from its slowdown: the duration of requests divided by their work.

/// Waiting time with equal service times, relative to that with exponential service times. The distribution of service
/// times is unknown. Assuming the shorter wait makes the estimate of the capacity too low rather than too high.
const EQUAL_LENGTH_WAIT_FACTOR: f64 = 0.5;

/// The number of bisection steps. The result is more precise than measured loads.
const BISECTION_STEPS: usize = 20;

/// Returns the utilization, from `min_utilization` to 1, of an endpoint that completed this work, in cores, with this
/// slowdown. Returns `None` if the work or the slowdown is not positive.
///
/// A utilization and the completed work imply a number of cores, and these an expected slowdown. Bisection finds the
/// utilization whose expected slowdown equals the observed one.
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

/// Returns the expected duration of requests divided by their work, by Sakasegawa's approximation for multi-server
/// queues (1977). Fewer than one core counts as one core of lower speed.
fn expected_slowdown(cores: f64, utilization: f64) -> f64 {
    if cores < 1.0 {
        return (1.0 + EQUAL_LENGTH_WAIT_FACTOR * utilization / (1.0 - utilization)) / cores;
    }
    let exponent = (2.0 * (cores + 1.0)).sqrt() - 1.0;
    1.0 + EQUAL_LENGTH_WAIT_FACTOR * utilization.powf(exponent) / (cores * (1.0 - utilization))
}
