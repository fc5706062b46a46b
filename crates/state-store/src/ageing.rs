//! Decides which part of a persisted state is still valid.
//!
//! Entries decay or expire with their age, by a rule for each kind; `docs/state-store.md` lists the rules with their
//! reasons. No rule makes a controller less careful than one that starts without a state: restrictions are recovered
//! for a limited time, and good health is never recovered.

use std::time::Duration;

use crate::entry::{EntryKey, EntryValue, RecordedEndpoint, State};

/// Half-life of a weight reduction, in report periods: about the rate at which a running controller restores weights.
const WEIGHT_HALF_LIFE_PERIODS: f64 = 10.0;
/// An admission rate is unchanged for this many report periods. After that, the rejected fraction halves in each span
/// of the same length.
const ADMISSION_HALF_LIFE_PERIODS: f64 = 3.0;
/// Maximum remaining outlier time, in report periods.
const MAX_OUTLIER_PERIODS: f64 = 10.0;
/// Proxies that were disconnected for longer start without tables, so no table contains an endpoint removed before
/// that.
const MAX_REMOVED_AGE: Duration = Duration::from_secs(24 * 3600);
/// A measured capacity is valid for about a working day.
const MAX_CAPACITY_AGE: Duration = Duration::from_secs(12 * 3600);
/// Recovered admission rates of at least this, and weight factors above it, count as 1.
const UNRESTRICTED_THRESHOLD: f64 = 0.975;

/// The settings from which the time limits of recovery are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoverySettings {
    /// Interval between two load reports of a proxy.
    pub report_period: Duration,
    /// Maximum duration of an endpoint's slow start.
    pub slow_start_window: Duration,
}

/// The part of an endpoint's persisted state that is still valid.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Name of the endpoint's zone.
    pub zone: String,
    /// Name of the endpoint's machine type.
    pub machine_type: String,
    /// True if the endpoint was removed or draining when it was last recorded. Proxies may still have it in their
    /// tables.
    pub not_ready: bool,
    /// Fraction of the endpoint's full weight, from 0 to 1.
    pub weight_factor: f64,
    /// Time since the start of the endpoint's process, and remaining time of its slow start; `None` if that has ended.
    pub slow_start: Option<(Duration, Duration)>,
    /// Remaining time for which passing health checks are ignored because the endpoint was an outlier.
    pub outlier_remaining: Duration,
}

/// The part of a persisted state that is still valid. All lists are sorted by name, admission rates by class and table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// Endpoints with at least one restriction that is still valid.
    pub endpoints: Vec<RecoveredEndpoint>,
    /// Class name, table number and admission rate, for rates below 1.
    pub admission_rates: Vec<(String, u32, f64)>,
    /// Endpoint name and capacity in cores.
    pub capacities: Vec<(String, f64)>,
    /// Number of entries from the future: the wall clock has been set back since they were written.
    pub future_entries: usize,
}

/// Returns the part of a state that is still valid at `now_ms`, in milliseconds of the wall clock.
#[must_use]
pub fn recover_state(state: &State, now_ms: u64, settings: &RecoverySettings) -> RecoveredState {
    let mut recovered = RecoveredState::default();
    for (key, (at_ms, value)) in state {
        let age = EntryAge::new(*at_ms, now_ms, settings);
        recovered.future_entries += usize::from(age.is_from_future);
        match (key, value) {
            (EntryKey::Endpoint(name), EntryValue::Endpoint(endpoint)) => {
                recovered.endpoints.extend(age.recover_endpoint(name, endpoint));
            }
            (EntryKey::AdmissionRate(class, table), EntryValue::AdmissionRate(rate)) => {
                let rate = age.recover_admission_rate(*rate);
                recovered.admission_rates.extend(rate.map(|rate| (class.clone(), *table, rate)));
            }
            (EntryKey::Capacity(name), EntryValue::Capacity(cores)) if age.is_capacity_valid() => {
                recovered.capacities.push((name.clone(), *cores));
            }
            _ => {}
        }
    }
    recovered
}

