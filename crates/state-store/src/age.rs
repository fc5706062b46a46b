//! What of a memory is still good. Each kind of knowledge loses force with its age, by a rule that rests on the terms;
//! `docs/memory.md` has the table with the reasons. Nothing here makes a pilot less careful than one that knows
//! nothing: what was well is not believed, what was ill is, for a while.

use std::time::Duration;

use crate::state::{EndpointNote, EntryValue, Key, State};

/// Half of the relief that a server lacked is given back after so many report periods, as it would have regained it.
const RELIEF_HALF: f64 = 10.0;
/// A level stands for so many report periods, and what it kept out comes back by halves of it in as many each.
const LEVEL_STANDS: f64 = 3.0;
/// A doubt is of the last few report periods or of none.
const DOUBT_MOST: f64 = 10.0;
/// Proxies that were away for longer start anew: servers that went before need no naming.
const GONE_MOST: Duration = Duration::from_secs(24 * 3600);
/// What a server's size was holds for about a working day.
const SIZE_MOST: Duration = Duration::from_secs(12 * 3600);
/// Levels and relief nearer to all than this are all.
const NEARLY: f64 = 0.975;

/// Figures of the terms that the rules rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeingRules {
    pub report_period: Duration,
    pub warm_within: Duration,
}

/// What is still good of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredEndpoint {
    pub name: String,
    pub zone: String,
    pub kind: String,
    /// Off the list, or drained, when it was last heard of: proxies may still hold it.
    pub out: bool,
    /// Share of its weight.
    pub relief: f64,
    /// How long ago its process started and how long it still warms up; none if it is warm.
    pub warming: Option<(Duration, Duration)>,
    /// Passing probes do not count for so long.
    pub doubted: Duration,
}

/// What is still good, in the order of names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    pub servers: Vec<RecoveredEndpoint>,
    /// Class, table, share let in: only those below all.
    pub levels: Vec<(String, u32, f64)>,
    /// Cores by server.
    pub sizes: Vec<(String, f64)>,
    /// Entries that are from the future: the clock was set back since.
    pub ahead: usize,
}

/// What is good of a state by this time of the wall's clock, in milliseconds.
pub fn age(state: &State, now_ms: u64, rules: &AgeingRules) -> RecoveredState {
    let mut recalled = RecoveredState::default();
    let period = rules.report_period.as_secs_f64().max(1e-3);
    for (key, (at_ms, what)) in state {
        // A clock that was set back leaves nothing to age by. A small step, as clocks make them, counts as just now.
        let ahead = at_ms.saturating_sub(now_ms) > rules.report_period.as_millis() as u64;
        recalled.ahead += usize::from(ahead);
        let since = Duration::from_millis(now_ms.saturating_sub(*at_ms));
        let periods = since.as_secs_f64() / period;
        match (key, what) {
            (Key::Server(name), EntryValue::Server(note)) => {
                recalled.servers.extend(server(name, note, now_ms, since, periods, ahead, rules));
            }
            (Key::Level(class, table), EntryValue::Level(level)) if !ahead => {
                let back = 0.5_f64.powf((periods / LEVEL_STANDS - 1.0).max(0.0));
                let level = 1.0 - (1.0 - level) * back;
                recalled.levels.extend((level < NEARLY).then(|| (class.clone(), *table, level)));
            }
            (Key::Size(name), EntryValue::Size(cores)) if !ahead && since < SIZE_MOST => {
                recalled.sizes.push((name.clone(), *cores));
            }
            _ => {}
        }
    }
    recalled
}

fn server(
    name: &str,
    note: &EndpointNote,
    now_ms: u64,
    since: Duration,
    periods: f64,
    ahead: bool,
    rules: &AgeingRules,
) -> Option<RecoveredEndpoint> {
    let left = |until_ms: u64| Duration::from_millis(until_ms.saturating_sub(now_ms));
    // To name one that is gone costs a line at those who hold it, whenever that was.
    let out = (note.gone || note.draining) && (ahead || since < GONE_MOST);
    let relief = 1.0 - (1.0 - note.relief) * 0.5_f64.powf(periods / RELIEF_HALF);
    // Rounding must not take a little more from a server than was noted.
    let relief = if ahead || relief > NEARLY { 1.0 } else { relief.max(note.relief) };
    // A warm-up that ended meanwhile has ended; one that would last longer than any is not believed beyond that.
    let warms = left(note.warm_ms).min(rules.warm_within);
    let started = Duration::from_millis(now_ms.saturating_sub(note.started_ms)).min(rules.warm_within);
    let warming = (!ahead && !warms.is_zero()).then_some((started, warms));
    let doubted = if ahead { Duration::ZERO } else { left(note.doubted_until_ms) };
    let doubted = doubted.min(rules.report_period.mul_f64(DOUBT_MOST));
    let says = out || relief < 1.0 || warming.is_some() || !doubted.is_zero();
    says.then(|| RecoveredEndpoint {
        name: name.into(),
        zone: note.zone.clone(),
        kind: note.kind.clone(),
        out,
        relief,
        warming,
        doubted,
    })
}
