//! All decisions of lockcroft, with every table and tuned value.
//!
//! How it is called: the host makes one [`Pilot`] an instance and calls the method named for what
//! became known (`listed`, `probed`, `reported`, `counted`, `joined`, `left`). These only update what
//! is known. It then pulls `next_decision(now)` until there is none, and comes back at `next_due`.
//! The types of the interface stand in `lib.rs`, what is read at the start in `terms.rs`.
//!
//! The design: probes move a saturating rise/fall counter; a server has its listed weight while it is
//! up and none otherwise; one shared table a class; only changed lines go out; after a start nothing
//! is pushed until probes converge. Beside it stand six mechanisms:
//! 1. Evidence: what proxies met at a server moves its counter too, up and down.
//! 2. Relief: servers that miss the contract time drop in weight, first for classes with more choice.
//! 3. Return: a started server begins with the stated cold share, or with none while all is uneasy.
//! 4. Pace: one budget for the queue and the message limit, with room kept for drains.
//! 5. Admission: where a class's servers are late as a whole, the least earnings per work stay out.
//! 6. Second tries: only after proof that the first never ran, and while there is headroom.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::chance::Chance;
use crate::{Class, Decision, Finding, Kind, Listed, Listing, Proxy, SecondTry, Server, Terms, Zone};

// The design's figures, from its page.
const RISE: u32 = 2;
const FALL: u32 = 3;
const TOP: u32 = RISE + FALL - 1;
const PROBE_STEADY: Duration = Duration::from_millis(1000);
const PROBE_BETWEEN: Duration = Duration::from_millis(500);
const PROBE_DOWN: Duration = Duration::from_millis(2000);
const PROBE_WAIT: Duration = Duration::from_millis(500);
const GATHER: Duration = Duration::from_millis(200);
const RESEND: Duration = Duration::from_secs(5);
const HOLD_LEAST: Duration = Duration::from_secs(5);
const HOLD_MOST: Duration = Duration::from_secs(10);

/// The part of the grace after which a hold gives way to it.
const GIVE_WAY: f64 = 0.3;
/// Probes are spread by this share of their interval, so that they don't march in step.
const JITTER: f64 = 0.1;
/// A line is not worth its cost while it is off by less than this share; the resend takes all.
const TOLERANCE: f64 = 0.1;
/// Share of failed tries from which a server is taken to be down, and below which it is well.
const FAILING: f64 = 0.85;
const SOUND: f64 = 0.2;
/// Mean time over contract time from which servers count as late, and below which there is room.
const LATE: f64 = 0.4;
const ROOM: f64 = 0.28;
/// Share of a server's cores in use from which its answers will be late, before reports tell.
const BUSY: f64 = 0.95;
/// A server is late on its own only if it is so much worse than the fleet.
const WORSE: f64 = 1.6;
/// One step of relief takes at most this much, one step back gives so much.
const RELIEF_DROP: f64 = 0.7;
const RELIEF_BACK: f64 = 0.04;
const RELIEF_LEAST: f64 = 0.3;
/// What one cut leaves at least of a level, how it grows back in one step, and what is always left.
const SHED_STEP: f64 = 0.6;
const SHED_BACK: f64 = 2.0;
const ALWAYS_LEFT: f64 = 0.2;
/// This share of what reports told of a server is kept each report period, and of what came.
const FADE: f64 = 0.3;
const KEEP: f64 = 0.9;
/// Reports tell of a change after so many report periods and the way of a message.
const SETTLE: f64 = 1.5;
/// The fleet stays uneasy for this part of the time in which a server warms up.
const UNEASY: f64 = 0.5;
/// Shares of the limits on queue and messages that common changes, bindings and drains may fill.
const COMMON: f64 = 0.5;
const BINDING: f64 = 0.75;
const DRAINING: f64 = 0.95;
/// The channel is taken to send this many times slower than stated: on bad days it does.
const SLOWEST: f64 = 8.0;

#[derive(Clone, Copy, Default)]
struct Tally {
    tries: f64,
    failed: f64,
    /// Seconds spent on tries that were answered.
    answered: f64,
}

