//! The five rules, judged from the tap.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lockcroft::Settings;
use lockcroft_testbed::{TrafficEvent, TrafficRecord};
use serde::Serialize;

use crate::seen::ObservedState;
use crate::shares::shares;

/// The limits as the terms state them.
#[derive(Clone, Debug)]
pub struct Limits {
    pub classes: Vec<String>,
    /// Classes of which no effect may happen twice: all but safe ones.
    pub once: Vec<String>,
    pub unserved_most: Duration,
    pub drain_grace: Duration,
    pub only_draining_binds: bool,
    pub cold_share: f64,
    pub warm_within: Duration,
    pub cold_multiple: f64,
    pub cold_span: Duration,
    pub queue_most: f64,
    pub messages_most: f64,
    pub messages_span: Duration,
    /// Proxies choose evenly by weight, and nothing but orders and failures keeps them from it.
    pub even: bool,
}

impl Limits {
    pub fn new(settings: &Settings) -> Self {
        let unsafe_ones =
            settings.classes.iter().filter(|class| class.effect.as_ref().is_some_and(|e| e != "safe"));
        Limits {
            once: unsafe_ones.filter_map(|class| class.name.clone()).collect(),
            classes: settings.classes.iter().filter_map(|class| class.name.clone()).collect(),
            unserved_most: settings.rules.max_unserved,
            drain_grace: settings.rules.drain_grace.unwrap_or_default(),
            only_draining_binds: settings.rules.only_draining_binds,
            cold_share: settings.rules.initial_weight_fraction,
            warm_within: settings.rules.slow_start_window,
            cold_multiple: settings.rules.warming_overload_factor,
            cold_span: settings.rules.warming_overload_window,
            queue_most: settings.fleet.max_queued_entries,
            messages_most: settings.fleet.max_messages,
            messages_span: settings.fleet.message_window,
            even: true,
        }
    }
}

/// One rule with its figure, which must not pass its limit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckResult {
    pub rule: &'static str,
    /// What the figure counts.
    pub of: &'static str,
    pub figure: f64,
    pub limit: f64,
    /// Who and when, at the figure.
    pub at: String,
}

impl CheckResult {
    pub(crate) fn new(rule: &'static str, of: &'static str, limit: f64) -> Self {
        CheckResult { rule, of, figure: 0.0, limit, at: String::new() }
    }

    pub(crate) fn met(&mut self, figure: f64, at: impl FnOnce() -> String) {
        if figure > self.figure {
            (self.figure, self.at) = (figure, at());
        }
    }

    pub fn kept(&self) -> bool {
        self.figure <= self.limit
    }
}

/// Goes through the record once, in order.
pub fn judge(records: &[TrafficRecord], limits: &Limits) -> Vec<CheckResult> {
    let mut judge = Judge {
        limits,
        relays: BTreeMap::new(),
        listed: BTreeMap::new(),
        ran: BTreeMap::new(),
        cold: BTreeMap::new(),
        sent: BTreeMap::new(),
        waiting: BTreeMap::new(),
        bare: CheckResult::new("endpoint for all", "s without a line", limits.unserved_most.as_secs_f64()),
        twice: CheckResult::new("no effect twice", "visits run twice", 0.0),
        drains: CheckResult::new("drains kept", "s after told", limits.drain_grace.as_secs_f64()),
        pushed: CheckResult::new("no cold pushed over", "times capacity", limits.cold_multiple),
        queue: CheckResult::new("short queue", "lines waiting", limits.queue_most),
        messages: CheckResult::new("few messages", "messages in the span", limits.messages_most),
    };
    for record in records {
        judge.take(record);
    }
    if let Some(last) = records.last() {
        judge.bare_now(last.at);
    }
    let choices = judge.choices(records);
    let second = second_tries(records);
    let mut shares = shares(records, |relay| judge.relays.get(relay).map(|(seen, _)| seen));
    shares.limit = if limits.even { shares.limit } else { f64::INFINITY };
    vec![
        judge.bare,
        judge.twice,
        judge.drains,
        judge.pushed,
        judge.queue,
        judge.messages,
        choices,
        second,
        shares,
    ]
}

