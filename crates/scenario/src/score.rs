//! Goodput: the value that was earned by answered requests, as a fraction of the value of all requests. Other
//! programs read the names in JSON, which are fixed.

use std::collections::BTreeMap;
use std::time::Duration;

use lockcroft::Settings;
use lockcroft_testbed::{AnsweredCommand, TrafficEvent, TrafficRecord};
use serde::{Deserialize, Serialize};

/// The length of the windows for which goodput is given separately.
const WINDOW: Duration = Duration::from_secs(10);
/// The time after a restart of the controller that is scored separately.
const RESTART_WINDOW: Duration = Duration::from_secs(20);
/// The tables count as restored after a restart once there was no update for this long, as weights change at all times.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// The zones of endpoints and proxies, by the name of the endpoint or proxy.
pub type ZonesByName = BTreeMap<String, String>;

/// The score of the 20 s after a restart of the controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RestartScore {
    /// The time of the restart, in seconds since the start of the scenario.
    pub at_s: f64,
    /// The goodput of the requests that were sent in this time, from 0 to 1.
    #[serde(rename = "fulfilled")]
    pub goodput: f64,
    /// The number of commands in this time that change a weight or an admission rate, at all proxies together.
    pub changes: usize,
    /// The time from the restart to the last command that assigns a table or sets an entry, before a pause of over 1 s
    /// between updates, in seconds; 0 if there was none.
    pub settled_s: f64,
}

/// The goodput of a scenario, from 0 to 1, in total, by class and over time, with related figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// The number of completed requests.
    #[serde(rename = "visits")]
    pub requests: usize,
    /// The goodput of all requests.
    #[serde(rename = "whole")]
    pub goodput: f64,
    /// The goodput of the worst 10 s, by the time when requests were sent.
    #[serde(rename = "worst_window")]
    pub worst_window_goodput: f64,
    /// The start of the worst 10 s, in seconds since the start of the scenario.
    #[serde(rename = "worst_at_s")]
    pub worst_window_at_s: f64,
    /// The goodput of each 10 s from the start.
    #[serde(rename = "tens")]
    pub window_goodput: Vec<f64>,
    /// The goodput of each class, by name.
    #[serde(rename = "classes")]
    pub class_goodput: BTreeMap<String, f64>,
    /// The fraction of attempts that were sent to an endpoint of another zone than the proxy's.
    #[serde(rename = "crossing")]
    pub cross_zone_fraction: f64,
    /// The number of commands that change a weight or an admission rate, at all proxies together, in each 10 s from the
    /// start.
    pub changes: Vec<usize>,
    /// The scores of the time after each restart of the controller.
    pub restarts: Vec<RestartScore>,
}

/// Scores a record. A successful response within the latency objective earns the full value of its class, a later one
/// the fraction from the settings. `zones` contains the zones of endpoints and proxies, `restarts` the times at which
/// the controller was restarted.
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
        class_goodput: totals
            .by_class
            .into_iter()
            .map(|(class, goodput)| (class, goodput.fraction()))
            .collect(),
    }
}

/// The value of a request of a class.
struct ClassValue {
    latency_objective_s: f64,
    value: f64,
    /// The fraction of the value that a response after the latency objective earns.
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

    /// Returns the fraction of its value that a request earns, from 0 to 1.
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

/// The value of requests and the part of it that was earned.
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

    /// Returns the earned fraction of the value; 1 if there were no requests.
    fn fraction(&self) -> f64 {
        if self.requested > 0.0 { self.earned / self.requested } else { 1.0 }
    }
}

/// The goodput of the records added so far.
struct Totals {
    requests: usize,
    all: Goodput,
    by_class: BTreeMap<String, Goodput>,
    /// Overlapping windows, by the second at which they begin.
    windows: BTreeMap<u64, Goodput>,
    /// The goodput after each restart, with the time of the restart.
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
        // A window begins at each second; a request counts in all windows that contain it.
        let second = sent_at.as_secs();
        for begin in second.saturating_sub(WINDOW.as_secs() - 1)..=second {
            self.windows.entry(begin).or_default().add(value, fraction);
        }
    }

    /// Returns the window with the lowest goodput, among those that end within the record.
    fn worst_window(&self) -> Option<(u64, Goodput)> {
        let last = self.windows.keys().last().map_or(0, |last| last.saturating_sub(WINDOW.as_secs() - 1));
        let complete = self.windows.iter().filter(|(begin, _)| **begin <= last);
        let worst = complete.min_by(|(_, a), (_, b)| a.fraction().total_cmp(&b.fraction()));
        worst.map(|(begin, goodput)| (*begin, *goodput))
    }

    /// Returns the goodput of the successive windows from the start.
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
    let mut last_change: Option<Duration> = None;
    let mut is_quiet = false;
    for (updated_at, commands) in updates {
        changes += commands.iter().filter(|answered| changes_weight(answered)).count();
        is_quiet |= last_change.is_some_and(|last| updated_at > last + QUIET_TIME);
        if !is_quiet && commands.iter().any(sets_table) {
            last_change = Some(updated_at);
        }
    }
    let settled_s = last_change.map_or(0.0, |last| (last - at).as_secs_f64());
    RestartScore { at_s: at.as_secs_f64(), goodput: goodput.fraction(), changes, settled_s }
}

/// Returns true if the command assigns a table or sets an entry.
fn sets_table(answered: &AnsweredCommand) -> bool {
    let command = &answered.command;
    command.starts_with("add server") || command.contains(" map classes ") || command.contains(" weight ")
}

/// Returns true if the command changes a weight or an admission rate.
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

/// Returns the number of changes of weights and admission rates in each window from the start.
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