impl Tally {
    /// This, and `keep` of what was before.
    fn over(self, before: Tally, keep: f64) -> Tally {
        let sum = |new: f64, old: f64| new + old * keep;
        let answered = sum(self.answered, before.answered);
        Tally { tries: sum(self.tries, before.tries), failed: sum(self.failed, before.failed), answered }
    }

    fn failing(&self) -> f64 {
        if self.tries > 0.0 { self.failed / self.tries } else { 0.0 }
    }

    /// Mean time in units of the contract time, a failure counting as one that was just missed.
    fn lateness(&self, contract: f64) -> f64 {
        if self.tries > 0.0 { (self.answered / contract + self.failed) / self.tries } else { 0.0 }
    }
}

#[derive(Default)]
struct Known {
    listing: Listing,
    /// `None` until the first result.
    counter: Option<u32>,
    probe_sent: Option<Duration>,
    /// Its process started at the one time, and is warm by the other.
    started: Duration,
    warm_at: Duration,
    relief: f64,
    /// Reports before this time tell of the server as it was before it started or came back.
    heed_from: Duration,
    /// Condemned by reports: passing probes don't count before this time.
    doubted_until: Duration,
    /// What reports told since the last review, and of late.
    fresh: Tally,
    recent: Tally,
    load: f64,
    withdrawn: bool,
}

impl Known {
    fn late(&self, contract: f64) -> f64 {
        self.recent.lateness(contract).max(if self.load > BUSY { WORSE * LATE } else { 0.0 })
    }

    fn up(&self) -> bool {
        self.counter.is_some_and(|counter| counter >= RISE)
    }

    /// So many results come in at once; the first one decides directly.
    fn moved(&mut self, by: i32) {
        self.counter = match self.counter {
            None if by == 0 => None,
            None => Some(if by > 0 { TOP } else { 0 }),
            Some(counter) => Some(counter.saturating_add_signed(by).min(TOP)),
        };
    }

    fn barred(&self, terms: &Terms) -> bool {
        match self.listing.state {
            Listed::Ready => false,
            Listed::Draining => true,
            Listed::Gone => !terms.flag("rules.only_draining_binds"),
        }
    }

    fn cold(&self, now: Duration) -> bool {
        now < self.warm_at
    }

    /// The share of its work that it can surely do, growing evenly from the cold share.
    fn warmth(&self, now: Duration, terms: &Terms) -> f64 {
        let left = self.warm_at.saturating_sub(now).as_secs_f64();
        let all = (self.warm_at - self.started).as_secs_f64().max(1e-6);
        1.0 - (1.0 - terms.number("rules.cold_share").unwrap_or(1.0)) * left / all
    }
}

struct Joined {
    zone: Zone,
    bound: Vec<bool>,
    messages: VecDeque<Duration>,
}

#[derive(Default)]
struct Table {
    contract: f64,
    earnings: f64,
    zones: Option<Vec<Zone>>,
    kinds: Option<Vec<Kind>>,
    released: bool,
    /// What was published: weights, and what is let in.
    lines: BTreeMap<Server, f64>,
    admitted: Option<(f64, SecondTry)>,
    /// Visits that came of late, and the share that should be let in.
    demand: f64,
    level: f64,
    /// What it keeps of its part at servers that classes with less choice need.
    kept: f64,
}

impl Table {
    fn serves(&self, listing: &Listing) -> bool {
        let zone = self.zones.as_ref().is_none_or(|zones| zones.contains(&listing.zone));
        zone && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&listing.kind))
    }

    fn narrow(&self) -> bool {
        self.zones.is_some() || self.kinds.is_some()
    }

    fn held(&self, server: Server) -> f64 {
        self.lines.get(&server).copied().unwrap_or(0.0)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Probe(Server),
    ProbeLost(Server),
}

