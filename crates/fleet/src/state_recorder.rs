//! Selects the learned state of endpoints and admission to be persisted across restarts. A value is recorded when it
//! differs from the value recorded last. A pass over all endpoints is split into slices of a few endpoints each, and
//! one slice is recorded per interval, so that no decision waits for a complete pass.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use lockcroft::{ClassAdmission, EndpointId, EndpointState, EndpointStatus};
use lockcroft_host::NameIndex;
use lockcroft_state_store::{Entry, EntryKey, EntryValue, RecordedEndpoint};

use crate::endpoint_list::EndpointList;

/// The maximum number of endpoints in a slice.
const MAX_SLICE_ENDPOINTS: usize = 32;
/// The time between two slices, each of which records the next [`MAX_SLICE_ENDPOINTS`] endpoints of a pass.
const SLICE_INTERVAL: Duration = Duration::from_millis(20);
/// Fractions and cores are recorded in steps of one twentieth, the steps in which tables are published.
const STEPS_PER_UNIT: f64 = 20.0;

/// Compares learned state with what was recorded last.
pub struct StateRecorder {
    /// The values recorded last.
    recorded: BTreeMap<EntryKey, EntryValue>,
    /// The last endpoint of the previous slice. `None` if the next slice is the first of a pass, which includes
    /// admission.
    resume_after: Option<EndpointId>,
    /// The time at which the next slice is due, since the controller's start.
    due: Duration,
    /// The wall clock at the controller's start, in milliseconds since the Unix epoch.
    start_ms: u64,
    /// The number of entries recorded since the start, not counting capacities.
    pub recorded_entries: usize,
}

impl StateRecorder {
    pub fn new(start_ms: u64) -> Self {
        StateRecorder {
            recorded: BTreeMap::new(),
            resume_after: None,
            due: Duration::ZERO,
            start_ms,
            recorded_entries: 0,
        }
    }

    /// Returns the time at which the next slice is due.
    pub fn next_due(&self) -> Duration {
        self.due
    }

    /// Makes the next slice due now.
    pub fn make_due(&mut self) {
        self.due = Duration::ZERO;
    }

    /// Returns true if the next slice is the first of a pass.
    pub fn is_at_pass_start(&self) -> bool {
        self.resume_after.is_none()
    }

    fn wall_clock_ms(&self, time: Duration) -> u64 {
        self.start_ms + time.as_millis() as u64
    }

    /// Returns the values of the next slice that differ from those recorded last; nothing if no slice is due.
    pub fn record_slice(
        &mut self,
        now: Duration,
        endpoints: &BTreeMap<EndpointId, EndpointState>,
        admissions: &[ClassAdmission],
        list: &EndpointList,
        names: &NameIndex,
    ) -> Vec<Entry> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + SLICE_INTERVAL;
        let mut entries = Vec::new();
        if self.resume_after.is_none() {
            for admission in admissions {
                let key = EntryKey::AdmissionRate(admission.name.clone(), admission.table as u32);
                self.record(now, key, EntryValue::AdmissionRate(round_to_step(admission.rate)), &mut entries);
            }
        }
        let start = self.resume_after.map_or(Unbounded, Excluded);
        let mut last = None;
        for (endpoint, state) in endpoints.range((start, Unbounded)).take(MAX_SLICE_ENDPOINTS) {
            let key = EntryKey::Endpoint(list.name(*endpoint).into());
            let value = EntryValue::Endpoint(self.endpoint_value(now, state, names));
            self.record(now, key, value, &mut entries);
            last = Some(*endpoint);
        }
        self.resume_after =
            last.filter(|last| endpoints.range((Excluded(*last), Unbounded)).next().is_some());
        self.recorded_entries += entries.len();
        entries
    }

    /// Returns the learned capacities, in cores, that differ by at least a step from those recorded last.
    pub fn record_capacities(
        &mut self,
        now: Duration,
        capacities: Vec<(EndpointId, f64)>,
        list: &EndpointList,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (endpoint, cores) in capacities {
            let cores = (cores * STEPS_PER_UNIT).round().max(1.0) / STEPS_PER_UNIT;
            let key = EntryKey::Capacity(list.name(endpoint).into());
            self.record(now, key, EntryValue::Capacity(cores), &mut entries);
        }
        entries
    }

    fn record(&mut self, now: Duration, key: EntryKey, value: EntryValue, entries: &mut Vec<Entry>) {
        if self.recorded.get(&key) != Some(&value) {
            self.recorded.insert(key.clone(), value.clone());
            entries.push(Entry { at_ms: self.wall_clock_ms(now), key, value });
        }
    }

    /// Returns the value to record for an endpoint. Times in the past are recorded as 0, so that they no longer
    /// change.
    fn endpoint_value(&self, now: Duration, state: &EndpointState, names: &NameIndex) -> RecordedEndpoint {
        let future_ms = |time: Duration| if time > now { self.wall_clock_ms(time) } else { 0 };
        let name = |names: &[String], position: usize| names.get(position).cloned().unwrap_or_default();
        let record = &state.record;
        RecordedEndpoint {
            zone: name(&names.zones, record.zone),
            machine_type: name(&names.machine_types, record.machine_type),
            removed: record.status == EndpointStatus::Removed,
            draining: record.status == EndpointStatus::Draining,
            health_counter: state.health.value(),
            outlier_until_ms: future_ms(state.outlier_until),
            started_ms: if state.is_warming_up(now) { self.wall_clock_ms(state.started_at) } else { 0 },
            slow_start_until_ms: future_ms(state.warmed_up_at),
            weight_factor: round_to_step(state.weight_factor),
        }
    }
}

fn round_to_step(fraction: f64) -> f64 {
    (fraction.clamp(0.0, 1.0) * STEPS_PER_UNIT).round() / STEPS_PER_UNIT
}