/// No visit is sent anywhere once it has begun to run somewhere: callers of a day do not repeat
/// theirs, so a later arrival is a proxy's second try.
fn second_tries(records: &[TrafficRecord]) -> CheckResult {
    let mut verdict = CheckResult::new("second tries", "tries after one that ran", 0.0);
    let mut ran = BTreeMap::new();
    for record in records {
        match &record.what {
            TrafficEvent::Ran { visit, endpoint, .. } => drop(ran.insert(*visit, endpoint)),
            TrafficEvent::Arrived { visit, endpoint, .. } => {
                if let Some(first) = ran.get(visit) {
                    let figure = verdict.figure + 1.0;
                    verdict.met(figure, || format!("visit {visit} at {endpoint} after {first}"));
                }
            }
            _ => {}
        }
    }
    verdict
}

/// A started process: when, its full capacity, and what came of late.
struct Cold {
    since: Duration,
    capacity: f64,
    came: VecDeque<(Duration, f64)>,
}

#[derive(Clone, Copy)]
struct Listed {
    ready: bool,
    /// When the list first said that visits must not go there.
    out_since: Option<Duration>,
    started: Option<Duration>,
}

struct Judge<'a> {
    limits: &'a Limits,
    /// What each relay holds, and since when a class of it has been without a line.
    relays: BTreeMap<String, (ObservedState, Option<Duration>)>,
    listed: BTreeMap<String, Listed>,
    ran: BTreeMap<u64, u32>,
    cold: BTreeMap<String, Cold>,
    sent: BTreeMap<String, VecDeque<Duration>>,
    /// Commands by relay that came in and were not carried out yet.
    waiting: BTreeMap<String, usize>,
    bare: CheckResult,
    twice: CheckResult,
    drains: CheckResult,
    pushed: CheckResult,
    queue: CheckResult,
    messages: CheckResult,
}

