//! What was earned: the value of the requests that were answered, as a fraction of the value of all that came (goodput).
//! The names in JSON are read by other programs and stay.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::Settings;
use lockcroft_testbed::{AnsweredCommand, TrafficEvent, TrafficRecord};
use serde::{Deserialize, Serialize};

const WINDOW: Duration = Duration::from_secs(10);
/// The time after a restart that is looked at by itself.
const RESTART_WINDOW: Duration = Duration::from_secs(20);
/// Weights move all the time: the tables of a restart are applied once there was no update for so long.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// The zone of each endpoint and proxy, by name.
pub type ZonesByName = BTreeMap<String, String>;

/// What came of the 20 s after a restart of the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RestartScore {
    /// When it restarted, in seconds since the start of the scenario.
    pub at_s: f64,
    /// The goodput of the requests sent in this time, from 0 to 1.
    #[serde(rename = "fulfilled")]
    pub goodput: f64,
    /// Commands that change a weight or an admission rate in this time, at all proxies together.
    pub changes: usize,
    /// Seconds to the last command that assigns a table or sets an entry of one, before there was none for 1 s; 0 if
    /// none came.
    pub settled_s: f64,
}

/// Goodput, from 0 to 1, by class and by time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// Requests that were counted.
    #[serde(rename = "visits")]
    pub requests: usize,
    /// Of all requests.
    #[serde(rename = "whole")]
    pub goodput: f64,
    /// Of the worst 10 s, by the time when requests were sent.
    #[serde(rename = "worst_window")]
    pub worst_window_goodput: f64,
    /// Where the worst 10 s begin, in seconds since the start of the scenario.
    #[serde(rename = "worst_at_s")]
    pub worst_window_at_s: f64,
    /// Of each 10 s from the start.
    #[serde(rename = "tens")]
    pub window_goodput: Vec<f64>,
    /// Of each class.
    #[serde(rename = "classes")]
    pub class_goodput: BTreeMap<String, f64>,
    /// The fraction of arrivals at an endpoint of another zone than the proxy's.
    #[serde(rename = "crossing")]
    pub cross_zone_fraction: f64,
    /// Commands that change a weight or an admission rate, at all proxies together, in each 10 s from the start.
    pub changes: Vec<usize>,
    /// After each restart of the controller.
    pub restarts: Vec<RestartScore>,
}

/// Scores a record. An answer within the latency objective earns its class's value in full, a later one the part that
/// the settings state. The restarts of the controller are given by time.
#[must_use]
pub fn score(
    records: &[TrafficRecord],
    settings: &Settings,
    zones: &ZonesByName,
    restarts: &[Duration],
) -> Score {
    let mut totals = Totals::new(restarts);
    let values = ClassValue::by_name(settings);
    for record in records {
        let TrafficEvent::RequestCompleted { class, sent_at, status, .. } = &record.event else { continue };
        let Some(value) = values.get(class.as_str()) else { continue };
        let fraction = value.earned_fraction(*status, record.at - *sent_at);
        totals.add(class, *sent_at, value.value, fraction);
    }
    let worst = totals.worst_window();
    Score {
        requests: totals.requests,
        goodput: totals.all.fraction(),
        worst_window_goodput: worst.map_or(0.0, |(_, goodput)| goodput.fraction()),
        worst_window_at_s: worst.map_or(0.0, |(begin_s, _)| begin_s as f64),
        window_goodput: totals.successive_windows(),
        cross_zone_fraction: cross_zone_fraction(records, zones),
        changes: weight_changes(records),
        restarts: totals.restarts.iter().map(|(at, goodput)| restart_score(records, *at, goodput)).collect(),
        class_goodput: totals.by_class.into_iter().map(|(class, of)| (class, of.fraction())).collect(),
    }
}

/// What a request of a class earns.
struct ClassValue {
    latency_objective_s: f64,
    value: f64,
    late_fraction: f64,
}

impl ClassValue {
    fn by_name(settings: &Settings) -> BTreeMap<&str, ClassValue> {
        let classes = settings.classes.iter();
        let named = classes.filter_map(|class| {
            let value = ClassValue {
                latency_objective_s: class.latency_objective.as_secs_f64(),
                value: class.value,
                late_fraction: class.late_value_fraction,
            };
            Some((class.name.as_deref()?, value))
        });
        named.collect()
    }

    /// The part of its value that a request earns, from 0 to 1.
    fn earned_fraction(&self, status: u16, latency: Duration) -> f64 {
        if status != 200 {
            0.0
        } else if latency.as_secs_f64() <= self.latency_objective_s {
            1.0
        } else {
            self.late_fraction
        }
    }
}

/// Value that was earned, of that which was asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Goodput {
    requested: f64,
    earned: f64,
}

