//! The record of the traffic of a scenario.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::traffic_event::TrafficEvent;

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficRecord {
    /// The time since the start of the scenario.
    pub at: Duration,
    /// The event.
    #[serde(rename = "what")]
    pub event: TrafficEvent,
}

/// Records the events of all test doubles of a scenario in order of time. Clones write to the same record.
#[derive(Clone)]
pub struct TrafficRecorder {
    start: Instant,
    records: Arc<Mutex<Vec<TrafficRecord>>>,
}

impl Default for TrafficRecorder {
    fn default() -> Self {
        TrafficRecorder { start: Instant::now(), records: Arc::default() }
    }
}

impl TrafficRecorder {
    /// Returns the time since the start of the scenario, which is when the recorder was created.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds an event with the current time.
    pub fn record(&self, event: TrafficEvent) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is read under the lock so that records are in order of time.
        records.push(TrafficRecord { at: self.start.elapsed(), event });
    }

    /// Returns a copy of all records so far.
    #[must_use]
    pub fn records(&self) -> Vec<TrafficRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
