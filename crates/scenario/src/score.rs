//! What was earned: fulfilled earnings over asked ones.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::Settings;
use lockcroft_testbed::{TrafficEvent, TrafficRecord};
use serde::{Deserialize, Serialize};

const WINDOW: Duration = Duration::from_secs(10);

/// The zone of each endpoint and relay, by name.
pub type Zones = BTreeMap<String, String>;

/// What came of the time after a pilot's restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct After {
    pub at_s: f64,
    /// Share of the earnings asked for in the 20 s behind it.
    pub fulfilled: f64,
    /// Orders that change a weight or a level in these 20 s, at all relays together.
    pub changes: usize,
    /// Seconds to the last order that puts a relay on a table, or lays a line of one anew, before it has been quiet
    /// for [`QUIET`]; 0 if none came.
    pub settled_s: f64,
}

/// Behind a restart.
const AFTER: Duration = Duration::from_secs(20);
/// Weights move all day: tables of a start are laid once there was none for so long.
pub const QUIET: Duration = Duration::from_secs(1);

/// Shares from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    pub visits: usize,
    pub whole: f64,
    /// The worst 10 s of the day, by the time when visits were asked; and where they begin, in s.
    pub worst_window: f64,
    pub worst_at_s: f64,
    /// The share of each 10 s from the start.
    pub tens: Vec<f64>,
    pub classes: BTreeMap<String, f64>,
    /// Visits that went to an endpoint of another zone than the relay's, of all that reached one.
    pub crossing: f64,
    /// Orders that change a weight or a level, at all relays together, in each 10 s from the start.
    pub changes: Vec<usize>,
    /// Behind each start of the pilot but the first.
    pub restarts: Vec<After>,
}

/// An answer in contract time earns in full, one within patience what the terms state for it.
pub fn score(records: &[TrafficRecord], settings: &Settings, zones: &Zones, restarts: &[Duration]) -> Score {
    let classes = settings.classes.iter();
    let earns: BTreeMap<&str, (f64, f64, f64)> = classes
        .filter_map(|class| {
            let objective = class.latency_objective.as_secs_f64();
            Some((class.name.as_deref()?, (objective, class.value, class.late_value_fraction)))
        })
        .collect();
    let mut windows: BTreeMap<u64, Share> = BTreeMap::new();
    let (mut all, mut by_class, mut visits) = (Share::default(), BTreeMap::<String, Share>::new(), 0);
    let mut after = vec![Share::default(); restarts.len()];
    for record in records {
        let TrafficEvent::Visit { class, asked, status, .. } = &record.what else { continue };
        let Some((contract, earnings, late)) = earns.get(class.as_str()) else { continue };
        let in_time = (record.at - *asked).as_secs_f64() <= *contract;
        let part = if *status != 200 {
            0.0
        } else if in_time {
            1.0
        } else {
            *late
        };
        visits += 1;
        all.add(*earnings, part);
        by_class.entry(class.clone()).or_default().add(*earnings, part);
        for (at, share) in restarts.iter().zip(&mut after) {
            if (*at..*at + AFTER).contains(asked) {
                share.add(*earnings, part);
            }
        }
        // Windows begin at every second; a visit stands in all that hold it.
        let second = asked.as_secs();
        for begin in second.saturating_sub(WINDOW.as_secs() - 1)..=second {
            windows.entry(begin).or_default().add(*earnings, part);
        }
    }
    let last = windows.keys().last().map_or(0, |last| last.saturating_sub(WINDOW.as_secs() - 1));
    let whole_ones = windows.iter().filter(|(begin, _)| **begin <= last);
    let worst = whole_ones.min_by(|(_, a), (_, b)| a.share().total_cmp(&b.share()));
    Score {
        visits,
        whole: all.share(),
        worst_window: worst.map_or(0.0, |(_, share)| share.share()),
        worst_at_s: worst.map_or(0.0, |(begin, _)| *begin as f64),
        tens: windows
            .iter()
            .filter(|(begin, _)| **begin % WINDOW.as_secs() == 0)
            .map(|(_, share)| share.share())
            .collect(),
        classes: by_class.into_iter().map(|(class, share)| (class, share.share())).collect(),
        crossing: crossing(records, zones),
        changes: changes(records),
        restarts: restarts.iter().zip(after).map(|(at, share)| behind(records, *at, share.share())).collect(),
    }
}

fn behind(records: &[TrafficRecord], at: Duration, fulfilled: f64) -> After {
    let orders = records.iter().filter(|record| (at..at + AFTER).contains(&record.at));
    let orders = orders.filter_map(|record| match &record.what {
        TrafficEvent::Set { orders, .. } => Some((record.at, orders.iter().filter(changing).count(), orders)),
        _ => None,
    });
    let (mut changes, mut settled, mut quiet) = (0, None::<Duration>, false);
    for (when, count, orders) in orders {
        changes += count;
        let lays = orders.iter().any(|(command, _)| {
            command.starts_with("add server")
                || command.contains(" map classes ")
                || command.contains(" weight ")
        });
        quiet |= settled.is_some_and(|last| when > last + QUIET);
        if lays && !quiet {
            settled = Some(when);
        }
    }
    let settled_s = settled.map_or(0.0, |settled| (settled - at).as_secs_f64());
    After { at_s: at.as_secs_f64(), fulfilled, changes, settled_s }
}

fn changing((command, _): &&(String, String)) -> bool {
    command.contains(" weight ") || command.starts_with("set var proc.level_")
}

fn crossing(records: &[TrafficRecord], zones: &Zones) -> f64 {
    let (mut all, mut abroad) = (0_u32, 0_u32);
    for record in records {
        let TrafficEvent::Arrived { endpoint, relay, .. } = &record.what else { continue };
        all += 1;
        abroad += u32::from(zones.get(endpoint) != zones.get(relay));
    }
    f64::from(abroad) / f64::from(all.max(1))
}

fn changes(records: &[TrafficRecord]) -> Vec<usize> {
    let mut changes = Vec::new();
    for record in records {
        let TrafficEvent::Set { orders, .. } = &record.what else { continue };
        let window = (record.at.as_secs() / WINDOW.as_secs()) as usize;
        changes.resize(changes.len().max(window + 1), 0);
        changes[window] += orders.iter().filter(changing).count();
    }
    changes
}

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    asked: f64,
    fulfilled: f64,
}

impl Share {
    fn add(&mut self, earnings: f64, part: f64) {
        self.asked += earnings;
        self.fulfilled += earnings * part;
    }

    fn share(&self) -> f64 {
        if self.asked > 0.0 { self.fulfilled / self.asked } else { 1.0 }
    }
}