/// The age of one entry, from which the valid part of the entry is computed.
struct EntryAge<'a> {
    settings: &'a RecoverySettings,
    now_ms: u64,
    elapsed: Duration,
    /// The age in report periods.
    elapsed_periods: f64,
    /// True if the entry is more than one report period later than now, so that its age is unknown. Smaller steps of
    /// the clock count as an age of 0.
    is_from_future: bool,
}

impl<'a> EntryAge<'a> {
    fn new(at_ms: u64, now_ms: u64, settings: &'a RecoverySettings) -> Self {
        let elapsed = Duration::from_millis(now_ms.saturating_sub(at_ms));
        let period_secs = settings.report_period.as_secs_f64().max(1e-3);
        EntryAge {
            settings,
            now_ms,
            elapsed,
            elapsed_periods: elapsed.as_secs_f64() / period_secs,
            is_from_future: at_ms.saturating_sub(now_ms) > settings.report_period.as_millis() as u64,
        }
    }

    fn is_capacity_valid(&self) -> bool {
        !self.is_from_future && self.elapsed < MAX_CAPACITY_AGE
    }

    /// Returns the decayed admission rate, or `None` if it counts as 1.
    fn recover_admission_rate(&self, recorded: f64) -> Option<f64> {
        if self.is_from_future {
            return None;
        }
        let remaining = 0.5_f64.powf((self.elapsed_periods / ADMISSION_HALF_LIFE_PERIODS - 1.0).max(0.0));
        let rate = 1.0 - (1.0 - recorded) * remaining;
        (rate < UNRESTRICTED_THRESHOLD).then_some(rate)
    }

    /// Returns the endpoint, or `None` if none of its restrictions is still valid.
    fn recover_endpoint(&self, name: &str, recorded: &RecordedEndpoint) -> Option<RecoveredEndpoint> {
        let endpoint = RecoveredEndpoint {
            name: name.into(),
            zone: recorded.zone.clone(),
            machine_type: recorded.machine_type.clone(),
            not_ready: self.is_still_not_ready(recorded),
            weight_factor: self.recover_weight_factor(recorded.weight_factor),
            slow_start: self.recover_slow_start(recorded),
            outlier_remaining: self.recover_outlier_time(recorded.outlier_until_ms),
        };
        let is_restricted = endpoint.not_ready
            || endpoint.weight_factor < 1.0
            || endpoint.slow_start.is_some()
            || !endpoint.outlier_remaining.is_zero();
        is_restricted.then_some(endpoint)
    }

    /// Entries from the future are valid here: to name a removed endpoint is always safe, as it only costs a table
    /// entry at the proxies that still have it.
    fn is_still_not_ready(&self, recorded: &RecordedEndpoint) -> bool {
        let was_not_ready = recorded.removed || recorded.draining;
        was_not_ready && (self.is_from_future || self.elapsed < MAX_REMOVED_AGE)
    }

    fn recover_weight_factor(&self, recorded: f64) -> f64 {
        let factor = 1.0 - (1.0 - recorded) * 0.5_f64.powf(self.elapsed_periods / WEIGHT_HALF_LIFE_PERIODS);
        if self.is_from_future || factor > UNRESTRICTED_THRESHOLD {
            return 1.0;
        }
        // Rounding errors must not yield less than the recorded factor.
        factor.max(recorded)
    }

    /// Returns the time since the start of the process and until the end of slow start, each limited to the maximum
    /// duration of a slow start; `None` if the slow start has ended.
    fn recover_slow_start(&self, recorded: &RecordedEndpoint) -> Option<(Duration, Duration)> {
        let max = self.settings.slow_start_window;
        let remaining = self.time_until(recorded.slow_start_until_ms).min(max);
        let elapsed = Duration::from_millis(self.now_ms.saturating_sub(recorded.started_ms)).min(max);
        (!self.is_from_future && !remaining.is_zero()).then_some((elapsed, remaining))
    }

    fn recover_outlier_time(&self, outlier_until_ms: u64) -> Duration {
        if self.is_from_future {
            return Duration::ZERO;
        }
        self.time_until(outlier_until_ms).min(self.settings.report_period.mul_f64(MAX_OUTLIER_PERIODS))
    }

    fn time_until(&self, at_ms: u64) -> Duration {
        Duration::from_millis(at_ms.saturating_sub(self.now_ms))
    }
}
