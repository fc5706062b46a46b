//! What is worth keeping across a restart: the few figures of each endpoint and of admission that the decisions
//! learned, given out when they differ from what was given out last. A slice at a time, so that no decision waits
//! for a walk of the fleet.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use lockcroft::{ClassAdmission, EndpointId, EndpointState, EndpointStatus};
use lockcroft_host::NameIndex;
use lockcroft_state_store::{Entry, EntryKey, EntryValue, RecordedEndpoint};

use crate::endpoint_list::EndpointList;

/// Endpoints that are looked at in one slice.
const MAX_SLICE_ENDPOINTS: usize = 32;
/// The time between slices.
const SLICE_INTERVAL: Duration = Duration::from_millis(20);
/// Fractions are recorded in steps of one twentieth, as tables have them.
const STEPS: f64 = 20.0;

pub struct StateRecorder {
    /// What was given out last.
    recorded: BTreeMap<EntryKey, EntryValue>,
    /// The endpoint behind which the next slice begins; admission comes with the first slice.
    resume_after: Option<EndpointId>,
    due: Duration,
    /// Milliseconds of the wall clock at the controller's start.
    start_ms: u64,
    /// How many entries were given out since the start.
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

    /// When the next slice is due.
    pub fn next_due(&self) -> Duration {
        self.due
    }

    /// Makes the next slice due at once.
    pub fn hasten(&mut self) {
        self.due = Duration::ZERO;
    }

    /// Whether the next slice begins with the first endpoint.
    pub fn is_at_start(&self) -> bool {
        self.resume_after.is_none()
    }

    fn wall_clock_ms(&self, time: Duration) -> u64 {
        self.start_ms + time.as_millis() as u64
    }

    /// What of the next slice differs from what was given out last.
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
            let value = EntryValue::Endpoint(self.endpoint_note(now, state, names));
            self.record(now, key, value, &mut entries);
            last = Some(*endpoint);
        }
        self.resume_after =
            last.filter(|last| endpoints.range((Excluded(*last), Unbounded)).next().is_some());
        self.recorded_entries += entries.len();
        entries
    }

    /// Capacities that the solver learned, where they moved by a step.
    pub fn record_capacities(
        &mut self,
        now: Duration,
        capacities: Vec<(EndpointId, f64)>,
        list: &EndpointList,
    ) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (endpoint, cores) in capacities {
            let cores = (cores * STEPS).round().max(1.0) / STEPS;
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

    /// Times that have passed are recorded as 0, so that they do not change any more.
    fn endpoint_note(&self, now: Duration, state: &EndpointState, names: &NameIndex) -> RecordedEndpoint {
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
    (fraction.clamp(0.0, 1.0) * STEPS).round() / STEPS
}
