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
//! 2. Relief: an up server that misses the contract time drops in weight and regains it slowly.
//! 3. Return: a server that comes back starts from the stated cold share.
//! 4. Pace: one budget for the queue and the message limit, with room kept for drains.
//! 5. Admission: when the fleet as a whole is late, the least earnings per work stay out.
//! 6. Second tries: after any failure where no effect can happen twice and there is headroom.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nanorand::{Rng, WyRand};

use crate::{Class, Decision, Finding, Listed, Listing, Proxy, SecondTry, Server, Terms, Zone};

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

/// Probes are spread by this share of their interval, so that they don't march in step.
const JITTER: f64 = 0.1;
/// A line is not worth its cost while it is off by less than this share; the resend takes all.
const TOLERANCE: f64 = 0.1;
/// Share of failed tries from which a server is taken to be down, and below which it is well.
const FAILING: f64 = 0.85;
const SOUND: f64 = 0.2;
/// Mean time over contract time from which a server or the fleet counts as late, and below which
/// there is room again.
const LATE: f64 = 0.5;
const ROOM: f64 = 0.35;
/// A server is late on its own only if it is so much worse than the fleet.
const WORSE: f64 = 1.6;
/// One step of relief takes at most this much, one step back gives so much.
const RELIEF_DROP: f64 = 0.5;
const RELIEF_BACK: f64 = 0.04;
const RELIEF_LEAST: f64 = 0.3;
/// What at least stays let in after one step, how it grows back in one, and what always stays.
const SHED_STEP: f64 = 0.6;
const SHED_BACK: f64 = 2.0;
const LEVEL_STEP: f64 = 0.05;
const ADMIT_LEAST: f64 = 0.1;
/// What a report adds fades by this share each report period.
const FADE: f64 = 0.5;
/// Shares of the limits on queue and messages that common changes, bindings and drains may fill.
const COMMON: f64 = 0.5;
const BINDING: f64 = 0.75;
const DRAINING: f64 = 0.95;
/// The channel is taken to send this many times slower than stated: on bad days it does.
const SLOWEST: f64 = 8.0;
/// Tries that proxies made, summed up.
#[derive(Clone, Copy, Default)]
struct Tally {
    tries: f64,
    failed: f64,
    /// Seconds spent on tries that were answered.
    answered: f64,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.tries += other.tries;
        self.failed += other.failed;
        self.answered += other.answered;
    }

    fn fade(&mut self, keep: f64) {
        *self =
            Tally { tries: self.tries * keep, failed: self.failed * keep, answered: self.answered * keep };
    }

    fn failing(&self) -> f64 {
        if self.tries > 0.0 { self.failed / self.tries } else { 0.0 }
    }

    /// Mean time in units of the contract time, a failure counting as one that was just missed.
    fn lateness(&self, contract: f64) -> f64 {
        if self.tries > 0.0 { (self.answered / contract + self.failed) / self.tries } else { 0.0 }
    }
}

/// All that is known of a server.
struct Known {
    listing: Listing,
    /// `None` until the first result.
    counter: Option<u32>,
    probe_sent: Option<Duration>,
    /// Reports show that it answered tries; the next report is due by this time.
    answers_until: Duration,
    /// It warms up between these times.
    cold_from: Duration,
    warm_at: Duration,
    relief: f64,
    relief_moved: Duration,
    /// Reports before this time tell of the server as it was before it started or came back.
    heed_from: Duration,
    /// Condemned by reports: passing probes don't count before this time.
    doubted_until: Duration,
    doubts: u32,
    fresh: Tally,
    last: Tally,
    recent: Tally,
    withdrawn: bool,
}

struct Joined {
    zone: Zone,
    /// By class.
    bound: Vec<bool>,
    /// When messages went to it, within the span that is limited.
    messages: VecDeque<Duration>,
}

struct ClassTerms {
    contract: f64,
    earnings: f64,
    zones: Option<Vec<Zone>>,
    kinds: Option<Vec<usize>>,
    /// Nothing happens twice if any failed try is followed by another.
    repeatable: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Probe(Server),
    ProbeLost(Server),
}

