//! Counters of a proxy, which run since its start, turned into what happened between two readings.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_runtime_api::tables::StatRow;

/// What one reading shows beyond the reading before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CounterDelta {
    /// Attempts at an endpoint that ended.
    Endpoint {
        /// The endpoint's name.
        name: String,
        /// How many ended.
        attempts: u32,
        /// How many of them failed.
        failed: u32,
        /// The mean time of those that did not fail.
        mean_latency: Duration,
    },
    /// Requests of a class that arrived, rejected ones among them.
    Class {
        /// The name of the class.
        name: String,
        /// How many arrived.
        requests: u32,
    },
}

#[derive(Clone, Copy, Default)]
struct Totals {
    total: u64,
    failed: u64,
    sum_ms: u64,
}

impl Totals {
    fn of(row: &StatRow) -> Self {
        Totals { total: row.total, failed: row.failed(), sum_ms: row.total_latency_ms.unwrap_or(0) }
    }

    /// What was gained since an earlier reading. A counter that fell was started anew, with the proxy or with the
    /// endpoint's entry in it: all that it shows is new.
    fn since(self, earlier: Totals) -> Totals {
        let restarted =
            self.total < earlier.total || self.failed < earlier.failed || self.sum_ms < earlier.sum_ms;
        let base = if restarted { Totals::default() } else { earlier };
        Totals {
            total: self.total - base.total,
            failed: self.failed - base.failed,
            sum_ms: self.sum_ms - base.sum_ms,
        }
    }
}

/// The counters at the last reading.
#[derive(Default)]
pub struct Counters {
    rows: BTreeMap<(String, String), Totals>,
    /// Before the first reading there is nothing to compare with: how long the proxy has counted is unknown.
    has_baseline: bool,
}

impl Counters {
    /// Takes the rows of a reading, and gives what each gained since the reading before.
    pub fn update(&mut self, rows: &[StatRow]) -> Vec<CounterDelta> {
        let mut deltas = Vec::new();
        let mut next = BTreeMap::new();
        for row in rows.iter().filter(|row| row.endpoint != "BACKEND") {
            let key = (row.name.clone(), row.endpoint.clone());
            let earlier = self.rows.get(&key).copied().unwrap_or_default();
            let current = Totals::of(row);
            let gained = current.since(earlier);
            next.insert(key, current);
            if self.has_baseline && gained.total > 0 {
                deltas.push(delta(row, gained));
            }
        }
        self.rows = next;
        self.has_baseline = true;
        deltas
    }
}

fn delta(row: &StatRow, gained: Totals) -> CounterDelta {
    let count = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    if row.endpoint == "FRONTEND" {
        return CounterDelta::Class { name: row.name.clone(), requests: count(gained.total) };
    }
    let failed = gained.failed.min(gained.total);
    // Where the sum is not given, the guide's sliding mean is the nearest there is.
    let mean_ms = match row.total_latency_ms {
        Some(_) => gained.sum_ms as f64 / (gained.total - failed).max(1) as f64,
        None => row.mean_latency_ms as f64,
    };
    CounterDelta::Endpoint {
        name: row.endpoint.clone(),
        attempts: count(gained.total),
        failed: count(failed),
        mean_latency: Duration::from_secs_f64(mean_ms / 1e3),
    }
}
