//! What is worth keeping across a restart: the few figures of each server and level that the decisions learned, told
//! when they differ from what was told last. A slice at a time, so that no decision waits for a walk of the fleet.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use lockcroft::{ClassAdmission, EndpointId, EndpointState, EndpointStatus};
use lockcroft_host::NameIndex;
use lockcroft_state_store::{EndpointNote, Entry, EntryValue, Key};

use crate::list::EndpointList;

/// Servers that are looked at in one slice, and the time between slices.
const SLICE: usize = 32;
const EVERY: Duration = Duration::from_millis(20);
/// Relief and levels are told by steps of this, as tables have them.
const STEPS: f64 = 20.0;

pub(crate) struct StateRecorder {
    told: BTreeMap<Key, EntryValue>,
    /// Where the next slice begins; levels come with the first.
    after: Option<EndpointId>,
    due: Duration,
    /// Milliseconds of the wall's clock at the pilot's start.
    start_ms: u64,
    pub kept: usize,
}

impl StateRecorder {
    pub fn new(start_ms: u64) -> Self {
        StateRecorder { told: BTreeMap::new(), after: None, due: Duration::ZERO, start_ms, kept: 0 }
    }

    pub fn next_due(&self) -> Duration {
        self.due
    }

    fn wall(&self, time: Duration) -> u64 {
        self.start_ms + time.as_millis() as u64
    }

    /// What of the next slice differs from what was told.
    pub fn slice(
        &mut self,
        now: Duration,
        servers: &BTreeMap<EndpointId, EndpointState>,
        gates: &[ClassAdmission],
        list: &EndpointList,
        places: &NameIndex,
    ) -> Vec<Entry> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + EVERY;
        let mut entries = Vec::new();
        if self.after.is_none() {
            for gate in gates {
                let key = Key::Level(gate.name.clone(), gate.table as u32);
                self.tell(now, key, EntryValue::Level(step(gate.rate)), &mut entries);
            }
        }
        let from = self.after.map_or(Unbounded, Excluded);
        let mut last = None;
        for (server, known) in servers.range((from, Unbounded)).take(SLICE) {
            let note = self.note(now, known, places);
            self.tell(now, Key::Server(list.name(*server).into()), EntryValue::Server(note), &mut entries);
            last = Some(*server);
        }
        self.after = last.filter(|last| servers.range((Excluded(*last), Unbounded)).next().is_some());
        self.kept += entries.len();
        entries
    }

    /// What the solver learned, where it moved by a step.
    pub fn sizes(&mut self, now: Duration, sizes: Vec<(EndpointId, f64)>, list: &EndpointList) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (server, cores) in sizes {
            let cores = (cores * STEPS).round().max(1.0) / STEPS;
            self.tell(now, Key::Size(list.name(server).into()), EntryValue::Size(cores), &mut entries);
        }
        entries
    }

    fn tell(&mut self, now: Duration, key: Key, what: EntryValue, entries: &mut Vec<Entry>) {
        if self.told.get(&key) != Some(&what) {
            self.told.insert(key.clone(), what.clone());
            entries.push(Entry { at_ms: self.wall(now), key, what });
        }
    }

    fn note(&self, now: Duration, known: &EndpointState, places: &NameIndex) -> EndpointNote {
        let later = |time: Duration| if time > now { self.wall(time) } else { 0 };
        let name = |names: &[String], place: usize| names.get(place).cloned().unwrap_or_default();
        EndpointNote {
            zone: name(&places.zones, known.record.zone),
            kind: name(&places.machine_types, known.record.machine_type),
            gone: known.record.status == EndpointStatus::Removed,
            draining: known.record.status == EndpointStatus::Draining,
            counter: known.health.value(),
            doubted_until_ms: later(known.outlier_until),
            started_ms: if known.is_warming_up(now) { self.wall(known.started_at) } else { 0 },
            warm_ms: later(known.warmed_up_at),
            relief: step(known.weight_factor),
        }
    }
}

fn step(share: f64) -> f64 {
    (share.clamp(0.0, 1.0) * STEPS).round() / STEPS
}
