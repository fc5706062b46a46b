//! Counters of a proxy, which run since its start, turned into what happened between two looks.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft_runtime_api::tables::StatRow;

/// What one look tells beyond the look before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CounterDelta {
    /// Tries at a server that ended, how many badly, and the mean time of the others.
    Server { name: String, tries: u32, failed: u32, took: Duration },
    /// Visits of a class that came, refused ones among them.
    Class { name: String, visits: u32 },
}

#[derive(Clone, Copy, Default)]
struct Seen {
    total: u64,
    failed: u64,
    sum_ms: u64,
}

/// The counters at the last look.
#[derive(Default)]
pub struct Counters {
    rows: BTreeMap<(String, String), Seen>,
    /// Before the first look there is nothing to compare with: how long the proxy has counted is unknown.
    looked: bool,
}

impl Counters {
    /// Takes the rows of a look. A counter that fell was started anew, with the proxy or with the
    /// server's line in it: all that it shows is new.
    pub fn take(&mut self, rows: &[StatRow]) -> Vec<CounterDelta> {
        let mut told = Vec::new();
        let mut next = BTreeMap::new();
        for row in rows.iter().filter(|row| row.server != "BACKEND") {
            let key = (row.name.clone(), row.server.clone());
            let mut was = self.rows.get(&key).copied().unwrap_or_default();
            let is = Seen { total: row.total, failed: row.failed(), sum_ms: row.sum_ms.unwrap_or(0) };
            if is.total < was.total || is.failed < was.failed || is.sum_ms < was.sum_ms {
                was = Seen::default();
            }
            let gained = Seen {
                total: is.total - was.total,
                failed: is.failed - was.failed,
                sum_ms: is.sum_ms - was.sum_ms,
            };
            next.insert(key, is);
            if self.looked && gained.total > 0 {
                told.push(tell(row, gained));
            }
        }
        (self.rows, self.looked) = (next, true);
        told
    }
}

fn tell(row: &StatRow, gained: Seen) -> CounterDelta {
    let count = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    if row.server == "FRONTEND" {
        return CounterDelta::Class { name: row.name.clone(), visits: count(gained.total) };
    }
    let failed = gained.failed.min(gained.total);
    // Where the sum is not given, the guide's sliding mean is the nearest there is.
    let took = match row.sum_ms {
        Some(_) => gained.sum_ms as f64 / (gained.total - failed).max(1) as f64,
        None => row.mean_ms as f64,
    };
    CounterDelta::Server {
        name: row.server.clone(),
        tries: count(gained.total),
        failed: count(failed),
        took: Duration::from_secs_f64(took / 1e3),
    }
}
