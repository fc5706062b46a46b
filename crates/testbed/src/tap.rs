//! The record of what passed on the sockets.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// One thing that passed, with its time since the start of the day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficRecord {
    pub at: Duration,
    pub what: TrafficEvent,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum TrafficEvent {
    /// A visit's bytes reached an endpoint; `work` is in seconds of one core at full speed.
    Arrived {
        endpoint: String,
        relay: String,
        visit: u64,
        class: String,
        work: f64,
        /// The table in force at the proxy and its version, as `t0@17`.
        table: String,
    },
    /// An endpoint began to carry a visit out.
    Ran { endpoint: String, visit: u64, class: String },
    /// An endpoint's process started, cold; `None` if it stood from the beginning.
    Started { endpoint: String, capacity: f64 },
    /// An endpoint's process died: connections are refused, which leaves no trace there.
    Stopped { endpoint: String },
    /// An endpoint fell over under what it was sent while cold.
    Fell { endpoint: String },
    /// A control stream at a relay came to be, or ended.
    Stream { relay: String, open: bool },
    /// A relay began to stand still on its control stream, or went on.
    Stalled { relay: String, on: bool },
    /// A relay started with this standing table.
    Standing { relay: String, servers: Vec<String> },
    /// A line of orders came in at a relay.
    Line { relay: String, commands: usize },
    /// A relay carried out a line of orders: commands with their answers.
    Set { relay: String, orders: Vec<(String, String)> },
    /// A relay laid a generation of files as this set of its own, 0 if it changed nothing: tables with lines and
    /// weights, class to table, and servers kept from visits. Without an entry in the map it kept its tables.
    Laid {
        relay: String,
        set: u64,
        tables: Vec<(String, Vec<(String, u32)>)>,
        map: Vec<(String, String)>,
        withdrawn: Vec<String>,
    },
    /// The list as it was written for the pilots: names with `ready`, `draining` or `gone`, and the
    /// time of the last start.
    Listed { servers: Vec<(String, String, Option<Duration>)> },
    /// A visit ended for its client: asked at a time, with the status of the final answer.
    Visit { visit: u64, class: String, asked: Duration, status: u16 },
}

/// Where all stand-ins of a day write.
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
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn put(&self, what: TrafficEvent) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        // The time is taken under the lock, so that the record is in order.
        records.push(TrafficRecord { at: self.start.elapsed(), what });
    }

    /// All that was recorded so far.
    pub fn records(&self) -> Vec<TrafficRecord> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