impl Goodput {
    fn add(&mut self, value: f64, fraction: f64) {
        self.requested += value;
        self.earned += value * fraction;
    }

    fn fraction(&self) -> f64 {
        if self.requested > 0.0 { self.earned / self.requested } else { 1.0 }
    }
}

/// Goodput of a record so far.
struct Totals {
    requests: usize,
    all: Goodput,
    by_class: BTreeMap<String, Goodput>,
    /// By the second in which a window begins; windows overlap.
    windows: BTreeMap<u64, Goodput>,
    /// By the time of the restart.
    restarts: Vec<(Duration, Goodput)>,
}

impl Totals {
    fn new(restarts: &[Duration]) -> Self {
        Totals {
            requests: 0,
            all: Goodput::default(),
            by_class: BTreeMap::new(),
            windows: BTreeMap::new(),
            restarts: restarts.iter().map(|at| (*at, Goodput::default())).collect(),
        }
    }

    fn add(&mut self, class: &str, sent_at: Duration, value: f64, fraction: f64) {
        self.requests += 1;
        self.all.add(value, fraction);
        self.by_class.entry(class.into()).or_default().add(value, fraction);
        for (at, goodput) in &mut self.restarts {
            if (*at..*at + RESTART_WINDOW).contains(&sent_at) {
                goodput.add(value, fraction);
            }
        }
        // A window begins at every second; a request counts in all windows that hold it.
        let second = sent_at.as_secs();
        for begin in second.saturating_sub(WINDOW.as_secs() - 1)..=second {
            self.windows.entry(begin).or_default().add(value, fraction);
        }
    }

    /// The worst of the windows that the record covers to their end.
    fn worst_window(&self) -> Option<(u64, Goodput)> {
        let last = self.windows.keys().last().map_or(0, |last| last.saturating_sub(WINDOW.as_secs() - 1));
        let complete = self.windows.iter().filter(|(begin, _)| **begin <= last);
        let worst = complete.min_by(|(_, a), (_, b)| a.fraction().total_cmp(&b.fraction()));
        worst.map(|(begin, goodput)| (*begin, *goodput))
    }

    fn successive_windows(&self) -> Vec<f64> {
        let successive = self.windows.iter().filter(|(begin, _)| **begin % WINDOW.as_secs() == 0);
        successive.map(|(_, goodput)| goodput.fraction()).collect()
    }
}

fn restart_score(records: &[TrafficRecord], at: Duration, goodput: &Goodput) -> RestartScore {
    let window = records.iter().filter(|record| (at..at + RESTART_WINDOW).contains(&record.at));
    let updates = window.filter_map(|record| match &record.event {
        TrafficEvent::UpdateAnswered { commands, .. } => Some((record.at, commands)),
        _ => None,
    });
    let mut changes = 0;
    let mut settled: Option<Duration> = None;
    let mut quiet = false;
    for (updated_at, commands) in updates {
        changes += commands.iter().filter(|answered| changes_weight(answered)).count();
        quiet |= settled.is_some_and(|last| updated_at > last + QUIET_TIME);
        if !quiet && commands.iter().any(sets_table) {
            settled = Some(updated_at);
        }
    }
    let settled_s = settled.map_or(0.0, |settled| (settled - at).as_secs_f64());
    RestartScore { at_s: at.as_secs_f64(), goodput: goodput.fraction(), changes, settled_s }
}

/// Whether the command assigns a table or sets an entry of one.
fn sets_table(answered: &AnsweredCommand) -> bool {
    let command = &answered.command;
    command.starts_with("add server") || command.contains(" map classes ") || command.contains(" weight ")
}

/// Whether the command changes a weight or an admission rate.
fn changes_weight(answered: &AnsweredCommand) -> bool {
    answered.command.contains(" weight ") || answered.command.starts_with("set var proc.level_")
}

fn cross_zone_fraction(records: &[TrafficRecord], zones: &ZonesByName) -> f64 {
    let mut arrivals: u32 = 0;
    let mut cross_zone: u32 = 0;
    for record in records {
        let TrafficEvent::RequestArrived { endpoint, proxy, .. } = &record.event else { continue };
        arrivals += 1;
        cross_zone += u32::from(zones.get(endpoint) != zones.get(proxy));
    }
    f64::from(cross_zone) / f64::from(arrivals.max(1))
}

fn weight_changes(records: &[TrafficRecord]) -> Vec<usize> {
    let mut changes = Vec::new();
    for record in records {
        let TrafficEvent::UpdateAnswered { commands, .. } = &record.event else { continue };
        let window = (record.at.as_secs() / WINDOW.as_secs()) as usize;
        changes.resize(changes.len().max(window + 1), 0);
        changes[window] += commands.iter().filter(|answered| changes_weight(answered)).count();
    }
    changes
}
