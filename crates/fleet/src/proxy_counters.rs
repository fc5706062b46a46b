//! Conversion of a proxy's cumulative counters to the difference between two readings.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_runtime_api::tables::StatRow;

/// The increase of a counter since the previous reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CounterDelta {
    /// Attempts at an endpoint that ended.
    Endpoint {
        /// The endpoint's name.
        name: String,
        /// The number of attempts that ended.
        attempts: u32,
        /// The number of them that failed.
        failed: u32,
        /// The mean latency of those that did not fail.
        mean_latency: Duration,
    },
    /// Requests of a class that arrived, including rejected ones.
    Class {
        /// The name of the class.
        name: String,
        /// The number of requests that arrived.
        requests: u32,
    },
}

/// The cumulative counters of one row.
#[derive(Clone, Copy, Default)]
struct Totals {
    total: u64,
    failed: u64,
    latency_sum_ms: u64,
}

impl Totals {
    fn from_row(row: &StatRow) -> Self {
        Totals { total: row.total, failed: row.failed(), latency_sum_ms: row.total_latency_ms.unwrap_or(0) }
    }

    /// Returns the increase since an earlier reading. If any counter decreased, the proxy was restarted or the
    /// endpoint's entry was added again, and the increase is the complete value.
    fn increase_since(self, earlier: Totals) -> Totals {
        let was_reset = self.total < earlier.total
            || self.failed < earlier.failed
            || self.latency_sum_ms < earlier.latency_sum_ms;
        let base = if was_reset { Totals::default() } else { earlier };
        Totals {
            total: self.total - base.total,
            failed: self.failed - base.failed,
            latency_sum_ms: self.latency_sum_ms - base.latency_sum_ms,
        }
    }
}

/// The counters of a proxy at the last reading.
#[derive(Default)]
pub struct Counters {
    rows: BTreeMap<(String, String), Totals>,
    /// True after the first reading, which is only a baseline: it is unknown for how long the proxy has counted.
    has_baseline: bool,
}

impl Counters {
    /// Records a reading, and returns the increase of each row since the previous one; nothing for the first reading.
    pub fn update(&mut self, rows: &[StatRow]) -> Vec<CounterDelta> {
        let mut deltas = Vec::new();
        let mut next = BTreeMap::new();
        for row in rows.iter().filter(|row| row.endpoint != "BACKEND") {
            let key = (row.name.clone(), row.endpoint.clone());
            let earlier = self.rows.get(&key).copied().unwrap_or_default();
            let current = Totals::from_row(row);
            let increase = current.increase_since(earlier);
            next.insert(key, current);
            if self.has_baseline && increase.total > 0 {
                deltas.push(delta(row, increase));
            }
        }
        self.rows = next;
        self.has_baseline = true;
        deltas
    }
}

fn delta(row: &StatRow, increase: Totals) -> CounterDelta {
    let count = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    if row.endpoint == "FRONTEND" {
        return CounterDelta::Class { name: row.name.clone(), requests: count(increase.total) };
    }
    let failed = increase.failed.min(increase.total);
    // Without the sum of latencies, HAProxy's moving average `rtime` is the best estimate.
    let mean_ms = match row.total_latency_ms {
        Some(_) => increase.latency_sum_ms as f64 / (increase.total - failed).max(1) as f64,
        None => row.mean_latency_ms as f64,
    };
    CounterDelta::Endpoint {
        name: row.endpoint.clone(),
        attempts: count(increase.total),
        failed: count(failed),
        mean_latency: Duration::from_secs_f64(mean_ms / 1e3),
    }
}
