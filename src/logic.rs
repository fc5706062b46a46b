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
use crate::ledger::{Channel, Tally, Whom};
use crate::{Class, Decision, Finding, Listed, Listing, Proxy, SecondTry, Server, TableNumber, Terms, Zone};

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

#[derive(Default)]
struct Known {
    listing: Listing,
    /// `None` until the first result.
    counter: Option<u32>,
    probe_at: Duration,
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

    fn barred(&self) -> bool {
        self.listing.state != Listed::Ready
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

/// What is let in of one class, at one table.
struct Gate {
    class: Class,
    table: TableNumber,
    name: String,
    contract: f64,
    earnings: f64,
    /// Visits that came of late, and the share that should be let in.
    demand: f64,
    level: f64,
    /// As it was published.
    admitted: Option<(f64, SecondTry)>,
}

#[derive(Default)]
struct Table {
    /// Zones and kinds that its classes are bound to.
    only: [Option<Vec<usize>>; 2],
    released: bool,
    /// Weights as they should be by the last plan, and as they were published.
    wanted: BTreeMap<Server, f64>,
    lines: BTreeMap<Server, f64>,
    /// How late its servers are, by their part in it.
    late: f64,
    /// What it keeps of its part at servers that classes with less choice need.
    kept: f64,
}

impl Table {
    fn serves(&self, listing: &Listing) -> bool {
        let place = [listing.zone, listing.kind];
        self.only.iter().zip(place).all(|(only, at)| only.as_ref().is_none_or(|only| only.contains(&at)))
    }

    fn narrow(&self) -> bool {
        self.only != [None, None]
    }

    fn held(&self, server: Server) -> f64 {
        self.lines.get(&server).copied().unwrap_or(0.0)
    }
}

/// One order of a plan. It is sent if this part of the limits on queue and messages has room for it.
#[derive(Clone, Copy)]
struct Step(f64, Order);

#[derive(Clone, Copy, PartialEq)]
enum Order {
    Withdraw(Server, bool),
    Weigh(TableNumber, Server),
    /// The first is the gate.
    Admit(usize, f64, SecondTry),
    Bind(TableNumber, Proxy),
}

#[derive(Default)]
pub struct Pilot {
    terms: Terms,
    chance: Chance,
    tables: Vec<Table>,
    /// The least earnings per contract time first.
    gates: Vec<Gate>,
    outdated: bool,
    servers: BTreeMap<Server, Known>,
    /// Zones of the joined proxies.
    proxies: BTreeMap<Proxy, Zone>,
    channel: Channel,
    /// Times at which a probe is due or lost; those that others took the place of are passed over.
    due: BTreeSet<(Duration, Server)>,
    ready: VecDeque<Decision>,
    /// The last plan, as far as it is still to be sent, and whether there is news that asks for another.
    steps: VecDeque<Step>,
    news: bool,
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
    /// The next plan takes common changes in: all that differs, or what is worth its line.
    pushing: Option<bool>,
}

impl Pilot {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let (mut tables, mut gates): (Vec<Table>, Vec<Gate>) = Default::default();
        for class in 0..terms.count("classes") {
            let name = |what: &str| format!("classes.{class}.{what}");
            let contract = terms.time(&name("contract_time_us")).unwrap_or(PROBE_STEADY);
            let only = ["zones", "kinds"].map(|all| terms.positions(&name(&format!("only_{all}")), all));
            // Classes that may use the same servers share a table: each line and binding costs once.
            let table = tables.iter().position(|table| table.only == only).unwrap_or(tables.len());
            if table == tables.len() {
                tables.push(Table { only, kept: 1.0, ..Table::default() });
            }
            gates.push(Gate {
                class,
                table,
                name: terms.text(&name("name")).unwrap_or("a class without a name").to_string(),
                contract: contract.as_secs_f64().max(1e-3),
                earnings: terms.number(&name("earnings")).unwrap_or(1.0),
                demand: 0.0,
                level: 1.0,
                admitted: None,
            });
        }
        let rank = |gate: &Gate| gate.earnings / gate.contract;
        gates.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
        Pilot { chance: Chance::new(seed), tables, gates, next_resend: RESEND, terms, ..Pilot::default() }
    }

    // What became known.

    /// The list of servers is at this version; `full` says that the entries are all of it.
    pub fn listed(&mut self, now: Duration, full: bool, version: u64, entries: &[Listing]) {
        self.outdated |= self.servers.is_empty() && version > 0;
        self.news = true;
        // Where only draining binds, a list that calls servers gone takes nothing from them.
        let binds = !self.terms.flag("rules.only_draining_binds");
        let here: BTreeSet<Server> = entries.iter().map(|entry| entry.server).collect();
        let gone = |server: &Server| full && binds && !here.contains(server);
        for (_, known) in self.servers.iter_mut().filter(|(server, _)| gone(server)) {
            known.listing.state = Listed::Gone;
        }
        let (within, settle, probes) = (self.warm_within(), self.settle(), self.terms.flag("allowed.probes"));
        for entry in entries {
            if entry.state == Listed::Gone && !binds {
                continue;
            }
            let new = || Known { relief: 1.0, probe_at: Duration::MAX, ..Known::default() };
            let known = self.servers.entry(entry.server).or_insert_with(new);
            let fresh = known.probe_at == Duration::MAX || known.barred();
            known.listing = *entry;
            let age = entry.age.unwrap_or(within);
            let warm_at = (now + within).saturating_sub(age);
            // Repeated or older news of a start changes nothing.
            let started = warm_at > now && warm_at > known.warm_at;
            if started {
                (known.started, known.warm_at) = (now.saturating_sub(age), warm_at);
            }
            // A new process knows nothing of the old one's health. Where probes are not allowed, all
            // count as having passed one.
            if started || fresh && !known.barred() {
                known.counter = (!probes).then_some(TOP);
                (known.fresh, known.recent) = (Tally::default(), Tally::default());
                (known.heed_from, known.doubted_until) = (now + settle, Duration::ZERO);
                known.probe_at = now + GATHER.mul_f64(1.0 - self.chance.draw());
                self.due.extend(probes.then_some((known.probe_at, entry.server)));
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
        if took <= PROBE_WAIT {
            self.probe_ended(now, server, by);
        }
    }

    /// What proxies met at a server: `took` is the mean time of the tries that were answered.
    pub fn reported(&mut self, now: Duration, server: Server, tries: u32, failed: u32, took: Duration) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        if now >= known.heed_from {
            known.fresh = Tally::new(tries, failed, took).over(known.fresh, 1.0);
        }
    }

    pub fn counted(&mut self, class: Class, visits: u32) {
        for gate in self.gates.iter_mut().filter(|gate| gate.class == class) {
            gate.demand += f64::from(visits);
        }
    }

    /// A proxy's stream stands. Its tables are of before; unless `fresh`, it may shun what failed it.
    pub fn joined(&mut self, now: Duration, proxy: Proxy, zone: Zone, fresh: bool) {
        if !fresh && self.terms.number("fleet.shuns_after").is_some_and(|tries| tries > 0.0) {
            self.uneasy_until = now + self.warm_within().mul_f64(UNEASY);
        }
        self.news = true;
        self.proxies.insert(proxy, zone);
        self.channel.join(proxy);
        // Withdrawals that went out before have not reached it.
        let kept_out = self.kept_out(now);
        for (server, known) in &mut self.servers {
            known.withdrawn &= !kept_out.contains(server);
        }
    }

    pub fn left(&mut self, proxy: Proxy) {
        self.proxies.remove(&proxy);
        self.channel.leave(proxy);
    }

    // What is decided.

    pub fn next_due(&self) -> Duration {
        self.due.first().map_or(self.next_beat, |(time, _)| self.next_beat.min(*time))
    }

    pub fn next_decision(&mut self, now: Duration) -> Option<Decision> {
        self.pass_time(now);
        if std::mem::take(&mut self.news) {
            self.plan(now);
        }
        while let Some(Step(part, order)) = self.steps.pop_front() {
            if matches!(order, Order::Withdraw(_, true)) && self.unbound() == 0 {
                continue;
            }
            let taken = self.take(now, part, order);
            if taken.is_some() {
                return taken;
            }
            // Sent from the top: what ranks lower waits as well, but for proxies without a table.
            self.steps.retain(|step| step.0 > part || matches!(step.1, Order::Bind(..)));
        }
        self.ready.pop_front()
    }

    fn pass_time(&mut self, now: Duration) {
        while let Some((time, server)) = self.due.first().copied().filter(|(time, _)| *time <= now) {
            self.due.remove(&(time, server));
            let Some(known) = self.servers.get_mut(&server) else { continue };
            if known.probe_sent.is_some_and(|sent| sent + PROBE_WAIT == time) {
                self.probe_ended(now, server, -1);
            } else if known.probe_sent.is_none() && known.probe_at == time && !known.barred() {
                known.probe_sent = Some(now);
                self.ready.push_back(Decision::Probe(server));
                self.due.insert((now + PROBE_WAIT, server));
            }
        }
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + GATHER;
        self.news = true;
        if now >= self.next_review {
            self.next_review = now + self.period();
            self.review(now);
        }
        let all = now >= self.next_resend;
        self.pushing = (now >= self.next_push).then_some(all);
        self.next_resend = if self.pushing == Some(true) { now + RESEND } else { self.next_resend };
    }

    /// The result of the probe that is out, if one is, moves the counter and sets the next probe.
    fn probe_ended(&mut self, now: Duration, server: Server, by: i32) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        let Some(sent) = known.probe_sent.take() else { return };
        known.moved(by);
        let interval = match known.counter {
            Some(0) => PROBE_DOWN,
            Some(TOP) => PROBE_STEADY,
            _ => PROBE_BETWEEN,
        };
        known.probe_at = now.max(sent + interval.mul_f64(1.0 - JITTER * self.chance.draw()));
        self.due.insert((known.probe_at, server));
    }

    /// Once a report period: what proxies met moves counters, relief and levels.
    fn review(&mut self, now: Duration) {
        let (contract, settle) = (self.contract(), self.settle());
        let up = self.servers.values().filter(|known| known.up());
        let fresh = up.fold(Tally::default(), |sum, known| known.fresh.over(sum, 1.0));
        self.gates.iter_mut().for_each(|gate| gate.demand *= KEEP);
        let bearable = LATE.max(WORSE * fresh.lateness(contract));
        for (server, known) in &mut self.servers {
            let seen = std::mem::take(&mut known.fresh);
            known.recent = seen.over(known.recent, FADE);
            // Evidence, against the rest of the fleet: a general slump condemns nobody.
            let others = (fresh.failed - seen.failed) / (fresh.tries - seen.tries).max(1.0);
            let fails = seen.failed >= f64::from(FALL) && seen.failing() > FAILING;
            if fails && known.up() && !known.barred() && others < SOUND {
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
            let told = known.recent.tries >= f64::from(FALL);
            if told && late > bearable {
                known.relief = (was * (bearable / late).max(RELIEF_DROP)).max(RELIEF_LEAST);
            } else if told && late < ROOM {
                known.relief = (was + RELIEF_BACK).min(1.0);
            }
        }
        if now >= self.next_step {
            self.shed();
        }
        let shedding = self.gates.iter().any(|gate| gate.level < 1.0);
        self.next_step = if shedding && now >= self.next_step { now + settle } else { self.next_step };
        let well = fresh.tries >= 1.0 && fresh.failing() <= SOUND;
        if shedding || !well || fresh.lateness(contract) > LATE {
            self.uneasy_until = self.uneasy_until.max(now + self.warm_within().mul_f64(UNEASY));
        }
    }

    /// Admission: classes whose servers are late are let in less, the least earnings per work first,
    /// and come back as their servers find time again.
    fn shed(&mut self) {
        self.measure();
        let suffering = self.gates.iter().filter(|gate| self.tables[gate.table].late > LATE);
        let work = |gate: &Gate| gate.contract * gate.demand.max(1e-9);
        let let_in: f64 = suffering.map(|gate| work(gate) * gate.level).sum();
        let worst = self.tables.iter().fold(LATE, |worst, table| worst.max(table.late));
        let mut out = let_in * (1.0 - (LATE / worst).max(SHED_STEP));
        // A class that may go elsewhere makes room where one that may not is late.
        let narrow = self.tables.iter().filter(|table| table.narrow()).map(|table| table.late);
        let pressed = narrow.fold(0.0, f64::max);
        for table in &mut self.tables {
            let back = if pressed < ROOM { RELIEF_BACK } else { 0.0 };
            let made = pressed > LATE.max(table.late);
            table.kept = if made { ALWAYS_LEFT } else { (table.kept + back).min(1.0) };
        }
        for gate in &mut self.gates {
            let (late, was, work) = (self.tables[gate.table].late, gate.level, work(gate));
            if late > LATE {
                let cut = out.min(work * (was - ALWAYS_LEFT).max(0.0));
                out -= cut;
                gate.level = was - cut / work;
            } else if late < ROOM {
                gate.level = (was * (LATE / late.max(1e-9)).min(SHED_BACK)).min(1.0);
            }
        }
    }

    /// How late the servers of each table are, by the part that each has in it.
    fn measure(&mut self) {
        let contract = self.contract();
        for table in &mut self.tables {
            let lines = table.lines.iter().map(|(server, weight)| (&self.servers[server], weight));
            let told = lines.filter(|(known, _)| known.recent.tries >= 1.0 && !known.withdrawn);
            let late = |(known, weight): (&Known, &f64)| (weight * known.late(contract), *weight);
            let (sum, all) = told.map(late).fold((0.0, 1e-9), |(a, b), (c, d)| (a + c, b + d));
            table.late = sum / all;
        }
    }

    /// Works out all that should be sent, the most urgent first: once a beat and at news that can't
    /// wait, so that the work of a decision does not grow with the fleet.
    fn plan(&mut self, now: Duration) {
        self.release(now);
        for index in 0..self.tables.len() {
            self.tables[index].wanted = self.desired(now, index);
        }
        let (pushing, mut steps) = (self.pushing.take(), Vec::new());
        if pushing.is_some() {
            self.measure();
            for (index, gate) in self.gates.iter().enumerate() {
                let (table, level) = (&self.tables[gate.table], grid(gate.level));
                let room = level == 1.0 && table.late < LATE;
                let second = if room { SecondTry::IfNeverRan } else { SecondTry::Never };
                if table.released && gate.admitted != Some((level, second)) {
                    steps.push(Step(COMMON, Order::Admit(index, level, second)));
                }
            }
        }
        steps.extend(self.changes(now, pushing));
        for proxy in self.proxies.keys() {
            let free = |table: &usize| self.tables[*table].released && !self.channel.bound(*proxy, *table);
            let tables = (0..self.tables.len()).filter(free);
            steps.extend(tables.map(|table| Step(BINDING, Order::Bind(table, *proxy))));
        }
        steps.extend(self.withdrawals(now));
        self.steps = steps.into();
    }

    /// The start hold, for each table.
    fn release(&mut self, now: Duration) {
        // A list that changed before this start has lost servers that proxies may still hold, and that
        // cannot be named: the hold gives way, so that all are on these tables within the grace.
        let grace = self.terms.time("rules.drain_grace_us").unwrap_or(HOLD_MOST);
        let most = if self.outdated { HOLD_MOST.min(grace.mul_f64(GIVE_WAY)) } else { HOLD_MOST };
        for index in 0..self.tables.len() {
            let table = &self.tables[index];
            let mut serving = self.servers.values().filter(|known| table.serves(&known.listing));
            let why = match () {
                _ if table.released => continue,
                _ if now >= HOLD_LEAST.min(most) && serving.all(|known| known.counter.is_some()) => {
                    "all its servers have a result"
                }
                _ if now >= most => "the hold is over",
                _ if self.runs_out(now, table) => "standing tables may hold nothing but withdrawn servers",
                _ => continue,
            };
            let names: Vec<&str> = self.gates_of(index).map(|gate| gate.name.as_str()).collect();
            let text = format!("{}: table released, {why}", names.join(", "));
            self.ready.push_back(Decision::Note { about: None, text });
            (self.tables[index].released, self.pushing) = (true, Some(true));
        }
    }

    /// Servers that proxies must not send to, whatever tables they hold. While some hold tables of
    /// before, a cold server would get all of its weight there: the hold keeps it out.
    fn kept_out(&self, now: Duration) -> BTreeSet<Server> {
        let holding = self.tables.iter().any(|table| !table.released);
        let out = |known: &Known| known.barred() || holding && known.cold(now);
        self.servers.iter().filter(|(_, known)| out(known)).map(|(server, _)| *server).collect()
    }

    fn gates_of(&self, table: TableNumber) -> impl Iterator<Item = &Gate> {
        self.gates.iter().filter(move |gate| gate.table == table)
    }

    /// Proxies that still hold tables of before.
    fn unbound(&self) -> usize {
        self.channel.count(Whom::Unbound(self.tables.len()))
    }

    /// Servers that are kept out leave the tables of before, hold or not: no proxy may send there past
    /// the grace. One that returns comes back at its cold share, never at the weight it left with.
    fn withdrawals(&self, now: Duration) -> Vec<Step> {
        let (kept_out, unbound) = (self.kept_out(now), self.unbound() > 0);
        let held =
            |server: &Server| self.tables.iter().any(|table| table.held(*server) > table.wanted[server]);
        let due = self.servers.iter().filter(|(server, known)| match kept_out.contains(server) {
            true => !known.withdrawn && unbound,
            false => known.withdrawn && !unbound && !held(server),
        });
        due.map(|(server, known)| Step(DRAINING, Order::Withdraw(*server, !known.withdrawn))).collect()
    }

    /// Changed lines, ranked by the traffic that each moves. A server that drains, is gone or was started
    /// anew loses its weight without waiting for the next push: the grace runs.
    fn changes(&mut self, now: Duration, pushing: Option<bool>) -> Vec<Step> {
        let mut ranked: Vec<(f64, Step)> = Vec::new();
        for (index, table) in self.tables.iter().enumerate().filter(|(_, table)| table.released) {
            let total: f64 = table.wanted.values().sum();
            let demand: f64 = self.gates_of(index).map(|gate| gate.demand).sum();
            for (server, weight) in &table.wanted {
                let (held, known) = (table.held(*server), &self.servers[server]);
                let off = (weight - held).abs();
                let small = off <= TOLERANCE * weight.max(held) && held > 0.0 && *weight > 0.0;
                let urgent = (known.barred() || known.cold(now)) && *weight < held && !small;
                let due = pushing.is_some() && off > 0.0 && (!small || pushing == Some(true));
                if urgent || due && !known.withdrawn {
                    let part = if urgent { DRAINING } else { COMMON };
                    let moves = off / total.max(1e-9) * (1.0 + demand);
                    ranked.push((moves, Step(part, Order::Weigh(index, *server))));
                }
            }
        }
        if ranked.iter().any(|(_, step)| step.0 == COMMON) {
            // So far apart, common changes leave room within the limit on messages.
            let span = self.terms.time("fleet.messages_span_us").unwrap_or_default();
            let most = self.terms.limit("fleet.messages_most");
            self.next_push = now + GATHER.max(span.div_f64(most * COMMON));
        }
        ranked.sort_by(|(a, one), (b, other)| other.0.total_cmp(&one.0).then(b.total_cmp(a)));
        ranked.into_iter().map(|(_, step)| step).collect()
    }

    /// Sends one step, if the budget allows it.
    fn take(&mut self, now: Duration, part: f64, order: Order) -> Option<Decision> {
        match order {
            Order::Withdraw(server, withdrawn) => {
                // Where all are on tables, none of them has the server in it.
                self.spend(now, 1, Whom::Unbound(self.tables.len()), part)?;
                self.servers.get_mut(&server)?.withdrawn = withdrawn;
                Some(Decision::Withdraw { server, withdrawn })
            }
            Order::Weigh(index, server) => {
                self.spend(now, 1, Whom::On(index), part)?;
                let table = &mut self.tables[index];
                let weight = table.wanted[&server];
                table.lines.insert(server, weight);
                Some(Decision::Weigh { table: index, server, weight })
            }
            Order::Admit(index, share, second) => {
                let (table, class) = (self.gates[index].table, self.gates[index].class);
                self.spend(now, 1, Whom::On(table), part)?;
                let (gate, late) = (&mut self.gates[index], self.tables[table].late);
                if gate.admitted.replace((share, second)).is_some_and(|(before, _)| before != share) {
                    let share = share * 100.0;
                    let text =
                        format!("{}: {share:.0}% let in, answers take {late:.1} contract times", gate.name);
                    self.ready.push_back(Decision::Note { about: None, text });
                }
                Some(Decision::Admit { table, class, share, second })
            }
            Order::Bind(index, proxy) => {
                let table = &self.tables[index];
                let classes: Vec<Class> = self.gates_of(index).map(|gate| gate.class).collect();
                let lines = table.lines.values().filter(|weight| **weight > 0.0).count();
                if lines == 0 {
                    return None;
                }
                let lines = 1 + classes.len() + lines;
                self.spend(now, lines, Whom::One(proxy), part)?;
                self.channel.bind(proxy, index);
                Some(Decision::Bind { table: index, classes, proxy })
            }
        }
    }

    /// Whether standing tables, drawn in the zones of proxies, may hold nothing but withdrawn servers.
    fn runs_out(&self, now: Duration, table: &Table) -> bool {
        let (kept_out, zones) = (self.kept_out(now), self.proxies.values().copied());
        let standing = self.terms.number("fleet.standing").unwrap_or(0.0) as usize;
        zones.collect::<BTreeSet<_>>().into_iter().any(|zone| {
            let serving = self.servers.iter().filter(|(_, known)| table.serves(&known.listing));
            let near = |known: &Known| known.listing.zone == zone;
            let nearby = serving.clone().filter(|(_, known)| near(known)).count();
            // A table is drawn in its zone if that has three servers.
            let pool = serving.filter(|(_, known)| nearby < 3 || near(known)).map(|(server, _)| server);
            let withdrawn = pool.clone().filter(|server| kept_out.contains(server)).count();
            withdrawn > 0 && withdrawn >= pool.count().min(standing)
        })
    }

    /// The weights that a table should hold: a pure function of list and numbers.
    fn desired(&self, now: Duration, index: TableNumber) -> BTreeMap<Server, f64> {
        let table = &self.tables[index];
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
        let usable = |known: &Known| table.serves(&known.listing) && !known.barred();
        let good = || self.servers.iter().filter(|(_, known)| usable(known) && full(known) > 0.0);
        let any_up = good().any(|(_, known)| up(known));
        let any_held =
            self.channel.count(Whom::On(index)) > 0 && good().any(|(server, _)| table.held(*server) > 0.0);
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

    /// Pace: takes lines off the budget for each of these proxies; none if the queue or a proxy's
    /// messages would then fill more than this part of the limits.
    fn spend(&mut self, now: Duration, lines: usize, whom: Whom, part: f64) -> Option<()> {
        let head = self.terms.number("fleet.message_head_lines").unwrap_or(0.0);
        let most = self.terms.limit("fleet.messages_most") * part;
        let span = self.terms.time("fleet.messages_span_us").unwrap_or_default();
        let pace = self.terms.limit("fleet.channel_lines_per_s") / SLOWEST;
        let waiting = self.channel.waiting(now, pace);
        let (begun, had) = self.channel.begins(whom, span);
        let cost = (lines * self.channel.count(whom)) as f64 + begun as f64 * head;
        let full = waiting + cost > self.terms.limit("fleet.queue_most_lines") * part;
        if full || begun > 0 && had as f64 >= most {
            return None;
        }
        self.channel.send(whom, cost);
        Some(())
    }

    fn period(&self) -> Duration {
        self.terms.time("fleet.report_period_us").unwrap_or(PROBE_STEADY).max(GATHER)
    }

    fn warm_within(&self) -> Duration {
        self.terms.time("rules.warm_within_us").unwrap_or_default()
    }

    fn settle(&self) -> Duration {
        self.period().mul_f64(SETTLE) + self.terms.time("fleet.message_delay_us").unwrap_or_default()
    }

    /// The mean contract time of what comes, in seconds.
    fn contract(&self) -> f64 {
        let visits = |gate: &Gate| gate.demand + 1e-3;
        let sum: f64 = self.gates.iter().map(|gate| visits(gate) * gate.contract).sum();
        sum / self.gates.iter().map(visits).sum::<f64>()
    }
}

/// Weights lie on a grid, so that tables read well and equal numbers stay equal.
fn grid(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
