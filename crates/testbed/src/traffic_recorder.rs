//! The record of what passed on the sockets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::traffic_event::TrafficEvent;

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficRecord {
    /// Since the start of the scenario.
    pub at: Duration,
    /// What passed.
    #[serde(rename = "what")]
    pub event: TrafficEvent,
}

/// Where all test doubles of a scenario record events; clones write into the same record.
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
    /// The time since the start of the scenario.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds an event at the present time.
    pub fn record(&self, event: TrafficEvent) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that the record is in order.
        records.push(TrafficRecord { at: self.start.elapsed(), event });
    }

    /// All that was recorded so far.
    #[must_use]
    pub fn records(&self) -> Vec<TrafficRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
