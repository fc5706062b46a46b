//! Decides what of a stored state is still valid.
//!
//! Each kind of entry loses force with its age, by a rule in units of the settings; `docs/state-store.md` has the table
//! with the reasons. No rule makes a controller less careful than one that starts without a state: good health is not
//! taken over, and a fault is, for a while.

use std::time::Duration;

use crate::entry::{EntryKey, EntryValue, RecordedEndpoint, State};

/// Half of the weight that an endpoint lacked is given back after this many report periods, which is about as quick as
/// a running controller would have restored it.
const WEIGHT_HALF_LIFE_PERIODS: f64 = 10.0;
/// An admission rate stays unchanged for this many report periods; after that, what it rejected halves in each span of
/// the same length.
const ADMISSION_HALF_LIFE_PERIODS: f64 = 3.0;
/// A remaining outlier time is cut to this many report periods.
const MAX_OUTLIER_PERIODS: f64 = 10.0;
/// Proxies that were disconnected for longer start without tables, so endpoints that went earlier can't be in any.
const MAX_REMOVED_AGE: Duration = Duration::from_secs(24 * 3600);
/// A measured capacity is valid for about a working day.
const MAX_CAPACITY_AGE: Duration = Duration::from_secs(12 * 3600);
/// Admission rates and weight factors above this count as 1.
const NEARLY_FULL: f64 = 0.975;

/// The settings that the rules rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoverySettings {
    /// The interval between two load reports of a proxy.
    pub report_period: Duration,
    /// The longest time for which an endpoint is in slow start.
    pub slow_start_window: Duration,
}

/// What is still valid of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredEndpoint {
    /// Its name.
    pub name: String,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// It was removed or draining when it was last recorded; proxies may still have it in their tables.
    pub not_ready: bool,
    /// Fraction of its full weight, from 0 to 1.
    pub weight_factor: f64,
    /// How long ago its process started and how long its slow start still lasts; `None` if it has ended.
    pub slow_start: Option<(Duration, Duration)>,
    /// How long passing health checks still don't count, because it was an outlier.
    pub outlier_remaining: Duration,
}

/// What is still valid of a state, in the order of names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// The endpoints of which anything is still valid.
    pub endpoints: Vec<RecoveredEndpoint>,
    /// Class, table and admission rate, where the rate is below 1.
    pub admission_rates: Vec<(String, u32, f64)>,
    /// Endpoint and its capacity in cores.
    pub capacities: Vec<(String, f64)>,
    /// Number of entries from the future: the wall clock was set back since they were written.
    pub future_entries: usize,
}

/// What is valid of a state at `now_ms`, in milliseconds of the wall clock.
#[must_use]
pub fn recover_state(state: &State, now_ms: u64, rules: &RecoverySettings) -> RecoveredState {
    let mut recovered = RecoveredState::default();
    for (key, (at_ms, value)) in state {
        let age = EntryAge::new(*at_ms, now_ms, rules);
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

/// The age of one entry, with the rules that apply to it.
struct EntryAge<'a> {
    rules: &'a RecoverySettings,
    now_ms: u64,
    since: Duration,
    /// The age in report periods.
    periods: f64,
    /// The entry is later than now, by more than the small steps that clocks make; those count as an age of 0. There
    /// is nothing to compute an age from then.
    is_from_future: bool,
}

impl<'a> EntryAge<'a> {
    fn new(at_ms: u64, now_ms: u64, rules: &'a RecoverySettings) -> Self {
        let since = Duration::from_millis(now_ms.saturating_sub(at_ms));
        let period_secs = rules.report_period.as_secs_f64().max(1e-3);
        EntryAge {
            rules,
            now_ms,
            since,
            periods: since.as_secs_f64() / period_secs,
            is_from_future: at_ms.saturating_sub(now_ms) > rules.report_period.as_millis() as u64,
        }
    }

    fn is_capacity_valid(&self) -> bool {
        !self.is_from_future && self.since < MAX_CAPACITY_AGE
    }

    /// The admission rate, or `None` if it is 1 again.
    fn recover_admission_rate(&self, recorded: f64) -> Option<f64> {
        if self.is_from_future {
            return None;
        }
        let remaining = 0.5_f64.powf((self.periods / ADMISSION_HALF_LIFE_PERIODS - 1.0).max(0.0));
        let rate = 1.0 - (1.0 - recorded) * remaining;
        (rate < NEARLY_FULL).then_some(rate)
    }

    /// The endpoint, or `None` if nothing of it is valid any more.
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

    /// An entry from the future counts here: naming an endpoint that went is safe at any time, as it only costs a
    /// table entry at the proxies that still have it.
    fn is_still_not_ready(&self, recorded: &RecordedEndpoint) -> bool {
        let was_not_ready = recorded.removed || recorded.draining;
        was_not_ready && (self.is_from_future || self.since < MAX_REMOVED_AGE)
    }

    fn recover_weight_factor(&self, recorded: f64) -> f64 {
        let factor = 1.0 - (1.0 - recorded) * 0.5_f64.powf(self.periods / WEIGHT_HALF_LIFE_PERIODS);
        if self.is_from_future || factor > NEARLY_FULL {
            return 1.0;
        }
        // Rounding must not yield less than was recorded.
        factor.max(recorded)
    }

    /// Time since the start of the process and until the end of slow start, neither longer than a whole slow start.
    fn recover_slow_start(&self, recorded: &RecordedEndpoint) -> Option<(Duration, Duration)> {
        let max = self.rules.slow_start_window;
        let remaining = self.time_until(recorded.slow_start_until_ms).min(max);
        let elapsed = Duration::from_millis(self.now_ms.saturating_sub(recorded.started_ms)).min(max);
        (!self.is_from_future && !remaining.is_zero()).then_some((elapsed, remaining))
    }

    fn recover_outlier_time(&self, outlier_until_ms: u64) -> Duration {
        if self.is_from_future {
            return Duration::ZERO;
        }
        self.time_until(outlier_until_ms).min(self.rules.report_period.mul_f64(MAX_OUTLIER_PERIODS))
    }

    fn time_until(&self, at_ms: u64) -> Duration {
        Duration::from_millis(at_ms.saturating_sub(self.now_ms))
    }
}