#[derive(Default)]
pub struct Pilot {
    terms: Terms,
    chance: Chance,
    tables: Vec<Table>,
    outdated: bool,
    servers: BTreeMap<Server, Known>,
    proxies: BTreeMap<Proxy, Joined>,
    /// All due times but that of the beat.
    due: BTreeSet<(Duration, Due)>,
    ready: VecDeque<Decision>,
    /// Levels rest until then, for reports to tell what they changed.
    next_step: Duration,
    /// Started servers are not safe before: proxies that fail elsewhere, still shun what they could not
    /// reach, or come back as levels rise bring all to a started server, however small its weight.
    uneasy_until: Duration,
    /// The one timer, and what hangs on it.
    next_beat: Duration,
    next_review: Duration,
    next_resend: Duration,
    next_push: Duration,
    /// Common changes may go out at this time: all that differs, or what is worth its line.
    pushing: Option<(Duration, bool)>,
    /// Lines that wait in the channel, as far as that is known, at a time.
    queued: (f64, Duration),
}

impl Pilot {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let table = |class: Class| {
            let name = |what: &str| format!("classes.{class}.{what}");
            let contract = terms.time(&name("contract_time_us")).filter(|time| !time.is_zero());
            Table {
                contract: contract.unwrap_or(PROBE_STEADY).as_secs_f64(),
                earnings: terms.number(&name("earnings")).unwrap_or(1.0),
                zones: terms.positions(&name("only_zones"), "zones"),
                kinds: terms.positions(&name("only_kinds"), "kinds"),
                level: 1.0,
                kept: 1.0,
                ..Table::default()
            }
        };
        let tables = (0..terms.count("classes")).map(table).collect();
        Pilot { chance: Chance::new(seed), tables, next_resend: RESEND, terms, ..Pilot::default() }
    }

    // What became known.

    /// The list of servers is at this version; `full` says that the entries are all of it.
    pub fn listed(&mut self, now: Duration, full: bool, version: u64, entries: &[Listing]) {
        self.outdated |= self.servers.is_empty() && version > 0;
        let missing = |server: &Server| !entries.iter().any(|entry| entry.server == *server);
        for (_, known) in self.servers.iter_mut().filter(|(server, _)| full && missing(server)) {
            known.listing.state = Listed::Gone;
        }
        let (within, settle) = (self.warm_within(), self.settle());
        for entry in entries {
            let soon = now + self.jitter(GATHER, 1.0);
            let gone = Listing { state: Listed::Gone, ..*entry };
            let new = Known { listing: gone, relief: 1.0, ..Known::default() };
            let known = self.servers.entry(entry.server).or_insert(new);
            let was = std::mem::replace(&mut known.listing, *entry).state;
            let age = entry.age.unwrap_or(within);
            let warm_at = (now + within).saturating_sub(age);
            // Repeated or older news of a start changes nothing.
            let started = warm_at > now && warm_at > known.warm_at;
            if started {
                (known.started, known.warm_at) = (now.saturating_sub(age), warm_at);
            }
            // A new process knows nothing of the old one's health. Where probes are not allowed, all
            // count as having passed one.
            if started || was != Listed::Ready && entry.state == Listed::Ready {
                known.counter = (!self.terms.flag("allowed.probes")).then_some(TOP);
                known.doubted_until = Duration::ZERO;
                (known.fresh, known.recent) = (Tally::default(), Tally::default());
                known.heed_from = now + settle;
                self.schedule(entry.server, soon);
            }
        }
    }

    pub fn probed(&mut self, now: Duration, server: Server, finding: Finding, took: Duration) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        let by = match finding {
            Finding::Passed(load) => {
                known.load = load.unwrap_or(0.0);
                i32::from(now >= known.doubted_until)
            }
            Finding::TurnedAway => 0,
            Finding::Failed | Finding::Refused => -1,
        };
        // What comes after the wait was counted as lost then.
        if took <= PROBE_WAIT && known.probe_sent.is_some() {
            self.probe_ended(now, server, by);
        }
    }

    /// What proxies met at a server: `took` is the mean time of the tries that were answered.
    pub fn reported(&mut self, now: Duration, server: Server, tries: u32, failed: u32, took: Duration) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        if now < known.heed_from {
            return;
        }
        let (tries, failed) = (f64::from(tries), f64::from(failed.min(tries)));
        let told = Tally { tries, failed, answered: (tries - failed) * took.as_secs_f64() };
        known.fresh = told.over(known.fresh, 1.0);
    }

    pub fn counted(&mut self, class: Class, visits: u32) {
        if let Some(table) = self.tables.get_mut(class) {
            table.demand += f64::from(visits);
        }
    }

    /// A proxy's stream stands. Its tables are of before; unless `fresh`, it may shun what failed it.
    pub fn joined(&mut self, now: Duration, proxy: Proxy, zone: Zone, fresh: bool) {
        if !fresh && self.terms.number("fleet.shuns_after").is_some_and(|tries| tries > 0.0) {
            self.uneasy_until = now + self.warm_within().mul_f64(UNEASY);
        }
        let bound = vec![false; self.tables.len()];
        self.proxies.insert(proxy, Joined { zone, bound, messages: VecDeque::new() });
        // Withdrawals that went out before have not reached it.
        let kept_out: Vec<bool> = self.servers.values().map(|known| self.kept_out(now, known)).collect();
        for (known, kept_out) in self.servers.values_mut().zip(kept_out) {
            known.withdrawn &= !kept_out;
        }
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.proxies.remove(&proxy);
    }

    // What is decided.

    pub fn next_due(&self) -> Duration {
        self.due.first().map_or(self.next_beat, |(time, _)| self.next_beat.min(*time))
    }

    pub fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        self.pass_time(now);
        self.withdrawal(now)
            .or_else(|| self.change(now))
            .or_else(|| self.binding(now))
            .or_else(|| self.ready.pop_front())
    }

    fn pass_time(&mut self, now: Duration) {
        while let Some((time, due)) = self.due.first().copied().filter(|(time, _)| *time <= now) {
            self.due.remove(&(time, due));
            match due {
                Due::Probe(server) => self.probe(now, server),
                Due::ProbeLost(server) => self.probe_ended(now, server, -1),
            }
        }
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + GATHER;
        if now >= self.next_review {
            self.next_review = now + self.period();
            self.review(now);
        }
        // A list that changed before this start has lost servers that proxies may still hold, and that
        // cannot be named: the hold gives way, so that all are on these tables within the grace.
        let grace = self.terms.time("rules.drain_grace_us").unwrap_or(HOLD_MOST);
        let most = if self.outdated { HOLD_MOST.min(grace.mul_f64(GIVE_WAY)) } else { HOLD_MOST };
        for class in 0..self.tables.len() {
            let mut servers = self.servers.values().filter(|known| self.tables[class].serves(&known.listing));
            if now >= HOLD_LEAST.min(most) && servers.all(|known| known.counter.is_some()) {
                self.release(class, "all its servers have a result");
            } else if now >= most {
                self.release(class, "the hold is over");
            }
        }
        if now >= self.next_push {
            let all = now >= self.next_resend;
            self.next_resend = if all { now + RESEND } else { self.next_resend };
            self.pushing = Some((now, all));
        }
    }

    fn release(&mut self, class: Class, why: &str) {
        if !std::mem::replace(&mut self.tables[class].released, true) {
            let text = format!("{}: table released, {why}", self.class_name(class));
            self.ready.push_back(Decision::Note { about: None, text });
        }
    }

    fn schedule(&mut self, server: Server, time: Duration) {
        self.due.retain(|(_, due)| *due != Due::Probe(server));
        if self.terms.flag("allowed.probes") {
            self.due.insert((time, Due::Probe(server)));
        }
    }

    fn probe(&mut self, now: Duration, server: Server) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        if known.barred(&self.terms) {
            self.schedule(server, now + PROBE_DOWN);
        } else if known.probe_sent.is_none() {
            known.probe_sent = Some(now);
            self.ready.push_back(Decision::Probe(server));
            self.due.insert((now + PROBE_WAIT, Due::ProbeLost(server)));
        }
    }

    /// The result of the probe that is out, if one is, moves the counter and sets the next probe.
    fn probe_ended(&mut self, now: Duration, server: Server, by: i32) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        let Some(sent) = known.probe_sent.take() else { return };
        known.moved(by);
        // Its time-out must not hit the next probe.
        self.due.retain(|(_, due)| *due != Due::ProbeLost(server));
        let interval = match known.counter {
            Some(0) => PROBE_DOWN,
            Some(TOP) => PROBE_STEADY,
            _ => PROBE_BETWEEN,
        };
        let next = now.max(sent + self.jitter(interval, JITTER));
        self.schedule(server, next);
    }

    /// Once a report period: what proxies met moves counters, relief and levels.
    fn review(&mut self, now: Duration) {
        let (contract, settle) = (self.contract(), self.settle());
        let up = self.servers.values().filter(|known| known.up());
        let fresh = up.fold(Tally::default(), |sum, known| known.fresh.over(sum, 1.0));
        self.tables.iter_mut().for_each(|table| table.demand *= KEEP);
        let bearable = LATE.max(WORSE * fresh.lateness(contract));
        for (server, known) in &mut self.servers {
            let seen = std::mem::take(&mut known.fresh);
            known.recent = seen.over(known.recent, FADE);
            // Evidence, against the rest of the fleet: a general slump condemns nobody.
            let others = (fresh.failed - seen.failed) / (fresh.tries - seen.tries).max(1.0);
            let fails = seen.failed >= f64::from(FALL) && seen.failing() > FAILING;
            if fails && known.up() && !known.barred(&self.terms) && others < SOUND {
                known.moved(-(FALL as i32));
                known.doubted_until = now + RESEND;
                // It comes back, on passing probes, with a part that costs little if it still fails.
                known.relief = RELIEF_LEAST;
                known.heed_from = known.doubted_until + settle;
                let text = format!("fails {:.0} of {:.0} tries", seen.failed, seen.tries);
                self.ready.push_back(Decision::Note { about: Some(*server), text });
            } else if seen.tries >= f64::from(RISE) && seen.failing() < SOUND && known.counter.is_some() {
                known.moved(RISE as i32);
            }
            // Relief: a slow server keeps a part that it can do, and regains the rest bit by bit.
            let (late, was) = (known.late(contract), known.relief);
            if known.recent.tries < f64::from(FALL) {
                continue;
            } else if late > bearable {
                known.relief = (was * (bearable / late).max(RELIEF_DROP)).max(RELIEF_LEAST);
            } else if late < ROOM {
                known.relief = (was + RELIEF_BACK).min(1.0);
            }
        }
        if now >= self.next_step {
            self.shed();
        }
        let shedding = self.tables.iter().any(|table| table.level < 1.0);
        self.next_step = if shedding && now >= self.next_step { now + settle } else { self.next_step };
        let well = fresh.tries >= 1.0 && fresh.failing() <= SOUND;
        if shedding || !well || fresh.lateness(contract) > LATE {
            self.uneasy_until = self.uneasy_until.max(now + self.warm_within().mul_f64(UNEASY));
        }
    }

    /// Admission: classes whose servers are late are let in less, the least earnings per work first,
    /// and come back as their servers find time again.
    fn shed(&mut self) {
        let late: Vec<f64> = (0..self.tables.len()).map(|class| self.lateness(class)).collect();
        let mut order: Vec<Class> = (0..self.tables.len()).collect();
        let rank = |class: &Class| self.tables[*class].earnings / self.tables[*class].contract;
        order.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
        let worst = late.iter().fold(LATE, |worst, late| worst.max(*late));
        let work = |table: &Table| table.contract * table.demand.max(1e-9);
        let suffering = order.iter().filter(|class| late[**class] > LATE).map(|class| &self.tables[*class]);
        let let_in: f64 = suffering.map(|table| work(table) * table.level).sum();
        let mut out = let_in * (1.0 - (LATE / worst).max(SHED_STEP));
        // A class that may go elsewhere makes room where one that may not is late.
        let narrow = (0..late.len()).filter(|class| self.tables[*class].narrow());
        let pressed = narrow.fold(0.0, |worst: f64, class| worst.max(late[class]));
        for (table, late) in self.tables.iter_mut().zip(&late) {
            let back = if pressed < ROOM { RELIEF_BACK } else { 0.0 };
            table.kept = if pressed > LATE.max(*late) { ALWAYS_LEFT } else { (table.kept + back).min(1.0) };
        }
        for class in order {
            let table = &mut self.tables[class];
            let was = table.level;
            if late[class] > LATE {
                let cut = out.min(work(table) * (was - ALWAYS_LEFT).max(0.0));
                out -= cut;
                table.level = was - cut / work(table);
            } else if late[class] < ROOM {
                table.level = (was * (LATE / late[class]).min(SHED_BACK)).min(1.0);
            }
        }
    }

    /// How late the servers of a class are, by the part that each has in its table.
    fn lateness(&self, class: Class) -> f64 {
        let (contract, mut sum, mut all) = (self.contract(), 0.0, 0.0);
        for (server, weight) in &self.tables[class].lines {
            let known = &self.servers[server];
            if known.recent.tries >= 1.0 && !known.withdrawn {
                sum += weight * known.late(contract);
                all += weight;
            }
        }
        if all > 0.0 { sum / all } else { 0.0 }
    }

    /// Whether proxies must not send to a server, whatever tables they hold. While some hold tables
    /// of before, a cold server would get all of its weight there: the hold keeps it out.
    fn kept_out(&self, now: Duration, known: &Known) -> bool {
        known.barred(&self.terms) || known.cold(now) && self.tables.iter().any(|table| !table.released)
    }

    /// Drains and removals first, hold or not: no proxy may send there past the grace.
    fn withdrawal(&mut self, now: Duration) -> Option<Decision> {
        let unbound = self.proxies.values().any(|joined| joined.bound.contains(&false));
        let (server, known) = self.servers.iter().find(|(_, known)| match self.kept_out(now, known) {
            true => !known.withdrawn,
            // It would still be in the tables that an unbound proxy holds.
            false => known.withdrawn && !unbound,
        })?;
        let (server, withdrawn) = (*server, !known.withdrawn);
        // A server comes back at its cold share, never at the weight it left with.
        if !withdrawn {
            let differs =
                |class: &Class| self.desired(now, *class)[&server] != self.tables[*class].held(server);
            if let Some(class) = (0..self.tables.len()).find(differs) {
                return self.weigh(now, class, server, BINDING);
            }
        }
        self.spend(now, 1, self.on(None), DRAINING)?;
        self.servers.get_mut(&server)?.withdrawn = withdrawn;
        Some(Decision::Withdraw { server, withdrawn })
    }

    /// Changed lines, ranked by the traffic that each moves. A server that was started anew loses its
    /// weight without waiting for the next push: the grace runs.
    fn change(&mut self, now: Duration) -> Option<Decision> {
        let pushing = self.pushing.is_some_and(|(time, _)| time == now);
        let all = self.pushing == Some((now, true));
        if let Some(decision) = pushing.then(|| self.admit(now)).flatten() {
            return Some(decision);
        }
        let mut best: Option<(bool, f64, Class, Server)> = None;
        for (class, table) in self.tables.iter().enumerate().filter(|(_, table)| table.released) {
            let desired = self.desired(now, class);
            let total: f64 = desired.values().sum();
            for (server, weight) in desired {
                let held = table.held(server);
                let off = (weight - held).abs();
                let small = off <= TOLERANCE * weight.max(held) && held > 0.0 && weight > 0.0;
                let urgent = self.servers[&server].cold(now) && weight < held && !small;
                let due = urgent || pushing && off > 0.0 && (!small || all);
                let rank = (urgent, off / total.max(1e-9) * (1.0 + table.demand));
                if due && !self.servers[&server].withdrawn && best.is_none_or(|(u, m, ..)| rank > (u, m)) {
                    best = Some((urgent, rank.1, class, server));
                }
            }
        }
        let (urgent, _, class, server) = best?;
        if !urgent {
            // So far apart, common changes leave room within the limit on messages.
            let span = self.terms.time("fleet.messages_span_us").unwrap_or_default();
            let most = self.terms.limit("fleet.messages_most");
            self.next_push = now + GATHER.max(span.div_f64(most * COMMON));
        }
        self.weigh(now, class, server, if urgent { DRAINING } else { COMMON })
    }

    fn admit(&mut self, now: Duration) -> Option<Decision> {
        let wanted = |class: Class| {
            let level = grid(self.tables[class].level);
            let room = level == 1.0 && self.lateness(class) < LATE;
            (level, if room { SecondTry::IfNeverRan } else { SecondTry::Never })
        };
        let differs = |class: &Class| Some(wanted(*class)) != self.tables[*class].admitted;
        let class = (0..self.tables.len()).filter(|class| self.tables[*class].released).find(differs)?;
        let (share, second) = wanted(class);
        self.spend(now, 1, self.on(Some(class)), COMMON)?;
        let before = self.tables[class].admitted.replace((share, second));
        if before.is_some_and(|(before, _)| before != share) {
            let (name, late) = (self.class_name(class), self.lateness(class));
            let text = format!("{name}: {:.0}% let in, answers take {late:.1} contract times", share * 100.0);
            self.ready.push_back(Decision::Note { about: None, text });
        }
        Some(Decision::Admit { class, share, second })
    }

    /// A proxy comes onto the tables once the hold releases them, or sooner if its own run out.
    fn binding(&mut self, now: Duration) -> Option<Decision> {
        for proxy in self.proxies.keys().copied().collect::<Vec<_>>() {
            for class in 0..self.tables.len() {
                if self.proxies[&proxy].bound[class] {
                    continue;
                }
                if !self.tables[class].released && self.runs_out(class, self.proxies[&proxy].zone) {
                    self.release(class, "standing tables may hold nothing but withdrawn servers");
                    self.pushing = Some((now, true));
                    return self.next_decision(now);
                }
                if !self.tables[class].released || self.tables[class].lines.is_empty() {
                    continue;
                }
                let withdrawn = self.servers.values().filter(|known| known.withdrawn).count();
                let lines = 2 + self.tables[class].lines.len() + withdrawn;
                if self.spend(now, lines, vec![proxy], BINDING).is_some() {
                    self.proxies.get_mut(&proxy)?.bound[class] = true;
                    return Some(Decision::Bind { class, proxy });
                }
            }
        }
        None
    }

    /// Whether a standing table, drawn in this zone, may hold nothing but withdrawn servers.
    fn runs_out(&self, class: Class, zone: Zone) -> bool {
        let serving = self.servers.values().filter(|known| self.tables[class].serves(&known.listing));
        let (near, far): (Vec<_>, Vec<_>) = serving.partition(|known| known.listing.zone == zone);
        // A table is drawn in its zone if that has three servers.
        let pool = if near.len() >= 3 { near } else { [near, far].concat() };
        let withdrawn = pool.iter().filter(|known| known.withdrawn).count();
        let standing = self.terms.number("fleet.standing").unwrap_or(0.0) as usize;
        withdrawn > 0 && withdrawn >= pool.len().min(standing)
    }

    /// The weights that the table of a class should hold: a pure function of list and numbers.
    fn desired(&self, now: Duration, class: Class) -> BTreeMap<Server, f64> {
        let table = &self.tables[class];
        // A cold server gets nothing while the fleet is uneasy or a probe of its own fails.
        let safe = |known: &Known| now >= self.uneasy_until && known.counter.unwrap_or(TOP) == TOP;
        let listed = |known: &Known| known.listing.weight * known.warmth(now, &self.terms);
        let carries = |known: &Known| !known.cold(now) || safe(known);
        let needed = |known: &Known| self.tables.iter().any(|t| t.narrow() && t.serves(&known.listing));
        let kept = |known: &Known| if !table.narrow() && needed(known) { table.kept } else { 1.0 };
        let part = |known: &Known| if carries(known) { known.relief * kept(known) } else { 0.0 };
        let full = |known: &Known| grid(listed(known) * part(known));
        // A table that had to be laid early counts on all that are not known to be down.
        let up = |known: &Known| known.up() || known.counter.is_none() && now < HOLD_LEAST;
        let usable = |known: &Known| table.serves(&known.listing) && !known.barred(&self.terms);
        let good = || self.servers.iter().filter(|(_, known)| usable(known) && full(known) > 0.0);
        let any_up = good().any(|(_, known)| up(known));
        let laid = self.proxies.values().any(|joined| joined.bound[class]);
        let any_held = laid && good().any(|(server, _)| table.held(*server) > 0.0);
        let weight = |server: &Server, known: &Known| match (any_up, any_held) {
            _ if !usable(known) => 0.0,
            (true, _) if up(known) => full(known),
            (true, _) => 0.0,
            // All look down: the last table stays, but for what is cold now.
            (false, true) => table.held(*server).min(full(known)),
            (false, false) => grid(listed(known)),
        };
        self.servers.iter().map(|(server, known)| (*server, weight(server, known))).collect()
    }

    fn weigh(&mut self, now: Duration, class: Class, server: Server, part: f64) -> Option<Decision> {
        let weight = *self.desired(now, class).get(&server)?;
        self.spend(now, 1, self.on(Some(class)), part)?;
        self.tables[class].lines.insert(server, weight);
        self.tables[class].lines.retain(|_, weight| *weight > 0.0);
        Some(Decision::Weigh { class, server, weight })
    }

    fn on(&self, class: Option<Class>) -> Vec<Proxy> {
        let on = |joined: &Joined| class.is_none_or(|class| joined.bound[class]);
        self.proxies.iter().filter(|(_, joined)| on(joined)).map(|(proxy, _)| *proxy).collect()
    }

    /// Pace: takes lines off the budget for each of these proxies; none if the queue or a proxy's
    /// messages would then fill more than this part of the limits.
    fn spend(&mut self, now: Duration, lines: usize, whom: Vec<Proxy>, part: f64) -> Option<()> {
        let head = self.terms.number("fleet.message_head_lines").unwrap_or(0.0);
        let most = self.terms.limit("fleet.messages_most") * part;
        let span = self.terms.time("fleet.messages_span_us").unwrap_or_default();
        let pace = self.terms.limit("fleet.channel_lines_per_s") / SLOWEST;
        let sent = (now - self.queued.1).as_secs_f64() * pace;
        self.queued = ((self.queued.0 - sent).max(0.0), now);
        let new = |joined: &Joined| joined.messages.back() != Some(&now);
        let mut cost = (lines * whom.len()) as f64;
        for proxy in &whom {
            let joined = self.proxies.get_mut(proxy)?;
            joined.messages.retain(|time| *time + span >= now);
            cost += if new(joined) { head } else { 0.0 };
            if new(joined) && joined.messages.len() as f64 >= most {
                return None;
            }
        }
        if self.queued.0 + cost > self.terms.limit("fleet.queue_most_lines") * part {
            return None;
        }
        self.queued.0 += cost;
        for (_, joined) in
            self.proxies.iter_mut().filter(|(proxy, joined)| whom.contains(proxy) && new(joined))
        {
            joined.messages.push_back(now);
        }
        Some(())
    }

    fn period(&self) -> Duration {
        self.terms.time("fleet.report_period_us").filter(|time| !time.is_zero()).unwrap_or(PROBE_STEADY)
    }

    fn warm_within(&self) -> Duration {
        self.terms.time("rules.warm_within_us").unwrap_or_default()
    }

    fn settle(&self) -> Duration {
        self.period().mul_f64(SETTLE) + self.terms.time("fleet.message_delay_us").unwrap_or_default()
    }

    /// The mean contract time of what comes, in seconds.
    fn contract(&self) -> f64 {
        let visits = |table: &Table| table.demand + 1e-3;
        let sum: f64 = self.tables.iter().map(|table| visits(table) * table.contract).sum();
        sum / self.tables.iter().map(visits).sum::<f64>()
    }

    fn class_name(&self, class: Class) -> &str {
        self.terms.text(&format!("classes.{class}.name")).unwrap_or("a class without a name")
    }

    fn jitter(&mut self, interval: Duration, share: f64) -> Duration {
        interval.mul_f64(1.0 - share * self.chance.draw())
    }
}

/// Weights lie on a grid, so that tables read well and equal numbers stay equal.
fn grid(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