pub struct Pilot {
    terms: Terms,
    chance: WyRand,
    classes: Vec<ClassTerms>,
    servers: BTreeMap<Server, Known>,
    proxies: BTreeMap<Proxy, Joined>,
    due: BTreeSet<(Duration, Due)>,
    probes: VecDeque<Server>,
    notes: VecDeque<String>,
    released: Vec<bool>,
    /// Tables that are complete: a proxy was bound to them.
    laid: Vec<bool>,
    /// What the tables hold, by class, and what is let in of each class.
    published: Vec<BTreeMap<Server, f64>>,
    admitted: Vec<Option<(f64, SecondTry)>>,
    /// Share of each class that should be let in.
    levels: Vec<f64>,
    levels_moved: Duration,
    fleet: Tally,
    /// Visits that came of each class of late.
    demand: Vec<f64>,
    next_beat: Duration,
    next_review: Duration,
    next_resend: Duration,
    next_push: Duration,
    /// Common changes may go out at this time.
    pushing: Option<Duration>,
    resending: bool,
    queued: f64,
    queued_at: Duration,
}

impl Pilot {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let zones = terms.texts("zones");
        let kinds = terms.texts("kinds");
        let places = |names: &[&str], list: String| {
            let some = terms.texts(&list);
            let found = some.iter().filter_map(|one| names.iter().position(|name| name == one)).collect();
            (!some.is_empty()).then_some(found)
        };
        let classes: Vec<_> = (0..terms.count("classes"))
            .map(|i| {
                let name = |what: &str| format!("classes.{i}.{what}");
                let time =
                    |what: &str| terms.time(&name(what)).unwrap_or(Duration::from_secs(1)).as_secs_f64();
                let contract = time("contract_time_us");
                // A second try may set out this late; a connection may have to be opened first.
                let wait = terms.number("fleet.second_try_after").unwrap_or(1.0) * contract;
                let opening = terms.time("allowed.connect_timeout_us").unwrap_or_default().as_secs_f64();
                let in_window = wait + 2.0 * opening <= time("window_us");
                ClassTerms {
                    contract,
                    earnings: terms.number(&name("earnings")).unwrap_or(1.0),
                    zones: places(&zones, name("only_zones")),
                    kinds: places(&kinds, name("only_kinds")),
                    repeatable: match terms.text(&name("effect")) {
                        Some("safe") => true,
                        Some("keyed") => terms.text(&name("dedup_scope")) == Some("all") && in_window,
                        _ => false,
                    },
                }
            })
            .collect();
        let count = classes.len();
        Pilot {
            chance: WyRand::new_seed(seed),
            servers: BTreeMap::new(),
            proxies: BTreeMap::new(),
            due: BTreeSet::new(),
            probes: VecDeque::new(),
            notes: VecDeque::new(),
            released: vec![false; count],
            laid: vec![false; count],
            published: vec![BTreeMap::new(); count],
            admitted: vec![None; count],
            levels: vec![1.0; count],
            levels_moved: Duration::ZERO,
            fleet: Tally::default(),
            demand: vec![0.0; count],
            next_beat: Duration::ZERO,
            next_review: Duration::ZERO,
            next_resend: RESEND,
            next_push: Duration::ZERO,
            pushing: None,
            resending: false,
            queued: 0.0,
            queued_at: Duration::ZERO,
            terms,
            classes,
        }
    }

    // What became known.

    /// The list of servers changed; `full` says that it is complete.
    pub fn listed(&mut self, now: Duration, full: bool, entries: &[Listing]) {
        if full {
            let missing = |server: &Server| !entries.iter().any(|entry| entry.server == *server);
            for (_, known) in self.servers.iter_mut().filter(|(server, _)| missing(server)) {
                known.listing.state = Listed::Gone;
            }
        }
        let within = self.warm_within();
        let settle = self.settle();
        for entry in entries {
            let warm_at = entry.age.map_or(Duration::ZERO, |age| (now + within).saturating_sub(age));
            let cold_from = now.saturating_sub(entry.age.unwrap_or(now));
            let Some(known) = self.servers.get_mut(&entry.server) else {
                let mut known = Known::new(*entry, cold_from, warm_at);
                // Where probes are not allowed, all count as having passed one.
                known.counter = (!self.terms.flag("allowed.probes")).then_some(TOP);
                self.servers.insert(entry.server, known);
                if !self.terms.flag("allowed.probes") {
                    continue;
                }
                let first = now + self.jitter(PROBE_BETWEEN, 1.0);
                self.due.insert((first, Due::Probe(entry.server)));
                continue;
            };
            let back = known.listing.state == Listed::Gone && entry.state == Listed::Ready;
            known.listing = *entry;
            // A new process knows nothing of the old one's health, and is cold. Old news of a start
            // (it may be repeated, or come after probes have found the server back) changes nothing.
            if entry.age.is_some() && cold_from > known.cold_from && warm_at > known.warm_at || back {
                known.counter = (!self.terms.flag("allowed.probes")).then_some(TOP);
                (known.doubted_until, known.answers_until) = (Duration::ZERO, now);
                known.heed_from = now + settle;
                (known.fresh, known.recent) = (Tally::default(), Tally::default());
                self.due.insert((now, Due::Probe(entry.server)));
            }
            if entry.age.is_some() {
                (known.cold_from, known.warm_at) = (cold_from, warm_at.max(known.warm_at));
            }
        }
    }

    /// A probe ended after `took`.
    pub fn probed(&mut self, now: Duration, server: Server, finding: Finding, took: Duration) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        // What comes after the wait was counted as lost then.
        if took > PROBE_WAIT || known.probe_sent.take().is_none() {
            return;
        }
        match finding {
            Finding::Passed if now < known.doubted_until => {}
            Finding::Passed => self.moved(now, server, 1),
            Finding::Failed => self.moved(now, server, -1),
            Finding::Refused => {
                known.answers_until = now;
                self.moved(now, server, -1);
            }
            Finding::TurnedAway => {}
        }
    }

    /// What proxies met at a server: `took` is the mean time of the tries that were answered.
    pub fn reported(
        &mut self,
        now: Duration,
        server: Server,
        tries: u32,
        failed: u32,
        took: Duration,
        _: Duration,
    ) {
        let period = self.period();
        let Some(known) = self.servers.get_mut(&server).filter(|known| now >= known.heed_from) else {
            return;
        };
        let (tries, failed) = (f64::from(tries), f64::from(failed.min(tries)));
        if failed < tries {
            known.answers_until = now + period;
        }
        known.fresh.add(Tally { tries, failed, answered: (tries - failed) * took.as_secs_f64() });
    }

    /// Visits of a class came to a proxy.
    pub fn counted(&mut self, class: Class, visits: u32, _: Duration) {
        if let Some(demand) = self.demand.get_mut(class) {
            *demand += f64::from(visits);
        }
    }

    /// A proxy's stream stands; it holds tables that are not this pilot's.
    pub fn joined(&mut self, _: Duration, proxy: Proxy, zone: Zone) {
        let bound = vec![false; self.classes.len()];
        self.proxies.insert(proxy, Joined { zone, bound, messages: VecDeque::new() });
        // Withdrawals that went out before have not reached it.
        for known in self.servers.values_mut() {
            known.withdrawn &= !known.barred(&self.terms);
        }
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.proxies.remove(&proxy);
    }

    // What is decided.

    /// When the host should come back, if nothing becomes known before.
    pub fn next_due(&self) -> Option<Duration> {
        let first = self.due.first().map_or(self.next_beat, |(time, _)| *time);
        Some(first.min(self.next_beat))
    }

    pub fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        self.pass_time(now);
        if let Some(note) = self.notes.pop_front() {
            return Some(Decision::Note(note));
        }
        self.withdrawal(now)
            .or_else(|| self.cooling(now))
            .or_else(|| self.change(now))
            .or_else(|| self.binding(now))
            .or_else(|| self.probes.pop_front().map(Decision::Probe))
    }

    fn pass_time(&mut self, now: Duration) {
        while let Some((time, due)) = self.due.first().copied().filter(|(time, _)| *time <= now) {
            self.due.remove(&(time, due));
            match due {
                Due::Probe(server) => self.probe(now, server),
                Due::ProbeLost(server) => {
                    let known = self.servers.get_mut(&server);
                    if known.is_some_and(|known| known.probe_sent.take().is_some()) {
                        self.moved(now, server, -1);
                    }
                }
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
        for class in 0..self.classes.len() {
            let mut servers = self.servers.values().filter(|known| known.serves(&self.classes[class]));
            let converged = now >= HOLD_LEAST && servers.all(|known| known.counter.is_some());
            if converged || now >= HOLD_MOST {
                self.released[class] = true;
            }
        }
        if now >= self.next_push {
            self.pushing = Some(now);
            self.resending = now >= self.next_resend;
            if self.resending {
                self.next_resend = now + RESEND;
            }
        }
    }

    fn probe(&mut self, now: Duration, server: Server) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        if !self.terms.flag("allowed.probes") {
            return;
        }
        if known.barred(&self.terms) {
            self.due.insert((now + PROBE_DOWN, Due::Probe(server)));
            return;
        }
        let interval = match known.counter {
            Some(0) => PROBE_DOWN,
            Some(TOP) => PROBE_STEADY,
            _ => PROBE_BETWEEN,
        };
        if known.probe_sent.is_none() {
            known.probe_sent = Some(now);
            self.probes.push_back(server);
            self.due.insert((now + PROBE_WAIT, Due::ProbeLost(server)));
        }
        self.due.retain(|(_, due)| *due != Due::Probe(server));
        let next = now + self.jitter(interval, JITTER);
        self.due.insert((next, Due::Probe(server)));
    }

    /// Moves a server's counter by so many results.
    fn moved(&mut self, now: Duration, server: Server, by: i32) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        let counter = match known.counter {
            None if by > 0 => TOP,
            None => 0,
            Some(counter) => counter.saturating_add_signed(by).min(TOP),
        };
        known.counter = Some(counter);
        // The interval follows the counter at once.
        if counter != 0 && counter != TOP {
            let soon = now + PROBE_BETWEEN;
            let later = self.due.iter().any(|(time, due)| *due == Due::Probe(server) && *time > soon);
            if later {
                self.due.retain(|(_, due)| *due != Due::Probe(server));
                self.due.insert((soon, Due::Probe(server)));
            }
        }
    }

    /// Once a report period: what proxies met moves counters, relief and admission.
    fn review(&mut self, now: Duration) {
        let contract = self.contract();
        let mut fresh = Tally::default();
        for known in self.servers.values().filter(|known| known.up(now)) {
            fresh.add(known.fresh);
        }
        self.fleet.fade(FADE);
        self.fleet.add(fresh);
        self.demand.iter_mut().for_each(|demand| *demand *= 1.0 - FADE / 4.0);
        let fleet_late = self.fleet.lateness(contract);
        let settle = self.settle();
        let mut moves = Vec::new();
        for (server, known) in &mut self.servers {
            let seen = std::mem::take(&mut known.fresh);
            known.recent.fade(FADE);
            known.recent.add(seen);
            known.last = seen;
            // Evidence, against the rest of the fleet: a general slump condemns nobody.
            let others =
                Tally { tries: fresh.tries - seen.tries, failed: fresh.failed - seen.failed, ..fresh };
            if known.up(now)
                && seen.failed >= f64::from(FALL)
                && seen.failing() > FAILING
                && others.failing() < SOUND
            {
                moves.push((*server, -(FALL as i32)));
                known.doubts += 1;
                known.answers_until = now;
                known.doubted_until = now + RESEND * known.doubts.min(4);
                known.heed_from = known.doubted_until + settle;
                self.notes.push_back(format!(
                    "server {server} fails {:.0} of {:.0} tries",
                    seen.failed, seen.tries
                ));
            } else if seen.tries >= f64::from(RISE) && seen.failing() < SOUND && now >= known.doubted_until {
                moves.push((*server, RISE as i32));
            }
            // Relief.
            if now < known.relief_moved + settle || known.recent.tries < f64::from(FALL) {
                continue;
            }
            let late = known.recent.lateness(contract);
            let bearable = LATE.max(fleet_late * WORSE);
            if late > bearable {
                known.relief = (known.relief * (bearable / late).max(RELIEF_DROP)).max(RELIEF_LEAST);
                known.relief_moved = now;
            } else if late < ROOM && known.relief < 1.0 {
                known.relief = (known.relief + RELIEF_BACK).min(1.0);
                known.relief_moved = now;
            }
        }
        for (server, by) in moves {
            if self.servers[&server].counter.is_some() {
                self.moved(now, server, by);
            }
        }
        self.shed(now);
    }

    /// Classes whose servers are late are let in less, the least earnings per work first (work taken
    /// as contract time); they come back as their servers find time again.
    fn shed(&mut self, now: Duration) {
        if now < self.levels_moved + self.settle() {
            return;
        }
        let was = self.levels.clone();
        let late: Vec<f64> = (0..self.classes.len()).map(|class| self.lateness(class)).collect();
        let work = |class: Class| self.classes[class].contract * self.demand[class].max(1e-9);
        let mut order: Vec<Class> = (0..self.classes.len()).collect();
        order.sort_by(|a, b| self.classes[*a].rank().total_cmp(&self.classes[*b].rank()));
        let worst = late.iter().fold(LATE, |a, b| a.max(*b));
        let suffering = |class: &Class| late[*class] > LATE;
        let mut out: f64 = order.iter().filter(|c| suffering(c)).map(|c| work(*c) * was[*c]).sum();
        out *= 1.0 - (LATE / worst).max(SHED_STEP);
        for class in order {
            let level = if suffering(&class) {
                let cut = out.min(work(class) * (was[class] - ADMIT_LEAST).max(0.0));
                out -= cut;
                was[class] - cut / work(class)
            } else if late[class] < ROOM {
                (was[class] * (LATE / late[class]).min(SHED_BACK)).min(1.0)
            } else {
                was[class]
            };
            self.levels[class] = level;
        }
        if was != self.levels {
            self.levels_moved = now;
        }
    }

    /// How late the servers of a class are, by the part that each has in its table.
    fn lateness(&self, class: Class) -> f64 {
        let contract = self.contract();
        let (mut all, mut sum) = (0.0, 0.0);
        for (server, weight) in &self.published[class] {
            let last = self.servers[server].last;
            if last.tries >= 1.0 && !self.servers[server].withdrawn {
                all += weight;
                sum += weight * last.lateness(contract);
            }
        }
        if all > 0.0 { sum / all } else { 0.0 }
    }

    // Drains and removals first, hold or not: no proxy may send there past the grace.
    fn withdrawal(&mut self, now: Duration) -> Option<Decision> {
        // While a proxy holds tables of before, it would send a cold server all of its weight: such a
        // server is kept from it during the hold, and no withdrawal ends before all are bound.
        let held = self.released.contains(&false);
        let unbound = self.proxies.values().any(|joined| joined.bound.contains(&false));
        let wanted = |known: &Known| match known.barred(&self.terms) || held && known.warm_at > now {
            true => !known.withdrawn,
            false => known.withdrawn && !unbound,
        };
        let (server, known) = self.servers.iter().find(|(_, known)| wanted(known))?;
        let (server, withdrawn) = (*server, !known.withdrawn);
        // A server comes back at its cold share, never at the weight it left with.
        if !withdrawn {
            let class = (0..self.classes.len()).find(|class| self.off(now, *class, server) != 0.0);
            if let Some(class) = class {
                return self.weigh(now, class, server, BINDING);
            }
        }
        self.spend(now, 1.0, None, DRAINING)?;
        self.servers.get_mut(&server)?.withdrawn = withdrawn;
        Some(Decision::Withdraw { server, withdrawn })
    }

    // A server that was started anew loses its weight before the next push: the grace runs.
    fn cooling(&mut self, now: Duration) -> Option<Decision> {
        let cold = self.servers.iter().filter(|(_, known)| known.warm_at > now && !known.withdrawn);
        let mut lines =
            cold.flat_map(|(server, _)| (0..self.classes.len()).map(move |class| (class, *server)));
        let (class, server) = lines.find(|(class, server)| {
            let held = self.published[*class].get(server).copied().unwrap_or(0.0);
            held > 0.0 && self.released[*class] && self.off(now, *class, *server) < -TOLERANCE * held
        })?;
        self.weigh(now, class, server, DRAINING)
    }

    // Common changes, ranked by the traffic that a line moves.
    fn change(&mut self, now: Duration) -> Option<Decision> {
        if self.pushing != Some(now) {
            return None;
        }
        if let Some(decision) = self.admit(now) {
            return Some(decision);
        }
        let mut best: Option<(f64, Class, Server)> = None;
        for class in (0..self.classes.len()).filter(|class| self.released[*class]) {
            let desired = self.desired(now, class);
            let total: f64 = desired.values().sum();
            for (server, weight) in &desired {
                let held = self.published[class].get(server).copied().unwrap_or(0.0);
                let off = (weight - held).abs();
                let small = off <= TOLERANCE * weight.max(held) && held > 0.0 && *weight > 0.0;
                if off == 0.0 || small && !self.resending || self.servers[server].withdrawn {
                    continue;
                }
                let moves = off / total.max(1e-9) * (1.0 + self.demand[class]);
                if best.is_none_or(|(most, ..)| moves > most) {
                    best = Some((moves, class, *server));
                }
            }
        }
        let (_, class, server) = best?;
        self.next_push = now + self.push_gap();
        self.weigh(now, class, server, COMMON)
    }

    fn admit(&mut self, now: Duration) -> Option<Decision> {
        let wanted = |class: Class| {
            let level = (self.levels[class] / LEVEL_STEP).round() * LEVEL_STEP;
            let calm = level >= 1.0 && self.lateness(class) < LATE;
            (grid(level), if calm { SecondTry::IfNeverRan } else { SecondTry::Never })
        };
        let differs = |class: &Class| self.released[*class] && Some(wanted(*class)) != self.admitted[*class];
        let class = (0..self.classes.len()).find(differs)?;
        let (share, second) = wanted(class);
        self.spend(now, 1.0, Some(class), COMMON)?;
        self.admitted[class] = Some((share, second));
        Some(Decision::Admit { class, share, second })
    }

    // A proxy comes onto the tables once the hold releases them, or sooner if its own run out.
    fn binding(&mut self, now: Duration) -> Option<Decision> {
        for proxy in self.proxies.keys().copied().collect::<Vec<_>>() {
            for class in 0..self.classes.len() {
                if self.proxies[&proxy].bound[class] {
                    continue;
                }
                if !self.released[class] && self.runs_out(class, self.proxies[&proxy].zone) {
                    self.released[class] = true;
                    self.pushing = Some(now);
                    return self.next_decision(now);
                }
                let filled = self.published[class].values().any(|weight| *weight > 0.0);
                if !self.released[class] || !filled {
                    continue;
                }
                let withdrawn = self.servers.values().filter(|known| known.withdrawn).count();
                let lines = 2 + self.published[class].len() + withdrawn;
                if self.spend_on(now, lines as f64, &[proxy], BINDING).is_some() {
                    self.proxies.get_mut(&proxy)?.bound[class] = true;
                    self.laid[class] = true;
                    return Some(Decision::Bind { class, proxy });
                }
            }
        }
        None
    }

    /// Whether a standing table, drawn in this zone, may hold nothing but withdrawn servers.
    fn runs_out(&self, class: Class, zone: Zone) -> bool {
        let serving = self.servers.values().filter(|known| known.serves(&self.classes[class]));
        let (near, far): (Vec<_>, Vec<_>) = serving.partition(|known| known.listing.zone == zone);
        let pool: Vec<_> = if near.len() >= 3 { near } else { near.into_iter().chain(far).collect() };
        let barred = pool.iter().filter(|known| known.withdrawn).count();
        let standing = self.terms.number("fleet.standing").unwrap_or(0.0) as usize;
        barred > 0 && barred >= pool.len().min(standing)
    }

    /// The weights that the table of a class should hold: a pure function of list and numbers.
    fn desired(&self, now: Duration, class: Class) -> BTreeMap<Server, f64> {
        let terms = &self.classes[class];
        let cold_share = self.terms.number("rules.cold_share").unwrap_or(1.0);
        // Proxies that are turned away elsewhere, or shun the servers that failed them, all come to one
        // that was just started, however small its weight. While the fleet is late it gets less than
        // its share, and nothing while failures are common or no report tells how the fleet does.
        let late = self.fleet.lateness(self.contract());
        let calm = match self.fleet.tries >= 1.0 && self.fleet.failing() <= SOUND {
            true => ((1.0 - late) / (1.0 - LATE)).clamp(0.0, 1.0),
            false => 0.0,
        };
        let share =
            |known: &Known| known.warmth(now, cold_share) * if now < known.warm_at { calm } else { 1.0 };
        let usable = |known: &Known| known.serves(terms) && !known.barred(&self.terms);
        let full = |known: &Known| grid(known.listing.weight * known.relief * share(known));
        // A table that had to be laid early counts on all that are not known to be down.
        let up = |known: &Known| known.up(now) || known.counter.is_none() && now < HOLD_LEAST;
        let held = |server: &Server| self.published[class].get(server).copied().unwrap_or(0.0);
        let any = |test: &dyn Fn(&Server, &Known) -> bool| {
            self.servers.iter().any(|(s, k)| usable(k) && test(s, k))
        };
        let any_up = any(&|_, known| up(known) && full(known) > 0.0);
        let any_held = self.laid[class] && any(&|server, known| held(server) > 0.0 && full(known) > 0.0);
        let weight = |server: &Server, known: &Known| match (any_up, any_held) {
            _ if !usable(known) => 0.0,
            (true, _) if up(known) => full(known),
            (true, _) => 0.0,
            // All look down: the last table stays, but for what is cold now.
            (false, true) => held(server).min(full(known)),
            (false, false) => grid(known.listing.weight * known.warmth(now, cold_share)),
        };
        self.servers.iter().map(|(server, known)| (*server, weight(server, known))).collect()
    }

    /// How far a line should move, upwards above 0.
    fn off(&self, now: Duration, class: Class, server: Server) -> f64 {
        let held = self.published[class].get(&server).copied().unwrap_or(0.0);
        self.desired(now, class).get(&server).map_or(0.0, |weight| weight - held)
    }

    fn weigh(&mut self, now: Duration, class: Class, server: Server, part: f64) -> Option<Decision> {
        let weight = *self.desired(now, class).get(&server)?;
        self.spend(now, 1.0, Some(class), part)?;
        if weight > 0.0 {
            self.published[class].insert(server, weight);
        } else {
            self.published[class].remove(&server);
        }
        Some(Decision::Weigh { class, server, weight })
    }

    /// Takes lines off the budget for each proxy that is on the table, or for all that are joined.
    fn spend(&mut self, now: Duration, lines: f64, class: Option<Class>, part: f64) -> Option<()> {
        let on = |joined: &Joined| class.is_none_or(|class| joined.bound[class]);
        let whom: Vec<_> = self.proxies.iter().filter(|(_, joined)| on(joined)).map(|(p, _)| *p).collect();
        self.spend_on(now, lines, &whom, part)
    }

    fn spend_on(&mut self, now: Duration, lines: f64, whom: &[Proxy], part: f64) -> Option<()> {
        let head = self.terms.number("fleet.message_head_lines").unwrap_or(0.0);
        let pace = self.terms.number("fleet.channel_lines_per_s").unwrap_or(f64::MAX);
        let most = self.terms.number("fleet.queue_most_lines").unwrap_or(f64::MAX);
        let messages = self.terms.number("fleet.messages_most").filter(|most| *most > 0.0);
        let span = self.terms.time("fleet.messages_span_us").unwrap_or_default();
        let sent = (now - self.queued_at).as_secs_f64() * pace / SLOWEST;
        (self.queued, self.queued_at) = ((self.queued - sent).max(0.0), now);
        let mut cost = lines * whom.len() as f64;
        for proxy in whom {
            let joined = self.proxies.get_mut(proxy)?;
            joined.messages.retain(|time| *time + span >= now);
            if joined.messages.back() != Some(&now) {
                cost += head;
                let full = messages.is_some_and(|most| joined.messages.len() as f64 >= most * part);
                if full {
                    return None;
                }
            }
        }
        if self.queued + cost > most * part {
            return None;
        }
        self.queued += cost;
        for proxy in whom {
            let joined = self.proxies.get_mut(proxy)?;
            if joined.messages.back() != Some(&now) {
                joined.messages.push_back(now);
            }
        }
        Some(())
    }

    /// Common changes are at least so far apart.
    fn push_gap(&self) -> Duration {
        let span = self.terms.time("fleet.messages_span_us").unwrap_or_default();
        let most = self.terms.number("fleet.messages_most").filter(|most| *most > 0.0);
        most.map_or(GATHER, |most| span.div_f64(most * COMMON).max(GATHER))
    }

    fn period(&self) -> Duration {
        self.terms.time("fleet.report_period_us").unwrap_or(PROBE_STEADY)
    }

    /// How long it takes until reports tell of a change.
    fn settle(&self) -> Duration {
        self.period().mul_f64(1.5) + self.terms.time("fleet.message_delay_us").unwrap_or_default()
    }

    fn warm_within(&self) -> Duration {
        self.terms.time("rules.warm_within_us").unwrap_or_default()
    }

    /// The mean contract time of what comes, in seconds.
    fn contract(&self) -> f64 {
        let weigh = |i: Class| self.demand[i] + 1e-3;
        let all: f64 = (0..self.classes.len()).map(weigh).sum();
        let sum: f64 = self.classes.iter().enumerate().map(|(i, class)| weigh(i) * class.contract).sum();
        if all > 0.0 { sum / all } else { 1.0 }
    }

    fn jitter(&mut self, interval: Duration, share: f64) -> Duration {
        let drawn: f64 = self.chance.generate::<u32>() as f64 / f64::from(u32::MAX);
        interval.mul_f64(1.0 - share * drawn)
    }
}