impl Judge<'_> {
    fn take(&mut self, record: &TrafficRecord) {
        let at = record.at;
        match &record.what {
            TrafficEvent::Listed { servers } => {
                self.bare_now(at);
                self.list(at, servers);
            }
            TrafficEvent::Standing { relay, servers } => {
                let classes = self.limits.classes.clone();
                self.seen(at, relay, |seen| seen.standing(servers, &classes));
            }
            TrafficEvent::Stream { relay, open } => {
                // What was on its way when the stream broke waits no longer.
                self.waiting.remove(relay);
                self.seen(at, relay, |seen| seen.stream(at, *open));
            }
            TrafficEvent::Stalled { relay, on } => self.seen(at, relay, |seen| seen.stall(at, *on)),
            TrafficEvent::Line { relay, commands } => self.line(at, relay, *commands),
            TrafficEvent::Set { relay, orders } => {
                let waiting = self.waiting.entry(relay.clone()).or_default();
                *waiting = waiting.saturating_sub(orders.len());
                self.seen(at, relay, |seen| seen.set(orders));
            }
            TrafficEvent::Laid { relay, set, tables, map, withdrawn } => {
                self.seen(at, relay, |seen| seen.laid(*set, tables, map, withdrawn));
            }
            TrafficEvent::Arrived { endpoint, relay, work, .. } => {
                self.drained(at, endpoint, relay);
                self.arrived_cold(at, endpoint, *work);
            }
            TrafficEvent::Ran { visit, class, endpoint } => {
                let times = self.ran.entry(*visit).or_default();
                *times += 1;
                if *times > 1 && self.limits.once.contains(class) {
                    let figure = self.twice.figure + 1.0;
                    self.twice
                        .met(figure, || format!("visit {visit} at {endpoint} at {:.1} s", at.as_secs_f64()));
                }
            }
            TrafficEvent::Started { endpoint, capacity } => {
                let cold = Cold { since: at, capacity: *capacity, came: VecDeque::new() };
                self.cold.insert(endpoint.clone(), cold);
            }
            TrafficEvent::Fell { endpoint } => {
                let limit = self.limits.cold_multiple;
                self.pushed.met(limit * 1.001, || format!("{endpoint} fell at {:.1} s", at.as_secs_f64()));
            }
            TrafficEvent::Visit { .. } | TrafficEvent::Stopped { .. } => {}
        }
    }

    /// Every choice is held against the table in force: the proxy names it with its version, and what
    /// that held is known from the orders.
    fn choices(&self, records: &[TrafficRecord]) -> CheckResult {
        let mut verdict = CheckResult::new("choices by table", "choices outside it", 0.0);
        for record in records {
            let TrafficEvent::Arrived { endpoint, relay, table, .. } = &record.what else { continue };
            let could = self.relays.get(relay).is_some_and(|(seen, _)| seen.could_pick(table, endpoint));
            if !could {
                let figure = verdict.figure + 1.0;
                let at = record.at.as_secs_f64();
                verdict.met(figure, || format!("{relay} to {endpoint} by {table} at {at:.1} s"));
            }
        }
        verdict
    }

    fn list(&mut self, at: Duration, servers: &[(String, String, Option<Duration>)]) {
        let before = std::mem::take(&mut self.listed);
        let missing = before.iter().filter(|(name, _)| !servers.iter().any(|(known, ..)| known == *name));
        let gone = missing.map(|(name, listed)| (name.clone(), "gone".to_string(), listed.started));
        for (name, state, started) in servers.iter().cloned().chain(gone.collect::<Vec<_>>()) {
            let binds = state == "draining" || state == "gone" && !self.limits.only_draining_binds;
            let was = before.get(&name).and_then(|listed| listed.out_since);
            let out_since = binds.then(|| was.unwrap_or(at));
            self.listed.insert(name, Listed { ready: state == "ready", out_since, started });
        }
    }

    /// Changes what is known of a relay, and sees whether it was or is without a line.
    fn seen(&mut self, at: Duration, relay: &str, change: impl FnOnce(&mut ObservedState)) {
        let some_open = self.some_open(at);
        let (seen, since) = self.relays.entry(relay.into()).or_default();
        change(seen);
        let bare = seen.joined.is_some() && seen.bare() && some_open;
        if let Some(from) = *since {
            let stretch = (at - from).as_secs_f64();
            self.bare.met(stretch, || format!("{relay} until {:.1} s", at.as_secs_f64()));
        }
        *since = if bare { since.or(Some(at)) } else { None };
    }

    fn bare_now(&mut self, at: Duration) {
        let relays: Vec<String> = self.relays.keys().cloned().collect();
        relays.iter().for_each(|relay| self.seen(at, relay, |_| {}));
    }

    /// Whether the list shows a server that is ready and no longer cold.
    fn some_open(&self, at: Duration) -> bool {
        let warm = |listed: &Listed| listed.started.is_none_or(|start| start + self.limits.warm_within <= at);
        self.listed.values().any(|listed| listed.ready && warm(listed))
    }

    fn drained(&mut self, at: Duration, endpoint: &str, relay: &str) {
        let out = self.listed.get(endpoint).and_then(|listed| listed.out_since);
        let joined = self.relays.get(relay).and_then(|(seen, _)| seen.joined);
        if let (Some(out), Some(joined)) = (out, joined) {
            let late = (at - out.max(joined)).as_secs_f64();
            self.drains.met(late, || format!("{relay} to {endpoint} at {:.1} s", at.as_secs_f64()));
        }
    }

    fn arrived_cold(&mut self, at: Duration, endpoint: &str, work: f64) {
        let limits = self.limits;
        let Some(cold) = self.cold.get_mut(endpoint) else { return };
        let grown = (at - cold.since).as_secs_f64() / limits.warm_within.as_secs_f64();
        let warmth = limits.cold_share + (1.0 - limits.cold_share) * grown;
        if warmth >= 1.0 {
            self.cold.remove(endpoint);
            return;
        }
        cold.came.push_back((at, work));
        while cold.came.front().is_some_and(|(came, _)| *came + limits.cold_span < at) {
            cold.came.pop_front();
        }
        let came: f64 = cold.came.iter().map(|(_, work)| work).sum();
        let times = came / (warmth * cold.capacity * limits.cold_span.as_secs_f64());
        self.pushed.met(times, || format!("{endpoint} at {:.1} s", at.as_secs_f64()));
    }

    fn line(&mut self, at: Duration, relay: &str, commands: usize) {
        *self.waiting.entry(relay.into()).or_default() += commands;
        let waiting = self.waiting.values().sum::<usize>() as f64;
        self.queue.met(waiting, || format!("at {:.1} s", at.as_secs_f64()));
        let sent = self.sent.entry(relay.into()).or_default();
        sent.push_back(at);
        while sent.front().is_some_and(|first| *first + self.limits.messages_span < at) {
            sent.pop_front();
        }
        let count = sent.len() as f64;
        self.messages.met(count, || format!("{relay} at {:.1} s", at.as_secs_f64()));
    }
}