impl ClassTerms {
    fn rank(&self) -> f64 {
        self.earnings / self.contract
    }
}

impl Known {
    fn new(listing: Listing, cold_from: Duration, warm_at: Duration) -> Self {
        Known {
            listing,
            counter: None,
            probe_sent: None,
            answers_until: Duration::ZERO,
            cold_from,
            warm_at,
            relief: 1.0,
            relief_moved: Duration::ZERO,
            heed_from: Duration::ZERO,
            doubted_until: Duration::ZERO,
            doubts: 0,
            fresh: Tally::default(),
            last: Tally::default(),
            recent: Tally::default(),
            withdrawn: false,
        }
    }

    /// The counter decides, but a server that still answers proxies stays up whatever its probes say:
    /// in a jam probes time out at one server after another, and each that goes loads the rest.
    fn up(&self, now: Duration) -> bool {
        self.counter.is_some_and(|counter| counter >= RISE || now < self.answers_until)
    }

    fn barred(&self, terms: &Terms) -> bool {
        match self.listing.state {
            Listed::Ready => false,
            Listed::Draining => true,
            Listed::Gone => !terms.flag("rules.only_draining_binds"),
        }
    }

    fn serves(&self, class: &ClassTerms) -> bool {
        let zone = class.zones.as_ref().is_none_or(|zones| zones.contains(&self.listing.zone));
        zone && class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&self.listing.kind))
    }

    /// The share of its work that it can surely do, growing evenly from the cold share.
    fn warmth(&self, now: Duration, cold_share: f64) -> f64 {
        if now >= self.warm_at {
            return 1.0;
        }
        let all = (self.warm_at - self.cold_from).as_secs_f64();
        cold_share + (1.0 - cold_share) * now.saturating_sub(self.cold_from).as_secs_f64() / all
    }
}

/// Weights lie on a grid, so that tables read well and equal numbers stay equal.
fn grid(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
